"""Model of an engine with chunked prefill between decode steps, in virtual time."""

from __future__ import annotations

import attrs

CHUNK_TOKENS = 2_048


@attrs.define
class ModelStream:
    """Stream of a request at an engine."""

    request_id: str
    unread_tokens: float  # prompt tokens that wait for prefill
    output_tokens: int
    deadline_ms: float  # the caller closes the stream at this time
    generated_tokens: int = 0
    last_event_ms: float | None = None
    longest_pause_ms: float = 0.0  # between two events
    first_token_ms: float | None = None


@attrs.define
class ModelEngine:
    """Model of one engine; the defaults are figures of the engines of one site."""

    prefill_tokens_per_ms: float = 48.0
    step_ms: float = 2.6
    step_ms_per_stream: float = 0.15
    work_time: float = 1.0  # factor on the duration of all work
    tokens_per_event: int = 4
    now_ms: float = 0.0
    streams: list[ModelStream] = attrs.field(factory=list)
    completed: list[ModelStream] = attrs.field(factory=list)  # before their deadline
    abandoned: list[ModelStream] = attrs.field(factory=list)  # incomplete at their deadline

    def run_until(self, end_ms: float) -> None:
        """
        Run decode steps up to a point in time.

        :param end_ms: virtual time in milliseconds
        """
        while self.now_ms < end_ms:
            if not self.streams:
                self.now_ms = end_ms
                return
            self._step()

    def _step(self) -> None:
        chunk_left = float(CHUNK_TOKENS)
        running = [stream for stream in self.streams if stream.unread_tokens <= 0]
        for stream in self.streams:
            prefilled = min(chunk_left, max(0.0, stream.unread_tokens))
            stream.unread_tokens -= prefilled
            chunk_left -= prefilled
        self.now_ms += self.work_time * (self.step_ms + self.step_ms_per_stream * len(running))
        self.now_ms += self.work_time * (CHUNK_TOKENS - chunk_left) / self.prefill_tokens_per_ms
        for stream in running:
            stream.generated_tokens += 1
            stream.first_token_ms = stream.first_token_ms or self.now_ms
            if stream.generated_tokens % self.tokens_per_event == 0:
                pause_ms = self.now_ms - (stream.last_event_ms or self.now_ms)
                stream.longest_pause_ms = max(stream.longest_pause_ms, pause_ms)
                stream.last_event_ms = self.now_ms
        for stream in list(self.streams):
            if stream.generated_tokens >= stream.output_tokens:
                self.completed.append(stream)
            elif self.now_ms > stream.deadline_ms:
                self.abandoned.append(stream)
            else:
                continue
            self.streams.remove(stream)


__all__ = ["ModelEngine", "ModelStream"]
