"""Carry out one send of a call to one backend server."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.admitted_call import AdmittedCall
from boragetiller.gateway.backend_connections import ResponseTooLarge
from boragetiller.gateway.event_stream import EventSplitter, EventTooLarge
from boragetiller.gateway.responses import EventSink
from boragetiller.gateway.server_client import NOT_SENT_ERRORS, TRANSPORT_ERRORS, OutgoingRequest
from boragetiller.systems.prefix_cache import uncached_tokens
from boragetiller.systems.response_timeouts import stream_timeouts
from boragetiller.systems.server_placement import stream_sensitivity
from boragetiller.tables.call_metadata import ForwardMetadata
from boragetiller.tables.direct_attempts import (
    AttemptOutcome,
    AttemptResult,
    CallProgress,
    CompleteResponse,
)
from boragetiller.tables.server_placement import Placement
from boragetiller.tables.servers import PendingPrompt

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_client import ServerResponse
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.tables.call_metadata import ResponseMetadata
    from boragetiller.tables.servers import BackendServer

SUCCESS = range(200, 300)
FIRST_SERVER_ERROR = 500
MISDIRECTED = 421
MAX_RESPONSE_BODY_RATIO = (
    4  # an answer may have so many times the bytes that a caller's body may have
)


@attrs.define(kw_only=True)
class StreamState:
    """What the caller has of a stream."""

    sink: EventSink
    last_event_id: str | None
    first_event_ms: int | None = None  # monotonic time
    last_event_ms: int = 0  # monotonic time
    longest_gap_ms: int = 0  # between two events
    complete: bool = False

    def note_event(self, now_ms: int) -> None:
        """
        Note that an event has come.

        :param now_ms: monotonic time in milliseconds
        """
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms


@attrs.frozen(kw_only=True)
class EventTimeout:
    """Ends a send whose stream is silent for too long."""

    timer: asyncio.Timeout
    between_events_s: float | None  # None for no limit

    def note_event(self) -> None:
        """Start the time anew."""
        if self.between_events_s is not None:
            self.timer.reschedule(asyncio.get_running_loop().time() + self.between_events_s)


@attrs.frozen(kw_only=True)
class OutgoingAttempt:
    """One send of a call to one backend server."""

    call: AdmittedCall
    placement: Placement  # where to, and what is expected there
    progress: CallProgress  # relayed events are counted in it
    stream: StreamState | None  # None for a whole answer
    event_timeout: EventTimeout
    started_ms: int  # monotonic time

    @property
    def server(self) -> BackendServer:
        """:return: where the call goes"""
        return self.placement.server


class CallSender:
    """Sends calls and keeps account of what is under way where."""

    def __init__(
        self,
        registry: BackendRegistry,
        state_sync: StateSync,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        """
        Put the parts together.

        :param fleet: backend servers and their clients
        :param beliefs: told of prompts that were sent
        :param dialect: words of the platform
        :param clock: monotonic time
        """
        self._registry = registry
        self._state_sync = state_sync
        self._dialect = dialect
        self._clock = clock

    async def send(
        self,
        call: AdmittedCall,
        placement: Placement,
        progress: CallProgress,
        stream: StreamState | None,
    ) -> AttemptResult:
        """
        Send a call and read its answer to the end.

        :param call: the call
        :param placement: where to, and what is expected there
        :param progress: the call so far; relayed events are counted in it
        :param stream: what the caller has of the stream, None for a whole answer
        :return: how the send ended
        :raises CallerGone: the caller has left
        """
        attempt = OutgoingAttempt(
            call=call,
            placement=placement,
            progress=progress,
            stream=stream,
            event_timeout=_event_timeout(call, placement),
            started_ms=self._clock.now_ms(),
        )
        left_ms = call.time_left_ms(attempt.started_ms)
        with self._track_in_flight(attempt):
            try:
                async with asyncio.timeout(left_ms / 1_000), attempt.event_timeout.timer:
                    return await self._exchange(attempt)
            except TimeoutError:
                if attempt.event_timeout.timer.expired():
                    return AttemptResult(AttemptOutcome.SILENT, detail="no event in time")
                return AttemptResult(AttemptOutcome.SILENT, detail="no whole answer in time")

    async def _exchange(self, attempt: OutgoingAttempt) -> AttemptResult:
        outgoing = self._build_request(attempt)
        try:
            answer = await self._registry.client(attempt.server).send(outgoing)
        except NOT_SENT_ERRORS as error:
            return AttemptResult(AttemptOutcome.UNREACHABLE, detail=repr(error))
        except TRANSPORT_ERRORS as error:
            return AttemptResult(AttemptOutcome.LOST, detail=repr(error))
        try:
            return await self._read_response(attempt, answer)
        except (ResponseTooLarge, EventTooLarge) as error:
            return AttemptResult(AttemptOutcome.GARBLED, detail=str(error))
        except TRANSPORT_ERRORS as error:
            return AttemptResult(AttemptOutcome.LOST, detail=repr(error))
        finally:
            answer.close()

    def _build_request(self, attempt: OutgoingAttempt) -> OutgoingRequest:
        call, stream = attempt.call, attempt.stream
        facts = ForwardMetadata(
            server_name=attempt.server.name,
            deadline_ms=call.remaining_deadline_ms(self._clock.now_ms()),
            customer=call.customer.name if call.customer else None,
            urgency=call.urgency if call.group.engine else None,
            last_event_id=stream.last_event_id if stream else call.facts.last_event_id,
        )
        headers = self._dialect.forward_headers(call.headers, facts)
        return OutgoingRequest(
            method=call.method, raw_path=call.raw_path, headers=headers, body=call.body
        )

    async def _read_response(
        self, attempt: OutgoingAttempt, answer: ServerResponse
    ) -> AttemptResult:
        facts, stream = answer.facts, attempt.stream
        if facts.load is not None:
            told = facts.load.running + facts.load.waiting
            attempt.server.record_reported_load(told, self._clock.now_ms())
        succeeded = facts.status in SUCCESS
        if facts.not_run:
            end = AttemptOutcome.MISDIRECTED if facts.status == MISDIRECTED else AttemptOutcome.FULL
            return AttemptResult(end, detail=f"status {facts.status}")
        if facts.encoded or (succeeded and not facts.sealed):
            return AttemptResult(
                AttemptOutcome.GARBLED, detail=f"status {facts.status}, no receipt"
            )
        if stream is not None and succeeded:
            return await self._relay_events(attempt, stream, answer)
        if stream is not None and stream.sink.started:
            return AttemptResult(
                AttemptOutcome.LOST, detail=f"status {facts.status} to a resumed stream"
            )
        headers = self._dialect.response_headers(answer.headers)
        assert self._registry.config is not None
        body = await answer.read(
            MAX_RESPONSE_BODY_RATIO * self._registry.config.limits.max_body_bytes
        )
        return _buffered_result(
            facts, CompleteResponse(status=facts.status, headers=headers, body=body)
        )

    async def _relay_events(
        self, attempt: OutgoingAttempt, stream: StreamState, answer: ServerResponse
    ) -> AttemptResult:
        splitter = EventSplitter(stream.last_event_id)
        headers = self._dialect.response_headers(answer.headers)
        async for chunk in answer.chunks():
            events = splitter.feed(chunk)
            if not events.count:
                continue
            attempt.event_timeout.note_event()
            if stream.first_event_ms is None:
                self._record_first_event(attempt)
            stream.note_event(self._clock.now_ms())
            attempt.server.remove_pending_prompt(attempt.call.facts.request_id)
            await stream.sink.write(answer.facts.status, headers, events.data)
            attempt.progress.relayed_events += events.count
            stream.last_event_id = events.last_id
        if splitter.has_partial_event:
            return AttemptResult(AttemptOutcome.GARBLED, detail="the stream ended inside an event")
        stream.complete = True
        whole = CompleteResponse(status=answer.facts.status, headers=headers, body=b"")
        return AttemptResult(AttemptOutcome.ANSWERED, whole)

    def _record_first_event(self, attempt: OutgoingAttempt) -> None:
        placement = attempt.placement
        pace = self._registry.pace(attempt.call.group.name)
        took_ms = self._clock.now_ms() - attempt.started_ms
        pace.record_first_event(placement.new_tokens, placement.first_event_ms, took_ms)

    @contextmanager
    def _track_in_flight(self, attempt: OutgoingAttempt) -> Iterator[None]:
        call, server = attempt.call, attempt.server
        request_id, prompt = call.facts.request_id, call.facts.prompt
        costs = self._registry.costs(call.group.name)
        sensitivity = stream_sensitivity(call.route.gap_target_ms, costs)
        server.in_flight += 1
        server.sensitivity += sensitivity
        if prompt is not None and call.group.engine is not None:
            tokens = int(uncached_tokens(server, prompt, costs))
            server.add_pending_prompt(request_id, PendingPrompt(tokens, call.urgency))
            self._state_sync.record_prompt(server, prompt, call.group.engine)
        try:
            yield
        finally:
            server.in_flight -= 1
            server.sensitivity -= sensitivity
            server.remove_pending_prompt(request_id)


def _event_timeout(call: AdmittedCall, placement: Placement) -> EventTimeout:
    """Only streams that may go on elsewhere are not waited for until their deadline."""
    if not (call.route.streamed and call.route.resumable):
        return EventTimeout(timer=asyncio.timeout(None), between_events_s=None)
    patience = stream_timeouts(
        call.route.target_ms, call.route.gap_target_ms, placement.first_event_ms
    )
    return EventTimeout(
        timer=asyncio.timeout(patience.first_event_ms / 1_000),
        between_events_s=patience.between_events_ms / 1_000,
    )


def _buffered_result(facts: ResponseMetadata, answer: CompleteResponse) -> AttemptResult:
    if facts.status < FIRST_SERVER_ERROR:
        return AttemptResult(AttemptOutcome.ANSWERED, answer)
    if facts.sealed:
        return AttemptResult(AttemptOutcome.SERVER_ERROR, answer)
    return AttemptResult(AttemptOutcome.GARBLED, detail=f"status {facts.status} without a receipt")


__all__ = ["OutgoingAttempt", "CallSender", "EventTimeout", "StreamState"]
