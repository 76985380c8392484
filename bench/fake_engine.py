"""Fake engine in virtual time with continuous batching, chunked prefill and a prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from heapq import heappop, heappush
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

BASE_STEP_MS = 12.0  # fixed part of a batch step
SEQUENCE_STEP_MS = 1.0  # added by each decoding sequence
PREFILL_TOKEN_MS = 0.06
PREFILL_CHUNK_TOKENS = 256  # limit of prompt tokens per step
CACHE_TOKENS = 40_000
DECODE_TOKEN_MS = SEQUENCE_STEP_MS + BASE_STEP_MS / 28  # per token in a batch of 28


@attrs.define(eq=False)
class Stream:
    """State of one request at the engine."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    resumed_tokens: int = 0  # output of earlier attempts, prefilled again
    prefill_tokens_left: int = 0
    generated_tokens: int = 0
    work_ms: float = 0.0  # engine time attributed to the request


class FakeEngine:
    """Generates one token of each prefilled stream per step."""

    def __init__(self, name: str, speed: float) -> None:
        """
        Start without streams.

        :param name: name in reports
        :param speed: relative speed, 1.0 for the step times above
        """
        self.name = name
        self.speed = speed
        self.up = True
        self.streams: dict[str, Stream] = {}
        self.busy_ms = 0.0
        self._cache: OrderedDict[str, int] = OrderedDict()

    def start(self, stream: Stream) -> None:
        """
        Add a stream to the batch; its cached prefix needs no prefill.

        :param stream: the new stream
        """
        cached = self._use_cached_prefix(stream)
        stream.prefill_tokens_left = stream.prompt_tokens + stream.resumed_tokens - cached
        self.streams[stream.request_id] = stream

    def cancel(self, request_id: str) -> Stream | None:
        """
        Remove a stream from the batch.

        :param request_id: identifier of its request
        :return: the stream with its progress, None if it is not in the batch
        """
        return self.streams.pop(request_id, None)

    def crash(self) -> list[Stream]:
        """
        Stop the engine and drop all streams and the prefix cache.

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

        :return: duration of the step in milliseconds and the streams that generated a token in it
        """
        chunk = PREFILL_CHUNK_TOKENS
        decoding: list[Stream] = []
        for stream in self.streams.values():
            if not stream.prefill_tokens_left:
                decoding.append(stream)
            elif chunk:
                done = min(chunk, stream.prefill_tokens_left)
                chunk -= done
                stream.prefill_tokens_left -= done
                stream.work_ms += done * PREFILL_TOKEN_MS
        prefill_ms = (PREFILL_CHUNK_TOKENS - chunk) * PREFILL_TOKEN_MS
        step_ms = (BASE_STEP_MS + SEQUENCE_STEP_MS * len(decoding) + prefill_ms) / self.speed
        for stream in decoding:
            stream.work_ms += DECODE_TOKEN_MS
        self.busy_ms += step_ms
        return step_ms, decoding

    def _use_cached_prefix(self, stream: Stream) -> int:
        if not stream.prefix:
            return 0
        cached = self._cache.pop(stream.prefix, 0)
        self._cache[stream.prefix] = stream.prefix_tokens
        while sum(self._cache.values()) > CACHE_TOKENS:
            self._cache.popitem(last=False)
        return cached


def compute_max_throughput(
    speed: float, prompt_tokens: float, output_tokens: float, gap_ms: float
) -> float:
    """
    Compute the maximum output rate at which the batch step stays within the target.

    In a batch of B sequences, B / output_tokens requests per step finish and are replaced by new
    ones, whose prompts have to be prefilled.

    :param speed: relative speed, 1.0 for the step times above
    :param prompt_tokens: mean number of uncached prompt tokens per request
    :param output_tokens: mean number of output tokens per request
    :param gap_ms: target for the time between tokens in milliseconds
    :return: output tokens per second at the largest batch within the target
    """
    prefill_ms = prompt_tokens / output_tokens * PREFILL_TOKEN_MS
    batch = (gap_ms * speed - BASE_STEP_MS) / (SEQUENCE_STEP_MS + prefill_ms)
    return batch / gap_ms * 1_000


class EventQueue:
    """Scheduled calls, run in order of virtual time."""

    def __init__(self) -> None:
        """Start at virtual time 0 without calls."""
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._count = 0

    def schedule(self, time_ms: float, call: Callable[..., None], *args: object) -> None:
        """
        Schedule a call.

        :param time_ms: virtual time in milliseconds
        :param call: function to call
        :param args: arguments of the call
        """
        self._count += 1
        heappush(self._heap, (time_ms, self._count, call, args))

    def run(self, until_ms: float) -> None:
        """
        Run the scheduled calls up to and including a time.

        :param until_ms: virtual time in milliseconds
        """
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call, args = heappop(self._heap)
            call(*args)


__all__ = ["EventQueue", "FakeEngine", "Stream", "compute_max_throughput"]
