"""Log events and metrics of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.systems.direct_retry_policy import GiveUpReason
from boragetiller.tables.direct_attempts import DirectAttemptOutcome

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.outgoing_attempts import StreamState
    from boragetiller.systems.direct_retry_policy import GiveUp
    from boragetiller.systems.engine_throughput import EngineThroughput
    from boragetiller.tables.direct_attempts import (
        CallProgress,
        CompleteResponse,
        DirectAttemptResult,
    )
    from boragetiller.tables.hedging import HedgeRefusal
    from boragetiller.tables.server_placement import Placement


class CallTelemetry:
    """Writes the log events and updates the metrics of calls."""

    def __init__(self, metrics: GatewayMetrics, clock: Clock) -> None:
        """
        Create the telemetry of one process.

        :param metrics: counters and histograms
        :param clock: monotonic clock
        """
        self._metrics = metrics
        self._clock = clock

    def record_placed(
        self,
        call: AdmittedCall,
        placement: Placement,
        throughput: EngineThroughput,
        oldest_report_ms: int,
    ) -> None:
        """
        Log which server a call is sent to, and the figures behind the choice.

        :param call: the call
        :param placement: the chosen server and its estimated cost
        :param throughput: throughput measured at the engines of its group
        :param oldest_report_ms: age in milliseconds of the oldest peer report that was counted
        """
        log_event(
            Event.CALL_PLACED,
            request_id=call.metadata.request_id,
            route=call.route.name,
            urgency=call.urgency,
            server=placement.server.name,
            software_version=placement.server.record.software_version,
            resumes=call.metadata.resumed_request_id,
            cost_ms=round(placement.cost_ms),
            first_event_ms=round(placement.first_event_ms),
            new_tokens=placement.new_tokens,
            length_hint_tokens=call.metadata.length_hint_tokens,
            read_tokens_per_ms=round(throughput.prefill_tokens_per_ms, 1),
            tokens_per_event=round(throughput.tokens_per_event, 1),
            in_flight=placement.in_flight,
            peers_heard=placement.reporting_peers,
            oldest_report_ms=oldest_report_ms,
            config_version=call.config_version,
        )

    def record_hedged(self, call: AdmittedCall, placement: Placement) -> None:
        """
        Log and count a hedged attempt at a second server.

        :param call: the call
        :param placement: the second server
        """
        self._metrics.retries.labels("hedge").inc()
        log_event(
            Event.CALL_HEDGED, request_id=call.metadata.request_id, server=placement.server.name
        )

    def record_hedge_sent(self, call: AdmittedCall, prompt_tokens: int) -> None:
        """
        Count a hedged attempt that the operators' limits include.

        :param call: the call
        :param prompt_tokens: tokens that the additional attempt costs an engine
        """
        self._metrics.hedged_prompt_tokens.labels(call.route.name).inc(prompt_tokens)

    def record_hedge_withheld(self, call: AdmittedCall, refusal: HedgeRefusal) -> None:
        """
        Count a slow call that got no hedged attempt.

        :param call: the call
        :param refusal: why not
        """
        self._metrics.hedges_withheld.labels(call.route.name, refusal.value).inc()

    def record_hedge_ended(
        self,
        call: AdmittedCall,
        first: Placement,
        second: Placement,
        winner: Placement | None,
        delay_ms: float,
    ) -> None:
        """
        Log and count the result of a hedged attempt within the operators' limits.

        :param call: the call
        :param first: server of the first attempt
        :param second: server of the hedged attempt
        :param winner: which of them responded first, None if both failed
        :param delay_ms: milliseconds after which the hedged attempt was sent
        """
        result = "failed" if winner is None else "won" if winner is second else "lost"
        self._metrics.hedges.labels(call.route.name, result).inc()
        log_event(
            Event.HEDGE_ENDED,
            request_id=call.metadata.request_id,
            route=call.route.name,
            first=first.server.name,
            second=second.server.name,
            result=result,
            delay_ms=round(delay_ms),
        )

    def record_attempt_end(
        self, call: AdmittedCall, placement: Placement, result: DirectAttemptResult
    ) -> None:
        """
        Count the end of an attempt; log a broken connection to an engine, or a caller that stalls.

        :param call: the call
        :param placement: server of the attempt
        :param result: how it ended
        """
        self._metrics.attempts.labels(result.outcome.value).inc()
        if result.outcome is DirectAttemptOutcome.UNREAD:
            log_event(
                Event.CALLER_NOT_READING,
                request_id=call.metadata.request_id,
                route=call.route.name,
                server=placement.server.name,
                events=result.progress.events,
                detail=result.detail,
                elapsed_ms=self._clock.now_ms() - call.arrived_ms,
            )
        if result.outcome is not DirectAttemptOutcome.LOST or call.metadata.prompt is None:
            return
        started_ms = result.progress.started_ms
        log_event(
            Event.ATTEMPT_LOST,
            request_id=call.metadata.request_id,
            server=placement.server.name,
            shared_parts=[part.part_id for part in call.metadata.prompt.shared_parts],
            response_age_ms=None if started_ms is None else self._clock.now_ms() - started_ms,
            events=result.progress.events,
            detail=result.detail,
        )

    def record_ejected(
        self, call: AdmittedCall, placement: Placement, result: DirectAttemptResult
    ) -> None:
        """
        Log and count that a server was ejected and gets no new calls for a while.

        :param call: the call whose failure caused the ejection
        :param placement: the server
        :param result: the failure
        """
        self._metrics.ejections.labels(call.group.name).inc()
        log_event(
            Event.SERVER_EJECTED,
            request_id=call.metadata.request_id,
            server=placement.server.name,
            end=result.outcome.value,
        )

    def record_retried(
        self, call: AdmittedCall, placement: Placement, result: DirectAttemptResult
    ) -> None:
        """
        Log and count that a call is retried.

        :param call: the call
        :param placement: server of the failed attempt
        :param result: how that attempt ended
        """
        self._metrics.retries.labels(result.outcome.value).inc()
        log_event(
            Event.CALL_REPEATED,
            request_id=call.metadata.request_id,
            server=placement.server.name,
            end=result.outcome.value,
            detail=result.detail,
        )

    def record_answered(
        self,
        call: AdmittedCall,
        response: CompleteResponse,
        progress: CallProgress,
        stream: StreamState | None,
    ) -> None:
        """
        Log and count a call that a server answered, and observe its latencies.

        :param call: the call
        :param response: the response that is returned, not always that of the last attempt
        :param progress: the attempts of the call
        :param stream: times of the stream's events, None for a buffered response
        """
        elapsed_ms = self._clock.now_ms() - call.arrived_ms
        first_ms = elapsed_ms
        if stream is not None and stream.first_event_ms is not None:
            first_ms = stream.first_event_ms - call.arrived_ms
            self._metrics.event_gap_seconds.labels(call.route.name).observe(
                stream.longest_gap_ms / 1_000
            )
        route = call.route.name
        self._metrics.answered.labels(route).inc()
        if call.group.scaling is not None and first_ms > call.route.target_ms:
            self._metrics.late_calls[call.group.name] += 1
        self._metrics.response_seconds.labels(route).observe(elapsed_ms / 1_000)
        self._metrics.first_event_seconds.labels(route).observe(first_ms / 1_000)
        log_event(
            Event.CALL_ANSWERED,
            request_id=call.metadata.request_id,
            route=route,
            server=response.server,
            server_status=response.status,
            status=response.status,
            verdict=progress.verdict.value,
            sends=progress.attempts,
            first_event_ms=first_ms,
            elapsed_ms=elapsed_ms,
            config_version=call.config_version,
        )

    def record_failed(
        self,
        call: AdmittedCall,
        placement: Placement | None,
        step: GiveUp,
        detail: str,
        server_status: int | None,
        status: int | None,
    ) -> None:
        """
        Log and count a call that failed.

        :param call: the call
        :param placement: server of the last attempt, None when no server accepted the call
        :param step: reason and verdict
        :param detail: error of the last attempt
        :param server_status: HTTP status of the last attempt's response, None without a response
        :param status: HTTP status sent to the caller, None if the connection is closed instead
        """
        self._metrics.failed.labels(step.reason.value).inc()
        lacks_room = step.reason in {GiveUpReason.FULL, GiveUpReason.NO_ROOM}
        if call.group.scaling is not None and lacks_room:
            self._metrics.refused_calls[call.group.name] += 1
        log_event(
            Event.CALL_FAILED,
            request_id=call.metadata.request_id,
            route=call.route.name,
            server=placement.server.name if placement else "",
            end=step.outcome.value,
            detail=detail,
            reason=step.reason.value,
            server_status=server_status,
            status=status,
            verdict=step.verdict.value,
            deadline_ms=call.metadata.deadline_ms,
            timeout_ms=call.route.timeout_ms,
            elapsed_ms=self._clock.now_ms() - call.arrived_ms,
            config_version=call.config_version,
        )


__all__ = ["CallTelemetry"]
