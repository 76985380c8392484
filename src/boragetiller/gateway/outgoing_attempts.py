"""An attempt of a call in progress, and the time limits on the events of its response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.admitted_call import AdmittedCall
from boragetiller.gateway.responses import EventWriter
from boragetiller.systems.response_timeouts import compute_stream_timeouts
from boragetiller.systems.slow_callers.unread_time import UnreadTime, is_left_unread
from boragetiller.tables.direct_attempts import (
    CallProgress,
    DirectAttemptOutcome,
    DirectAttemptResult,
    ResponseProgress,
)
from boragetiller.tables.server_placement import Placement
from boragetiller.tables.stream_versions import VersionSource

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer


@attrs.define(kw_only=True)
class StreamState:
    """Progress of a stream towards the caller."""

    event_writer: EventWriter
    last_event_id: str | None
    software_version: str | None = None  # that began the stream; no other one may go on with it
    version_source: VersionSource = VersionSource.OWN
    attempt_begun: bool = False  # whether the present attempt has brought an event
    first_event_ms: int | None = None  # monotonic time of the first event
    last_event_ms: int = 0  # monotonic time of the last event
    longest_gap_ms: int = 0  # between two events
    complete: bool = False

    def record_event(self, now_ms: int) -> None:
        """
        Record the arrival of an event.

        :param now_ms: monotonic time in milliseconds
        """
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms


@attrs.frozen(kw_only=True)
class EventTimeout:
    """Time limits on the first event of a stream and between events."""

    timer: asyncio.Timeout
    between_events_s: float | None  # None for no limit

    def pause(self) -> None:
        """Stop the timer while the caller takes an event."""
        if self.between_events_s is not None:
            self.timer.reschedule(None)

    def restart(self) -> None:
        """Restart the timer once the caller has taken an event."""
        if self.between_events_s is not None:
            self.timer.reschedule(asyncio.get_running_loop().time() + self.between_events_s)


@attrs.frozen(kw_only=True)
class OutgoingAttempt:
    """An attempt in progress."""

    call: AdmittedCall
    placement: Placement  # the server and its estimated latency
    progress: CallProgress  # of the call; relayed events are counted in it
    stream: StreamState | None  # None for a buffered response
    event_timeout: EventTimeout
    started_ms: int  # monotonic time of the start
    response_progress: ResponseProgress = attrs.field(factory=ResponseProgress)
    unread: UnreadTime = attrs.field(factory=UnreadTime)

    @property
    def server(self) -> BackendServer:
        """:return: the server of the attempt"""
        return self.placement.server

    def build_failure(self, outcome: DirectAttemptOutcome, detail: str) -> DirectAttemptResult:
        """
        Build the result of an attempt that was lost or timed out.

        :param outcome: outcome if the server was at fault
        :param detail: what happened
        :return: the result, with another outcome if the router did not read the response
        """
        if is_left_unread(self.unread):
            for_room = self.unread.waits_for_room
            outcome = DirectAttemptOutcome.NO_MEMORY if for_room else DirectAttemptOutcome.UNREAD
        return DirectAttemptResult(outcome, detail=detail)


def build_event_timeout(call: AdmittedCall, placement: Placement) -> EventTimeout:
    """
    Limit the silence of resumable streams, which can continue at another server.

    :param call: the call
    :param placement: the server and its estimated latency
    :return: the limits, none for other calls
    """
    if not (call.route.streamed and call.route.resumable):
        return EventTimeout(timer=asyncio.timeout(None), between_events_s=None)
    timeouts = compute_stream_timeouts(
        call.route.target_ms, call.route.gap_target_ms, placement.first_event_ms
    )
    return EventTimeout(
        timer=asyncio.timeout(timeouts.first_event_ms / 1_000),
        between_events_s=timeouts.between_events_ms / 1_000,
    )


__all__ = ["EventTimeout", "OutgoingAttempt", "StreamState", "build_event_timeout"]
