"""
Relay of a stream's events from a server to the caller.

All that a later attempt needs to go on is noted before an event is written: what was handed to
the caller's connection counts as delivered, also if the caller takes it late or never.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.caller_limits.body import read_next
from boragetiller.gateway.event_stream import EventSplitter
from boragetiller.systems.crash_suspects import has_survived_start
from boragetiller.systems.slow_callers.unread_time import (
    is_left_unread,
    record_caller_wait,
)
from boragetiller.tables.direct_attempts import (
    CompleteResponse,
    DirectAttemptOutcome,
    DirectAttemptResult,
)

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.event_stream import StreamEvents
    from boragetiller.gateway.outgoing_attempts import OutgoingAttempt, StreamState
    from boragetiller.gateway.server_client import ServerResponse
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.gateway.streams.stream_versions import StreamVersions


class EventRelay:
    """Relays the events of attempts."""

    def __init__(
        self,
        registry: BackendRegistry,
        state_sync: StateSync,
        stream_versions: StreamVersions,
        clock: Clock,
    ) -> None:
        """
        Create the relay of one process.

        :param registry: throughput of the groups, and prompt parts that crash servers
        :param state_sync: counts begun streams for the usage reports
        :param stream_versions: records which software version begins a stream
        :param clock: monotonic clock
        """
        self._registry = registry
        self._state_sync = state_sync
        self._stream_versions = stream_versions
        self._clock = clock

    async def relay(
        self,
        attempt: OutgoingAttempt,
        stream: StreamState,
        response: ServerResponse,
        headers: CIMultiDict[str],
    ) -> DirectAttemptResult:
        """
        Relay a stream to its end.

        :param attempt: the attempt
        :param stream: progress of the stream
        :param response: response of the server, whose header has been read
        :param headers: headers for the caller
        :return: the result of the attempt
        :raises CallerDisconnected: the caller closed its connection
        :raises EventTooLarge: an event of the server exceeds the limit
        :raises aiohttp.ClientError: the connection to the server broke
        """
        splitter, status = EventSplitter(stream.last_event_id), response.metadata.status
        chunks = response.iter_chunks()
        while (chunk := await read_next(chunks, attempt.unread)) is not None:
            if self._state_sync.usage is not None:
                self._state_sync.usage.record_begin(attempt.call, attempt.progress)
            events = splitter.feed(chunk)
            if events.count:
                stream.event_writer.claim()
                self._note_events(attempt, stream, events)
                await self._write(attempt, stream, status, headers, events.data)
        if splitter.has_partial_event:
            return attempt.build_failure(DirectAttemptOutcome.LOST, "stream ended inside an event")
        has_begun = splitter.last_id is not None or attempt.response_progress.events > 0
        if response.is_close_delimited and not has_begun:
            return DirectAttemptResult(
                DirectAttemptOutcome.LOST, detail="connection ended before the first event"
            )
        if response.is_close_delimited and is_left_unread(attempt.unread):
            # Such an end looks the same as that of a response which the server cut off.
            return attempt.build_failure(
                DirectAttemptOutcome.LOST, "connection ended after the caller's pause"
            )
        stream.complete = True
        complete = CompleteResponse(
            server=attempt.server.name, status=status, headers=headers, body=b""
        )
        return DirectAttemptResult(DirectAttemptOutcome.ANSWERED, complete)

    def _note_events(
        self, attempt: OutgoingAttempt, stream: StreamState, events: StreamEvents
    ) -> None:
        now_ms = self._clock.now_ms()
        if stream.first_event_ms is None:
            placement = attempt.placement
            throughput = self._registry.get_throughput(attempt.call.group.name)
            throughput.record_first_event(
                placement.new_tokens, placement.first_event_ms, now_ms - attempt.started_ms
            )
        stream.record_event(now_ms)
        attempt.server.remove_pending_prompt(attempt.call.metadata.request_id)
        self._stream_versions.record_begun(attempt.call, stream, attempt.server)
        stream.last_event_id = events.last_id
        attempt.progress.relayed_events += events.count
        progress = attempt.response_progress
        progress.events += events.count
        if not progress.survived and has_survived_start(progress, now_ms):
            progress.survived = True
            self._registry.clear_parts(attempt.call.metadata.prompt, progress)

    async def _write(
        self,
        attempt: OutgoingAttempt,
        stream: StreamState,
        status: int,
        headers: CIMultiDict[str],
        data: bytes,
    ) -> None:
        """Write events; the time limit on the server's events does not run meanwhile."""
        began_ms = self._clock.now_ms()
        attempt.event_timeout.pause()
        attempt.unread.is_blocked = True  # stays so if the attempt ends meanwhile
        await stream.event_writer.write(status, headers, data)
        attempt.unread.is_blocked = False
        attempt.event_timeout.restart()
        taken_ms = self._clock.now_ms()
        stream.last_event_ms = taken_ms  # the caller's pace counts in no gap between events
        record_caller_wait(attempt.unread, taken_ms - began_ms)


__all__ = ["EventRelay"]
