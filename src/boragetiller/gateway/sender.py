"""One attempt of a call at one backend server."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from boragetiller.events import Event, log_event
from boragetiller.gateway.backend_connections import ResponseTooLarge
from boragetiller.gateway.event_stream import EventTooLarge
from boragetiller.gateway.outgoing_attempts import (
    OutgoingAttempt,
    StreamState,
    build_event_timeout,
)
from boragetiller.gateway.server_client import NOT_SENT_ERRORS, TRANSPORT_ERRORS, OutgoingRequest
from boragetiller.gateway.server_pauses import ServerPaused
from boragetiller.gateway.streams.event_relay import EventRelay
from boragetiller.systems.overload.committed_memory import commit_request, release_request
from boragetiller.systems.prefix_cache import estimate_uncached_tokens
from boragetiller.systems.response_outcomes import (
    SUCCESS,
    classify_complete,
    classify_head,
    describe_head,
)
from boragetiller.systems.server_placement import compute_stream_sensitivity
from boragetiller.systems.slow_callers.unread_time import is_left_unread
from boragetiller.tables.call_metadata import ForwardMetadata
from boragetiller.tables.direct_attempts import (
    CompleteResponse,
    DirectAttemptOutcome,
    DirectAttemptResult,
)
from boragetiller.tables.servers import PendingPrompt
from boragetiller.value_checks import is_sendable_header

if TYPE_CHECKING:
    from collections.abc import Iterator

    from multidict import CIMultiDict

    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_client import ServerResponse
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.gateway.streams.stream_versions import StreamVersions
    from boragetiller.tables.direct_attempts import CallProgress
    from boragetiller.tables.server_placement import Placement

MAX_RESPONSE_BODY_RATIO = 4  # size limit of a response body, in limits of a request body


class CallSender:
    """Sends calls to backend servers and tracks the load in flight at each of them."""

    def __init__(
        self,
        registry: BackendRegistry,
        state_sync: StateSync,
        dialect: Dialect,
        stream_versions: StreamVersions,
        clock: Clock,
    ) -> None:
        """
        Create the sender.

        :param registry: backend servers and their clients
        :param state_sync: records prompts that are sent
        :param dialect: header names and data formats of the platform
        :param stream_versions: records which software version begins a stream
        :param clock: monotonic clock
        """
        self._registry = registry
        self._state_sync = state_sync
        self._dialect = dialect
        self._stream_versions = stream_versions
        self._clock = clock
        self._relay = EventRelay(registry, state_sync, stream_versions, clock)

    async def send(
        self,
        call: AdmittedCall,
        placement: Placement,
        progress: CallProgress,
        stream: StreamState | None,
    ) -> DirectAttemptResult:
        """
        Send a call and read the complete response.

        :param call: the call
        :param placement: the server and its estimated latency
        :param progress: progress of the call; relayed events are counted in it
        :param stream: progress of the stream, None for a buffered response
        :return: the result of the attempt
        :raises CallerDisconnected: the caller closed its connection
        """
        attempt = OutgoingAttempt(
            call=call,
            placement=placement,
            progress=progress,
            stream=stream,
            event_timeout=build_event_timeout(call, placement),
            started_ms=self._clock.now_ms(),
        )
        with self._track_in_flight(attempt):
            result = await self._exchange_in_time(attempt)
        return attrs.evolve(result, progress=attempt.response_progress)

    async def _exchange_in_time(self, attempt: OutgoingAttempt) -> DirectAttemptResult:
        left_ms = attempt.call.time_left_ms(attempt.started_ms)
        try:
            async with asyncio.timeout(left_ms / 1_000), attempt.event_timeout.timer:
                return await self._exchange(attempt)
        except TimeoutError:
            is_event = attempt.event_timeout.timer.expired()
            detail = "event timeout" if is_event else "response timeout"
            return attempt.build_failure(DirectAttemptOutcome.SILENT, detail)

    async def _exchange(self, attempt: OutgoingAttempt) -> DirectAttemptResult:
        outgoing = self._build_request(attempt)
        try:
            response = await self._registry.get_client(attempt.server).send(outgoing)
        except ServerPaused as error:
            return DirectAttemptResult(DirectAttemptOutcome.PAUSED, detail=str(error))
        except NOT_SENT_ERRORS as error:
            return DirectAttemptResult(DirectAttemptOutcome.UNREACHABLE, detail=repr(error))
        except TRANSPORT_ERRORS as error:
            return DirectAttemptResult(DirectAttemptOutcome.LOST, detail=repr(error))
        try:
            return await self._read_response(attempt, response)
        except (ResponseTooLarge, EventTooLarge) as error:
            return DirectAttemptResult(DirectAttemptOutcome.GARBLED, detail=str(error))
        except TRANSPORT_ERRORS as error:
            return attempt.build_failure(DirectAttemptOutcome.LOST, repr(error))
        finally:
            response.close()

    def _build_request(self, attempt: OutgoingAttempt) -> OutgoingRequest:
        call, stream = attempt.call, attempt.stream
        metadata = ForwardMetadata(
            server_name=attempt.server.name,
            deadline_ms=call.remaining_deadline_ms(self._clock.now_ms()),
            customer=call.customer.name if call.customer else None,
            urgency=call.urgency if call.group.engine else None,
            last_event_id=stream.last_event_id if stream else call.metadata.last_event_id,
        )
        headers = self._dialect.build_request_headers(call.headers, metadata)
        return OutgoingRequest(
            method=call.method, raw_path=call.raw_path, headers=headers, body=call.body
        )

    async def _read_response(
        self, attempt: OutgoingAttempt, response: ServerResponse
    ) -> DirectAttemptResult:
        metadata, stream = response.metadata, attempt.stream
        attempt.response_progress.started_ms = self._clock.now_ms()
        attempt.response_progress.status = metadata.status
        attempt.response_progress.pause_ms = metadata.pause_ms
        if metadata.load is not None:
            reported_requests = metadata.load.running + metadata.load.waiting
            attempt.server.record_reported_load(reported_requests, self._clock.now_ms())
            if metadata.load.work_time is not None:
                self._state_sync.speeds.record_response(attempt.server, metadata.load.work_time)
        if metadata.leaving and metadata.instance in (None, attempt.server.name):
            self._state_sync.record_leaving(attempt.server)
        if metadata.sealed or metadata.limit_per_s is not None:
            self._registry.notices.record_limit(attempt.server, metadata.limit_per_s)
        if self._state_sync.usage is not None:
            self._state_sync.usage.record_head(
                attempt.call, attempt.progress, metadata, attempt.server.name
            )
        outcome = classify_head(metadata, attempt.server.name)
        if outcome is not None:
            return DirectAttemptResult(outcome, detail=describe_head(metadata))
        if stream is not None and metadata.status in SUCCESS:
            headers = self._build_response_headers(attempt, response)
            return await self._relay.relay(attempt, stream, response, headers)
        if stream is not None and stream.event_writer.started:
            return DirectAttemptResult(
                DirectAttemptOutcome.LOST, detail=f"status {metadata.status} to a resumed stream"
            )
        headers = self._build_response_headers(attempt, response)
        assert self._registry.config is not None
        body = await response.read(
            MAX_RESPONSE_BODY_RATIO * self._registry.config.limits.max_body_bytes, attempt.unread
        )
        if response.is_close_delimited and is_left_unread(attempt.unread):
            # Such an end looks the same as that of a response which the server cut off.
            return attempt.build_failure(
                DirectAttemptOutcome.LOST, "connection ended after a wait for room"
            )
        complete = CompleteResponse(
            server=attempt.server.name, status=metadata.status, headers=headers, body=body
        )
        return DirectAttemptResult(
            classify_complete(metadata), complete, detail=describe_head(metadata)
        )

    def _build_response_headers(
        self, attempt: OutgoingAttempt, response: ServerResponse
    ) -> CIMultiDict[str]:
        """Build the headers for the caller, without those that cannot be sent."""
        headers = self._dialect.build_response_headers(response.headers)
        unsendable = {name for name, value in headers.items() if not is_sendable_header(value)}
        if unsendable:
            log_event(
                Event.RESPONSE_HEADERS_DROPPED,
                request_id=attempt.call.metadata.request_id,
                server=attempt.server.name,
                names=sorted(unsendable),
            )
        for name in unsendable:
            headers.popall(name, None)
        return headers

    @contextmanager
    def _track_in_flight(self, attempt: OutgoingAttempt) -> Iterator[None]:
        call, server = attempt.call, attempt.server
        request_id, prompt = call.metadata.request_id, call.metadata.prompt
        costs = self._registry.get_cost_model(call.group.name)
        sensitivity = compute_stream_sensitivity(call.route.gap_target_ms, costs)
        commitment = None
        server.in_flight += 1
        server.sensitivity += sensitivity
        if prompt is not None and call.group.engine is not None:
            tokens = int(estimate_uncached_tokens(server, prompt, costs))
            server.add_pending_prompt(request_id, PendingPrompt(tokens, call.urgency))
            output_tokens = self._registry.output_lengths.average(call.route.name)
            commitment = commit_request(server.memory, prompt, output_tokens, self._clock.now_ms())
            self._state_sync.record_prompt(server, prompt, call.group.engine)
        try:
            yield
        finally:
            server.in_flight -= 1
            server.sensitivity -= sensitivity
            server.remove_pending_prompt(request_id)
            if commitment is not None:
                release_request(server.memory, commitment)


__all__ = ["CallSender"]
