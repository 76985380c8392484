"""Log lines and counters of what happens to calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.sender import StreamState
    from boragetiller.systems.direct_retry_policy import GiveUp
    from boragetiller.systems.engine_throughput import EngineThroughput
    from boragetiller.tables.direct_attempts import AttemptResult, CallProgress
    from boragetiller.tables.server_placement import Placement


class CallTelemetry:
    """Tells logs and metrics of calls."""

    def __init__(self, metrics: GatewayMetrics, clock: Clock) -> None:
        """
        Put the parts together.

        :param metrics: counters and histograms
        :param clock: monotonic time
        """
        self._metrics = metrics
        self._clock = clock

    def record_placed(
        self,
        call: AdmittedCall,
        placement: Placement,
        pace: EngineThroughput,
        oldest_report_ms: int,
    ) -> None:
        """
        Tell where a call goes, and what the choice was based on.

        :param call: the call
        :param placement: the choice
        :param pace: what was learned of the engines of its group
        :param oldest_report_ms: age of the oldest report of a router that was counted
        """
        log_event(
            Event.CALL_PLACED,
            request_id=call.facts.request_id,
            route=call.route.name,
            urgency=call.urgency,
            server=placement.server.name,
            cost_ms=round(placement.cost_ms),
            first_event_ms=round(placement.first_event_ms),
            new_tokens=placement.new_tokens,
            length_hint_tokens=call.facts.length_hint_tokens,
            read_tokens_per_ms=round(pace.prefill_tokens_per_ms, 1),
            tokens_per_event=round(pace.tokens_per_event, 1),
            in_flight=placement.in_flight,
            peers_heard=placement.reporting_peers,
            oldest_report_ms=oldest_report_ms,
            config_version=call.config_version,
        )

    def record_hedged(self, call: AdmittedCall, placement: Placement) -> None:
        """
        Tell that a second server is asked beside the first.

        :param call: the call
        :param placement: the second server
        """
        self._metrics.repeats.labels("hedge").inc()
        log_event(Event.CALL_HEDGED, request_id=call.facts.request_id, server=placement.server.name)

    def record_attempt_end(self, result: AttemptResult) -> None:
        """
        Count the end of a send.

        :param result: how it ended
        """
        self._metrics.sends.labels(result.outcome.value).inc()

    def record_ejected(
        self, call: AdmittedCall, placement: Placement, result: AttemptResult
    ) -> None:
        """
        Tell that a server gets nothing new for a while.

        :param call: the call whose failure led to it
        :param placement: the server
        :param result: the failure
        """
        self._metrics.ejected.labels(call.group.name).inc()
        log_event(
            Event.SERVER_EJECTED,
            request_id=call.facts.request_id,
            server=placement.server.name,
            end=result.outcome.value,
        )

    def record_repeated(
        self, call: AdmittedCall, placement: Placement, result: AttemptResult
    ) -> None:
        """
        Tell that a call is sent again.

        :param call: the call
        :param placement: where the last send went
        :param result: how it ended
        """
        self._metrics.repeats.labels(result.outcome.value).inc()
        log_event(
            Event.CALL_REPEATED,
            request_id=call.facts.request_id,
            server=placement.server.name,
            end=result.outcome.value,
            detail=result.detail,
        )

    def record_answered(
        self,
        call: AdmittedCall,
        placement: Placement,
        progress: CallProgress,
        stream: StreamState | None,
        status: int,
    ) -> None:
        """
        Tell that a call is answered by a server.

        :param call: the call
        :param placement: the server
        :param progress: its sends
        :param stream: when the first event came, None for a whole answer
        :param status: HTTP status
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
        self._metrics.response_seconds.labels(route).observe(elapsed_ms / 1_000)
        self._metrics.first_event_seconds.labels(route).observe(first_ms / 1_000)
        log_event(
            Event.CALL_ANSWERED,
            request_id=call.facts.request_id,
            route=route,
            server=placement.server.name,
            status=status,
            sends=progress.attempts,
            first_event_ms=first_ms,
            elapsed_ms=elapsed_ms,
            config_version=call.config_version,
        )

    def record_failed(
        self, call: AdmittedCall, placement: Placement | None, step: GiveUp, detail: str
    ) -> None:
        """
        Tell that a call is given up.

        :param call: the call
        :param placement: where the last send went, None when no server took work
        :param step: reason and verdict
        :param detail: what the last send met
        """
        self._metrics.failed.labels(step.reason.value).inc()
        log_event(
            Event.CALL_FAILED,
            request_id=call.facts.request_id,
            route=call.route.name,
            server=placement.server.name if placement else "",
            end=step.outcome.value,
            detail=detail,
            reason=step.reason.value,
            verdict=step.verdict.value,
            deadline_ms=call.facts.deadline_ms,
            timeout_ms=call.route.timeout_ms,
            elapsed_ms=self._clock.now_ms() - call.arrived_ms,
            config_version=call.config_version,
        )


__all__ = ["CallTelemetry"]
