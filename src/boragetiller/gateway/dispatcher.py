"""Dispatch of calls: placement, attempts, retries and hedging up to the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.gateway.attempt_recorder import AttemptRecorder
from boragetiller.gateway.call_state import CallState, create_call_state
from boragetiller.gateway.call_telemetry import CallTelemetry
from boragetiller.gateway.hedging import PlacedResult, send_hedged
from boragetiller.gateway.responses import (
    build_complete_response,
    build_error_response,
)
from boragetiller.gateway.retry_after import RetryAfter
from boragetiller.gateway.sender import CallSender
from boragetiller.systems.direct_retry_policy import (
    GiveUp,
    GiveUpReason,
    Retry,
    ReturnResponse,
    decide_next_step,
    record_attempt,
)
from boragetiller.systems.response_timeouts import compute_hedge_delay_ms
from boragetiller.systems.stream_resumption import UnknownVersion
from boragetiller.tables.direct_attempts import NOT_SENT_OUTCOMES, DirectAttemptOutcome

if TYPE_CHECKING:
    from aiohttp import web

    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.hedge_controller import HedgeController
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_choice import ServerChooser
    from boragetiller.gateway.state_sync import StateSync
    from boragetiller.gateway.streams.stream_versions import StreamVersions
    from boragetiller.tables.direct_attempts import CompleteResponse, DirectAttemptResult
    from boragetiller.tables.hedging import HedgingSettings
    from boragetiller.tables.server_placement import Placement


class CallDispatcher:
    """Dispatches calls to the backend servers."""

    def __init__(
        self,
        chooser: ServerChooser,
        registry: BackendRegistry,
        state_sync: StateSync,
        dialect: Dialect,
        stream_versions: StreamVersions,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the dispatcher.

        :param chooser: chooses the server of each attempt
        :param registry: backend servers and route configuration
        :param state_sync: state shared with peers; records prompts that are sent
        :param dialect: header names and data formats of the platform
        :param stream_versions: keeps streams at the software version that began them
        :param clock: monotonic clock
        :param metrics: counters
        """
        self._registry = registry
        self._dialect = dialect
        self._telemetry = CallTelemetry(metrics, clock)
        self._recorder = AttemptRecorder(registry, self._telemetry, clock)
        self._retry_after = RetryAfter(registry, clock)
        self._stream_versions = stream_versions
        self._sender = CallSender(registry, state_sync, dialect, stream_versions, clock)
        self._chooser = chooser
        self._clock = clock
        self._hedging: HedgeController | None = None

    def enable_hedging(self, settings: HedgingSettings, state_sync: StateSync) -> None:
        """
        Hedge slow calls within limits.

        :param settings: the operators' limits
        :param state_sync: exchanges recent response times with peers
        """
        # Loaded only if it is configured, since start-up time counts.
        from boragetiller.gateway.hedge_controller import HedgeController  # noqa: PLC0415
        from boragetiller.gateway.latency_exchange import LatencyExchange  # noqa: PLC0415

        state_sync.latencies = LatencyExchange(self._registry, self._clock)
        self._hedging = HedgeController(
            settings,
            self._registry,
            self._chooser,
            self._sender,
            state_sync.latencies,
            self._telemetry,
            self._clock,
        )

    def log_settings(self) -> None:
        """Log the limits on hedged attempts, if there are any."""
        if self._hedging is not None:
            self._hedging.log_settings()

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
        state = create_call_state(call, request)
        if self._retry_after.quarantine_left_ms(call):
            return self._fail_quarantined(state)
        self._registry.get_retry_budget(call.group.name).record_request(self._clock.now_ms())
        self._chooser.record_arrival(call, self._chooser.state)
        if state.stream is not None and state.resumes_stream:
            found = await self._stream_versions.find(call)
            if isinstance(found, UnknownVersion):
                return self._fail_unknown_version(state, found)
            state.stream.software_version = found.version
            state.stream.version_source = found.source
        while True:
            placement = self._chooser.choose(state)
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
        if state.stream is not None:
            state.stream.attempt_begun = False
        if self._hedging is not None:
            return await self._hedging.send(state, placement)
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
        placement = self._chooser.choose(state)
        if placement is not None:
            state.tried_servers.add(placement.server.name)
            budget.record_retry(now_ms)
            self._telemetry.record_hedged(state.call, placement)
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
        if isinstance(decision, Retry) and result.outcome not in NOT_SENT_OUTCOMES:
            budget.record_retry(now_ms)
        return decision

    async def _fail_unplaced(self, state: CallState) -> web.StreamResponse:
        progress = state.progress
        if progress.server_error is not None and not progress.relayed_events:
            return await self._return_response(state, progress.server_error)
        refusal = self._chooser.find_refusal(state)
        decision = GiveUp(
            refusal.reason, DirectAttemptOutcome.FULL, progress.verdict, refusal.pause_left_ms
        )
        return self._fail(state, None, decision, refusal.detail)

    def _fail_quarantined(self, state: CallState) -> web.StreamResponse:
        quarantined = GiveUp(
            GiveUpReason.QUARANTINED, DirectAttemptOutcome.LOST, state.progress.verdict
        )
        detail = (
            "quarantined: the request, or a part of its prompt, crashed the servers that ran it"
        )
        return self._fail(state, None, quarantined, detail)

    def _fail_unknown_version(
        self, state: CallState, unknown: UnknownVersion
    ) -> web.StreamResponse:
        decision = GiveUp(
            GiveUpReason.UNKNOWN_VERSION, DirectAttemptOutcome.FULL, state.progress.verdict
        )
        detail = f"the software version that began the stream: {unknown.reason.value}"
        return self._fail(state, None, decision, detail)

    def _fail(
        self, state: CallState, placement: Placement | None, decision: GiveUp, detail: str
    ) -> web.StreamResponse:
        call, server_status = state.call, state.progress.server_status
        if state.stream is not None and state.stream.event_writer.started:
            self._telemetry.record_failed(call, placement, decision, detail, server_status, None)
            return state.stream.event_writer.abort()
        response = self._retry_after.choose_response(call, decision, self._chooser.state)
        self._telemetry.record_failed(
            call, placement, decision, detail, server_status, response.status
        )
        return build_error_response(response, call.metadata.request_id, self._dialect)


__all__ = ["CallDispatcher"]
