"""A fake engine in virtual time: continuous batching, chunked prefill and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from heapq import heappop, heappush
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

BASE_STEP_MS = 12.0  # one step of the batch, however small
SEQUENCE_STEP_MS = 1.0  # added by each sequence in the batch
PREFILL_TOKEN_MS = 0.06
PREFILL_CHUNK_TOKENS = 256  # most prompt tokens computed in one step
CACHE_TOKENS = 40_000
DECODE_TOKEN_MS = SEQUENCE_STEP_MS + BASE_STEP_MS / 28  # cost of a token at a usual batch


@attrs.define(eq=False)
class Stream:
    """One request at the engine."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    resumed_tokens: int = 0  # generated before, elsewhere or earlier
    prefill_left: int = 0
    generated_tokens: int = 0
    work_ms: float = 0.0  # engine work spent on it here


class FakeEngine:
    """Runs every stream that it is given, one token each a step."""

    def __init__(self, name: str, speed: float) -> None:
        """
        Start idle.

        :param name: for the reports
        :param speed: 1.0 is usual
        """
        self.name = name
        self.speed = speed
        self.up = True
        self.streams: dict[str, Stream] = {}
        self.busy_ms = 0.0
        self._cache: OrderedDict[str, int] = OrderedDict()

    def start(self, stream: Stream) -> None:
        """
        Add a stream to the batch.

        :param stream: the request
        """
        cached = self._cached_tokens(stream)
        stream.prefill_left = stream.prompt_tokens + stream.resumed_tokens - cached
        self.streams[stream.request_id] = stream

    def cancel(self, request_id: str) -> Stream | None:
        """
        Drop a stream.

        :param request_id: which one
        :return: the stream as far as it came
        """
        return self.streams.pop(request_id, None)

    def crash(self) -> list[Stream]:
        """
        Lose every stream and the cache.

        :return: the streams that were running
        """
        lost = list(self.streams.values())
        self.streams.clear()
        self._cache.clear()
        self.up = False
        return lost

    def step(self) -> tuple[float, list[Stream]]:
        """
        Run one step of the batch.

        :return: its duration in milliseconds and the streams that got a token at its end
        """
        chunk = PREFILL_CHUNK_TOKENS
        decoding: list[Stream] = []
        for stream in self.streams.values():
            if not stream.prefill_left:
                decoding.append(stream)
            elif chunk:
                done = min(chunk, stream.prefill_left)
                chunk -= done
                stream.prefill_left -= done
                stream.work_ms += done * PREFILL_TOKEN_MS
        prefill_ms = (PREFILL_CHUNK_TOKENS - chunk) * PREFILL_TOKEN_MS
        step_ms = (BASE_STEP_MS + SEQUENCE_STEP_MS * len(decoding) + prefill_ms) / self.speed
        for stream in decoding:
            stream.work_ms += DECODE_TOKEN_MS
        self.busy_ms += step_ms
        return step_ms, decoding

    def _cached_tokens(self, stream: Stream) -> int:
        if not stream.prefix:
            return 0
        cached = self._cache.pop(stream.prefix, 0)
        self._cache[stream.prefix] = stream.prefix_tokens
        while sum(self._cache.values()) > CACHE_TOKENS:
            self._cache.popitem(last=False)
        return cached


def compute_max_tokens_per_s(
    speed: float, prompt_tokens: float, output_tokens: float, gap_ms: float
) -> float:
    """
    Compute the most output tokens that an engine can make while its step fits the target.

    A batch of B sequences turns over B / output_tokens requests a step, each with its prompt.

    :param speed: speed of the engine
    :param prompt_tokens: mean uncached prompt of the requests offered
    :param output_tokens: mean output
    :param gap_ms: target between tokens
    :return: output tokens a second at the largest such batch
    """
    prefill_ms = prompt_tokens / output_tokens * PREFILL_TOKEN_MS
    batch = (gap_ms * speed - BASE_STEP_MS) / (SEQUENCE_STEP_MS + prefill_ms)
    return batch / gap_ms * 1_000


class EventQueue:
    """Calls in order of virtual time."""

    def __init__(self) -> None:
        """Start at time 0."""
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0

    def at(self, time_ms: float, call: Callable[..., None], *args: object) -> None:
        """
        Schedule a call.

        :param time_ms: when
        :param call: what to call
        :param args: its arguments
        """
        self._count += 1
        heappush(self._heap, (time_ms, self._count, call, args))

    def run(self, until_ms: float) -> None:
        """
        Carry out calls up to a time.

        :param until_ms: last time
        """
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call, args = heappop(self._heap)
            call(*args)


__all__ = ["EventQueue", "FakeEngine", "Stream", "compute_max_tokens_per_s"]
