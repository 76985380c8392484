"""Simulates an engine's continuous batching and its bounded prefix cache."""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import itertools
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from boragetiller.standin.engine_text import CHARS_PER_TOKEN, generate_token

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock

BLOCK_CHARS = 256
MAX_LOAD_SAMPLES = 10_000
MAX_CACHE_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class EngineSimulationSettings:
    """Speed, limits and reporting delays of a simulated engine."""

    max_batch: int = 8
    step_ms: float = 5.0
    step_ms_per_request: float = 0.2
    prefill_ms_per_token: float = 0.05
    cache_blocks: int = 256
    load_lag_ms: int = 500
    event_lag_ms: int = 1_000
    event_gap: int = 7  # cache events whose number is divisible by this are never reported


@attrs.define(eq=False, kw_only=True)
class Sequence:
    """Generation of one response."""

    request_id: str
    prompt: str
    prompt_tokens: int
    total_tokens: int
    next_index: int = 0
    priority: int = 0
    tokens: asyncio.Queue[str | None] = attrs.Factory(asyncio.Queue)  # None marks the end
    cancelled: bool = False


@attrs.frozen
class LoadSample:
    """Running and waiting sequences at one time."""

    at_ms: int
    running: int
    waiting: int


@attrs.frozen
class CacheEvent:
    """Report that a block of the prefix cache was stored or evicted."""

    number: int
    at_ms: int
    kind: str
    block: str


class PrefixCache:
    """Cache of blocks of prompt prefixes; evicts the least recently used."""

    def __init__(self, settings: EngineSimulationSettings, clock: Clock) -> None:
        """
        Create an empty cache.

        :param settings: capacity, and delay and gaps of the events
        :param clock: time of the events
        """
        self._settings = settings
        self._clock = clock
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._numbers = itertools.count(1)

    def look_up_and_store(self, prompt: str) -> int:
        """
        Look up the cached prefix of a prompt, then store all blocks of the prompt.

        :param prompt: the complete prompt
        :return: tokens of the prefix that were cached before
        """
        blocks = _hash_blocks(prompt)
        hits = len(list(itertools.takewhile(self._blocks.__contains__, blocks)))
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._settings.cache_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted)
        return hits * BLOCK_CHARS // CHARS_PER_TOKEN

    def clear(self) -> None:
        """Remove all blocks without events, as a restart does."""
        self._blocks.clear()

    def list_events(self, number: int) -> list[CacheEvent]:
        """
        List events after a delay of `event_lag_ms`, leaving some out (`event_gap`).

        :param number: only events with a higher number are listed
        :return: the events that are old enough to be reported
        """
        until_ms = self._clock.now_ms() - self._settings.event_lag_ms
        gap = self._settings.event_gap
        return [
            event
            for event in self._events
            if event.number > number and event.at_ms <= until_ms and event.number % gap
        ]

    def _record_event(self, kind: str, block: str) -> None:
        event = CacheEvent(next(self._numbers), self._clock.now_ms(), kind, block)
        self._events.append(event)


class EngineSimulation:
    """Generates a token of each running sequence per decoding step."""

    def __init__(
        self,
        settings: EngineSimulationSettings,
        clock: Clock,
        on_start: Callable[[Sequence], None],
    ) -> None:
        """
        Create an idle engine.

        :param settings: speed, limits and reporting delays
        :param clock: time of load samples and cache events
        :param on_start: called when a sequence enters the batch; an exception ends :meth:`run`
        """
        self.slowdown = 1.0
        self.cache = PrefixCache(settings, clock)
        self._settings = settings
        self._clock = clock
        self._on_start = on_start
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._running: list[Sequence] = []
        self._samples: deque[LoadSample] = deque(maxlen=MAX_LOAD_SAMPLES)
        self._wake_event = asyncio.Event()
        self._failure: Exception | None = None

    @property
    def waiting(self) -> int:
        """:return: number of sequences that wait to enter the batch"""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """
        Queue a sequence; the lowest priority number enters the batch first.

        :param sequence: the response to generate
        """
        heapq.heappush(self._waiting, (sequence.priority, next(self._arrivals), sequence))
        self._record_load_sample()
        self._wake_event.set()

    def get_reported_load(self) -> LoadSample:
        """:return: the load as of `load_lag_ms` ago"""
        until_ms = self._clock.now_ms() - self._settings.load_lag_ms
        while len(self._samples) > 1 and self._samples[1].at_ms <= until_ms:
            self._samples.popleft()
        if not self._samples or self._samples[0].at_ms > until_ms:
            return LoadSample(until_ms, 0, 0)
        return self._samples[0]

    def clear(self) -> None:
        """Drop all sequences and the cache, as a crash does."""
        self._waiting.clear()
        self._running.clear()
        self.cache.clear()
        self._record_load_sample()

    def stop_with_error(self, error: Exception) -> None:
        """
        End :meth:`run` before its next step.

        :param error: exception that :meth:`run` raises
        """
        self._failure = error
        self._wake_event.set()

    async def run(self) -> None:
        """Generate until cancelled, stopped with an error, or until `on_start` raises."""
        loop = asyncio.get_running_loop()
        step_end_s = loop.time()
        while True:
            if not self._running and not self._waiting:
                self._wake_event.clear()
                await self._wake_event.wait()
                step_end_s = loop.time()
            if self._failure is not None:
                error, self._failure = self._failure, None
                raise error
            prefill_ms = self._admit_waiting()
            batch_ms = self._settings.step_ms_per_request * len(self._running)
            step_ms = (self._settings.step_ms + batch_ms + prefill_ms) * self.slowdown
            step_end_s = max(step_end_s + step_ms / 1_000, loop.time())
            await asyncio.sleep(step_end_s - loop.time())
            self._generate_tokens()

    def _admit_waiting(self) -> float:
        prefill_ms = 0.0
        while self._waiting and len(self._running) < self._settings.max_batch:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.cancelled:
                continue
            self._on_start(sequence)
            cached = min(self.cache.look_up_and_store(sequence.prompt), sequence.prompt_tokens)
            uncached = sequence.prompt_tokens + sequence.next_index - cached
            prefill_ms += uncached * self._settings.prefill_ms_per_token
            self._running.append(sequence)
        self._record_load_sample()
        return prefill_ms

    def _generate_tokens(self) -> None:
        for sequence in self._running:
            if sequence.cancelled:
                continue
            sequence.tokens.put_nowait(generate_token(sequence.prompt, sequence.next_index))
            sequence.next_index += 1
            if sequence.next_index >= sequence.total_tokens:
                sequence.tokens.put_nowait(None)
        self._running = [s for s in self._running if not _is_finished(s)]
        self._record_load_sample()

    def _record_load_sample(self) -> None:
        sample = LoadSample(self._clock.now_ms(), len(self._running), len(self._waiting))
        if self._samples and self._samples[-1].at_ms == sample.at_ms:
            self._samples.pop()
        self._samples.append(sample)


def _is_finished(sequence: Sequence) -> bool:
    return sequence.cancelled or sequence.next_index >= sequence.total_tokens


def _hash_blocks(prompt: str) -> list[str]:
    ends = range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS)
    return [hashlib.sha256(prompt[:end].encode()).hexdigest()[:16] for end in ends]


__all__ = [
    "CacheEvent",
    "EngineSimulation",
    "EngineSimulationSettings",
    "LoadSample",
    "PrefixCache",
    "Sequence",
]
