"""
Two attempts of one call beside each other, of which only the first one to respond is relayed.

The first attempt that has an event for the caller, or a complete response, wins. The other one is
cancelled in the same step, which closes its connection so that the server stops working on it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.hedging import PlacedResult
from boragetiller.gateway.outgoing_attempts import StreamState
from boragetiller.gateway.responses import EventWriter
from boragetiller.tables.direct_attempts import DirectAttemptOutcome, DirectAttemptResult
from boragetiller.tables.server_placement import Placement

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from aiohttp import web
    from multidict import CIMultiDict

    Send = Callable[[Placement, StreamState | None], Coroutine[None, None, DirectAttemptResult]]

CANCELLED = DirectAttemptResult(
    DirectAttemptOutcome.CANCELLED, detail="another server responded first"
)


class RacingWriter(EventWriter):
    """Relays the events of one of two attempts, once it has won."""

    def __init__(self, writer: EventWriter, claim: Callable[[], bool]) -> None:
        """
        Wrap the writer that both attempts share.

        :param writer: writes to the caller
        :param claim: returns whether the attempt has won; the first call wins
        """
        self._writer = writer
        self._claim = claim

    @property
    def started(self) -> bool:
        """See :class:`EventWriter`."""
        return self._writer.started

    def claim(self) -> None:
        """See :class:`EventWriter`; the first attempt that calls this wins."""
        if not self._claim():
            raise asyncio.CancelledError

    async def write(self, status: int, headers: CIMultiDict[str], data: bytes) -> None:
        """See :class:`EventWriter`; an attempt that has lost writes nothing and ends."""
        self.claim()
        await self._writer.write(status, headers, data)

    async def finish(self, status: int, headers: CIMultiDict[str]) -> web.StreamResponse:
        """See :class:`EventWriter`."""
        return await self._writer.finish(status, headers)

    def abort(self) -> web.StreamResponse:
        """See :class:`EventWriter`."""
        return self._writer.abort()


@attrs.define(eq=False)
class RacingAttempt:
    """One of the attempts of a race."""

    placement: Placement
    stream: StreamState | None
    task: asyncio.Task[DirectAttemptResult] = attrs.field(init=False)


class HedgeRace:
    """The attempts of one call."""

    def __init__(
        self, send: Send, stream: StreamState | None, on_response: Callable[[], None]
    ) -> None:
        """
        Create a race without any attempt.

        :param send: makes an attempt at a server
        :param stream: progress of the stream, None for a buffered response; it becomes that of
            the winner
        :param on_response: called once, when the first attempt responds
        """
        self._on_response = on_response
        self._send = send
        self._stream = stream
        self._attempts: list[RacingAttempt] = []
        self._changed = asyncio.Event()  # set once an attempt has won or ended
        self.winner: RacingAttempt | None = None

    def start(self, placement: Placement) -> None:
        """
        Start an attempt.

        :param placement: its server
        """
        attempt = RacingAttempt(placement, None)
        if self._stream is not None:
            writer = RacingWriter(self._stream.event_writer, lambda: self._claim(attempt))
            attempt.stream = attrs.evolve(self._stream, event_writer=writer)
        attempt.task = asyncio.create_task(self._send(placement, attempt.stream))
        attempt.task.add_done_callback(lambda _: self._changed.set())
        self._attempts.append(attempt)

    async def wait_for_response(self, timeout_ms: float) -> bool:
        """
        Wait until an attempt has won or ended.

        :param timeout_ms: milliseconds
        :return: whether one has within the time
        """
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return self._changed.is_set()
        return True

    async def finish(self) -> list[PlacedResult]:
        """
        Wait for the winner's result, or for all attempts to fail.

        :return: results of all attempts, the one to use last
        """
        results: dict[int, PlacedResult] = {}
        running = {attempt.task: attempt for attempt in self._attempts}
        while running:
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                attempt = running.pop(task)
                result = CANCELLED if task.cancelled() else task.result()
                if result.outcome is DirectAttemptOutcome.ANSWERED:
                    self._claim(attempt)
                results[id(attempt)] = PlacedResult(attempt.placement, result)
        if self.winner is not None:
            self._adopt_stream(self.winner)
            results[id(self.winner)] = results.pop(id(self.winner))
        return list(results.values())

    async def close(self) -> None:
        """Cancel the attempts that are still running, and wait for their connections to close."""
        tasks = [attempt.task for attempt in self._attempts]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _claim(self, attempt: RacingAttempt) -> bool:
        if self.winner is None:
            self.winner = attempt
            self._changed.set()
            self._on_response()
            for other in self._attempts:
                if other is not attempt:
                    other.task.cancel()
        return self.winner is attempt

    def _adopt_stream(self, attempt: RacingAttempt) -> None:
        if self._stream is None or attempt.stream is None:
            return
        for name in (
            "last_event_id",
            "software_version",
            "first_event_ms",
            "last_event_ms",
            "longest_gap_ms",
        ):
            setattr(self._stream, name, getattr(attempt.stream, name))
        self._stream.complete = attempt.stream.complete


__all__ = ["HedgeRace", "RacingWriter"]
