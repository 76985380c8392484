"""A model of an engine that reads chunks of prompts between the tokens, in virtual time."""

from __future__ import annotations

import attrs

CHUNK_TOKENS = 2_048


@attrs.define
class ModelStream:
    """A request at an engine."""

    request_id: str
    unread_tokens: float
    output_tokens: int
    deadline_ms: float  # its caller leaves then
    made_tokens: int = 0
    first_token_ms: float | None = None


@attrs.define
class ModelEngine:
    """One engine; figures of one of the sites."""

    prefill_tokens_per_ms: float = 48.0
    step_ms: float = 2.6
    step_ms_per_stream: float = 0.15
    now_ms: float = 0.0
    streams: list[ModelStream] = attrs.field(factory=list)
    done: list[ModelStream] = attrs.field(factory=list)  # whole, before their deadline
    left: list[ModelStream] = attrs.field(factory=list)  # not whole at their deadline

    def run_until(self, end_ms: float) -> None:
        """
        Take steps until a time has come.

        :param end_ms: virtual time in milliseconds
        """
        while self.now_ms < end_ms:
            if not self.streams:
                self.now_ms = end_ms
                return
            self._step()

    def _step(self) -> None:
        room = float(CHUNK_TOKENS)
        running = [stream for stream in self.streams if stream.unread_tokens <= 0]
        for stream in self.streams:
            read = min(room, max(0.0, stream.unread_tokens))
            stream.unread_tokens -= read
            room -= read
        self.now_ms += self.step_ms + self.step_ms_per_stream * len(running)
        self.now_ms += (CHUNK_TOKENS - room) / self.prefill_tokens_per_ms
        for stream in running:
            stream.made_tokens += 1
            stream.first_token_ms = stream.first_token_ms or self.now_ms
        for stream in list(self.streams):
            if stream.made_tokens >= stream.output_tokens:
                self.done.append(stream)
            elif self.now_ms > stream.deadline_ms:
                self.left.append(stream)
            else:
                continue
            self.streams.remove(stream)


__all__ = ["ModelEngine", "ModelStream"]
