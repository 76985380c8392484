"""Dispatch of calls: placement, attempts, retries and hedging up to the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.admitted_call import AdmittedCall
from boragetiller.gateway.attempt_recorder import AttemptRecorder
from boragetiller.gateway.call_telemetry import CallTelemetry
from boragetiller.gateway.hedging import PlacedResult, send_hedged
from boragetiller.gateway.outgoing_attempts import StreamState
from boragetiller.gateway.responses import (
    EventWriter,
    build_complete_response,
    build_error_response,
)
from boragetiller.gateway.retry_after import RetryAfter
from boragetiller.gateway.sender import CallSender
from boragetiller.systems.candidates import select_candidates
from boragetiller.systems.direct_retry_policy import (
    GiveUp,
    GiveUpReason,
    Retry,
    ReturnResponse,
    decide_next_step,
    record_attempt,
)
from boragetiller.systems.failure_history import exclude_failed_servers
from boragetiller.systems.output_lengths import estimate_output_tokens
from boragetiller.systems.peer_loads import exclude_silent_peers
from boragetiller.systems.response_timeouts import (
    compute_caller_event_timeout_ms,
    compute_hedge_delay_ms,
)
from boragetiller.systems.server_limits import (
    list_exhausted_servers,
    list_limited_servers,
    take_token,
)
from boragetiller.systems.server_placement import choose_server, compute_stream_sensitivity
from boragetiller.tables.direct_attempts import CallProgress, DirectAttemptOutcome
from boragetiller.tables.server_placement import ServerPlacementRequest

if TYPE_CHECKING:
    from random import Random

    from aiohttp import web

    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.tables.direct_attempts import CompleteResponse, DirectAttemptResult
    from boragetiller.tables.server_placement import Placement
    from boragetiller.tables.servers import BackendServer

NO_ROOM_DETAIL = "no engine can finish the stream in time or has memory for it"


@attrs.define(kw_only=True)
class CallState:
    """A call with its attempts so far."""

    call: AdmittedCall
    progress: CallProgress
    stream: StreamState | None  # None for a buffered response
    tried_servers: set[str] = attrs.field(factory=set)  # names of servers that it was sent to


class CallDispatcher:
    """Dispatches calls to the backend servers."""

    def __init__(
        self,
        settings: GatewaySettings,
        registry: BackendRegistry,
        state_sync: StateSync,
        dialect: Dialect,
        clock: Clock,
        metrics: GatewayMetrics,
        rng: Random,
    ) -> None:
        """
        Create the dispatcher.

        :param settings: settings of the process
        :param registry: backend servers and route configuration
        :param state_sync: state shared with peers; records prompts that are sent
        :param dialect: header names and data formats of the platform
        :param clock: monotonic clock
        :param metrics: counters
        :param rng: seeded random generator
        """
        self._settings = settings
        self._registry = registry
        self._state_sync = state_sync
        self._dialect = dialect
        self._clock = clock
        self._rng = rng
        self._telemetry = CallTelemetry(metrics, clock)
        self._recorder = AttemptRecorder(registry, self._telemetry, clock)
        self._retry_after = RetryAfter(registry, clock, rng)
        self._sender = CallSender(registry, state_sync, dialect, clock)

    async def close(self) -> None:
        """Cancel the probes of crashed servers."""
        await self._recorder.close()

    async def dispatch(self, call: AdmittedCall, request: web.BaseRequest) -> web.StreamResponse:
        """
        Dispatch a call and respond to the caller.

        :param call: the admitted call
        :param request: HTTP request of the caller
        :return: the response
        """
        state = _create_call_state(call, request)
        if self._retry_after.quarantine_left_ms(call):
            return self._fail_quarantined(state)
        self._registry.get_retry_budget(call.group.name).record_request(self._clock.now_ms())
        output_tokens = estimate_output_tokens(call.metadata, call.group.engine)
        if output_tokens is not None:
            self._registry.output_lengths.record(call.route.name, output_tokens)
        while True:
            placement = self._choose_server(state)
            if placement is None:
                return await self._fail_unplaced(state)
            oldest_ms = self._registry.peer_loads.oldest_report_ms(self._clock.now_ms())
            throughput = self._registry.get_throughput(call.group.name)
            self._telemetry.record_placed(call, placement, throughput, oldest_ms)
            for attempt in await self._send(state, placement):
                placement, result = attempt.placement, attempt.result
                record_attempt(state.progress, placement.server.name, result)
                self._recorder.record_end(call, placement, result)
            decision = self._decide_next_step(state, result)
            match decision:
                case ReturnResponse(response=response):
                    return await self._return_response(state, response)
                case Retry():
                    if self._retry_after.quarantine_left_ms(call):
                        return self._fail_quarantined(state)
                    self._telemetry.record_retried(call, placement, result)
                case GiveUp():
                    return self._fail(state, placement, decision, result.detail)

    async def _return_response(
        self, state: CallState, response: CompleteResponse
    ) -> web.StreamResponse:
        """Return a backend server's response to the caller."""
        self._telemetry.record_answered(state.call, response, state.progress, state.stream)
        if state.stream is not None and state.stream.complete:
            self._record_event_size(state)
            return await state.stream.event_writer.finish(response.status, response.headers)
        return build_complete_response(response)

    def _record_event_size(self, state: CallState) -> None:
        """Update the estimate of tokens per event after a stream from a single server."""
        hint_tokens = state.call.metadata.length_hint_tokens
        resumed = state.call.metadata.last_event_id is not None or state.progress.attempts > 1
        if hint_tokens is not None and not resumed:
            throughput = self._registry.get_throughput(state.call.group.name)
            throughput.record_complete_stream(hint_tokens, state.progress.relayed_events)

    async def _send(self, state: CallState, placement: Placement) -> list[PlacedResult]:
        """Make an attempt at a server, hedged if the call allows it; see send_hedged."""
        state.tried_servers.add(placement.server.name)
        if state.stream is not None or not state.call.route.repeatable:
            result = await self._sender.send(state.call, placement, state.progress, state.stream)
            return [PlacedResult(placement, result)]
        return await send_hedged(
            placement,
            lambda chosen: self._sender.send(state.call, chosen, state.progress, None),
            lambda: self._choose_hedge_server(state),
            compute_hedge_delay_ms(state.call.route.target_ms),
        )

    def _choose_hedge_server(self, state: CallState) -> Placement | None:
        now_ms = self._clock.now_ms()
        budget = self._registry.get_retry_budget(state.call.group.name)
        if len(
            state.progress.may_have_run_on
        ) + 1 >= state.progress.max_servers or not budget.allows(now_ms):
            return None
        placement = self._choose_server(state)
        if placement is not None:
            state.tried_servers.add(placement.server.name)
            budget.record_retry(now_ms)
            self._telemetry.record_hedged(state.call, placement)
        return placement

    def _choose_server(self, state: CallState) -> Placement | None:
        call = state.call
        group = self._registry.servers.find_accepting(call.group.name)
        costs = self._registry.get_cost_model(call.group.name, self._state_sync.reporting_share)
        now_ms = self._clock.now_ms()
        exclude_silent_peers(self._registry.peer_loads, now_ms)
        placement_request = ServerPlacementRequest(
            prompt=call.metadata.prompt if call.group.engine else None,
            urgency=call.urgency,
            target_ms=max(1.0, call.route.target_ms),
            sensitivity=compute_stream_sensitivity(call.route.gap_target_ms, costs),
            failure_domain=self._settings.failure_domain,
            time_left_ms=call.time_left_ms(now_ms),
            caller_event_timeout_ms=compute_caller_event_timeout_ms(
                call.route.target_ms, call.route.gap_target_ms
            ),
            typical_output_tokens=self._registry.output_lengths.average(call.route.name),
            memory_tokens=call.group.engine.memory_tokens if call.group.engine else 0,
            is_retry=state.progress.attempts > 0,
            was_refused=state.progress.was_refused,
            response_started=state.progress.relayed_events > 0,
        )
        limits = self._registry.server_limits
        exhausted = list_exhausted_servers(limits, call.urgency, now_ms)
        candidates = select_candidates(
            group, placement_request, state.tried_servers | exhausted, self._rng, now_ms
        )
        candidates = exclude_failed_servers(
            candidates, self._registry.failure_history, call.fingerprint, now_ms
        )
        placement = choose_server(group, candidates, placement_request, costs, now_ms)
        if placement is not None:
            take_token(limits, placement.server.name)
        return placement

    def _decide_next_step(
        self, state: CallState, result: DirectAttemptResult
    ) -> ReturnResponse | Retry | GiveUp:
        now_ms = self._clock.now_ms()
        budget = self._registry.get_retry_budget(state.call.group.name)
        decision = decide_next_step(
            result,
            state.progress,
            state.call.time_left_ms(now_ms),
            state.call.route.target_ms,
            budget_left=budget.allows(now_ms),
        )
        if isinstance(decision, Retry) and result.outcome is not DirectAttemptOutcome.UNREACHABLE:
            budget.record_retry(now_ms)
        return decision

    async def _fail_unplaced(self, state: CallState) -> web.StreamResponse:
        progress = state.progress
        if progress.server_error is not None and not progress.relayed_events:
            return await self._return_response(state, progress.server_error)
        group = state.call.group
        accepting = self._registry.servers.find_accepting(group.name).servers
        if accepting and self._is_limited(accepting):
            limited = GiveUp(GiveUpReason.LIMITED, DirectAttemptOutcome.FULL, progress.verdict)
            return self._fail(state, None, limited, "all servers have reached their limits")
        if group.engine is not None and accepting:
            no_room = GiveUp(GiveUpReason.NO_ROOM, DirectAttemptOutcome.FULL, progress.verdict)
            return self._fail(state, None, no_room, NO_ROOM_DETAIL)
        full = GiveUp(GiveUpReason.FULL, DirectAttemptOutcome.FULL, progress.verdict)
        return self._fail(state, None, full, "no server accepts calls")

    def _fail_quarantined(self, state: CallState) -> web.StreamResponse:
        quarantined = GiveUp(
            GiveUpReason.QUARANTINED, DirectAttemptOutcome.LOST, state.progress.verdict
        )
        detail = (
            "quarantined: the request, or a part of its prompt, crashed the servers that ran it"
        )
        return self._fail(state, None, quarantined, detail)

    def _is_limited(self, servers: tuple[BackendServer, ...]) -> bool:
        """:return: whether each of the servers has a limit"""
        limited = list_limited_servers(self._registry.server_limits)
        return all(server.name in limited for server in servers)

    def _fail(
        self, state: CallState, placement: Placement | None, decision: GiveUp, detail: str
    ) -> web.StreamResponse:
        call, server_status = state.call, state.progress.server_status
        if state.stream is not None and state.stream.event_writer.started:
            self._telemetry.record_failed(call, placement, decision, detail, server_status, None)
            return state.stream.event_writer.abort()
        response = self._retry_after.choose_response(call, decision)
        self._telemetry.record_failed(
            call, placement, decision, detail, server_status, response.status
        )
        return build_error_response(response, call.metadata.request_id, self._dialect)


def _create_call_state(call: AdmittedCall, request: web.BaseRequest) -> CallState:
    route = call.route
    stream = None
    if route.streamed:
        stream = StreamState(
            event_writer=EventWriter(request), last_event_id=call.metadata.last_event_id
        )
    progress = CallProgress(repeatable=route.repeatable, max_servers=route.max_attempts)
    return CallState(call=call, progress=progress, stream=stream)


__all__ = ["CallState", "CallDispatcher"]
