"""How the stand-in engine computes: continuous batching and a bounded prefix cache."""

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
    """Speed and limits of a stand-in engine."""

    max_batch: int = 8
    step_ms: float = 5.0
    step_ms_per_request: float = 0.2
    prefill_ms_per_token: float = 0.05
    cache_blocks: int = 256
    load_lag_ms: int = 500
    event_lag_ms: int = 1_000
    event_gap: int = 7  # each event with a number divisible by this is never told


@attrs.define(eq=False, kw_only=True)
class Sequence:
    """One answer being generated."""

    request_id: str
    prompt: str
    prompt_tokens: int
    total_tokens: int
    next_index: int = 0
    priority: int = 0
    tokens: asyncio.Queue[str | None] = attrs.Factory(asyncio.Queue)  # None ends it
    cancelled: bool = False


@attrs.frozen
class LoadSample:
    """Load at one moment."""

    at_ms: int
    running: int
    waiting: int


@attrs.frozen
class CacheEvent:
    """A block of the prefix cache that was stored or evicted."""

    number: int
    at_ms: int
    kind: str
    block: str


class PrefixCache:
    """Least recently used blocks of prompt prefixes."""

    def __init__(self, settings: EngineSimulationSettings, clock: Clock) -> None:
        """
        Start empty.

        :param settings: size, lag and gaps
        :param clock: time of the events
        """
        self._settings = settings
        self._clock = clock
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._numbers = itertools.count(1)

    def look_up_and_store(self, prompt: str) -> int:
        """
        Look a prompt up and store its blocks.

        :param prompt: the whole prompt
        :return: tokens of its prefix that were cached
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
        """Forget everything, as a restart does."""
        self._blocks.clear()

    def list_events(self, number: int) -> list[CacheEvent]:
        """
        List events, late and with gaps.

        :param number: only events with a higher number
        :return: what is told by now
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
    """Generates tokens of all running sequences step by step."""

    def __init__(
        self,
        settings: EngineSimulationSettings,
        clock: Clock,
        on_start: Callable[[Sequence], None],
    ) -> None:
        """
        Start idle.

        :param settings: speed and limits
        :param clock: time of load samples
        :param on_start: called when a sequence enters the batch; may raise to end the batch loop
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
        """:return: sequences that are not in the batch yet"""
        return len(self._waiting)

    def submit(self, sequence: Sequence) -> None:
        """
        Queue a sequence; lower priority numbers go first.

        :param sequence: what to generate
        """
        heapq.heappush(self._waiting, (sequence.priority, next(self._arrivals), sequence))
        self._record_load_sample()
        self._wake_event.set()

    def get_reported_load(self) -> LoadSample:
        """:return: the load as it was some time ago"""
        until_ms = self._clock.now_ms() - self._settings.load_lag_ms
        while len(self._samples) > 1 and self._samples[1].at_ms <= until_ms:
            self._samples.popleft()
        if not self._samples or self._samples[0].at_ms > until_ms:
            return LoadSample(until_ms, 0, 0)
        return self._samples[0]

    def clear(self) -> None:
        """Forget all work and the cache, as a crash does."""
        self._waiting.clear()
        self._running.clear()
        self.cache.clear()
        self._record_load_sample()

    def stop_with_error(self, error: Exception) -> None:
        """
        End the batch loop.

        :param error: what :meth:`run` raises
        """
        self._failure = error
        self._wake_event.set()

    async def run(self) -> None:
        """Generate until cancelled, told to fail, or until `on_start` raises."""
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
