"""Records how attempts ended, for later attempts of the same and of other calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.gateway.crash_detector import CrashDetector
from boragetiller.systems.crash_suspects import build_crash_id, find_suspect
from boragetiller.systems.failure_history import (
    clear_request_crashes,
    record_connection_loss,
    record_error,
)
from boragetiller.systems.response_outcomes import SUCCESS
from boragetiller.systems.server_health import record_outcome
from boragetiller.tables.direct_attempts import DirectAttemptOutcome
from boragetiller.tables.failure_history import LostAttempt

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.call_telemetry import CallTelemetry
    from boragetiller.tables.direct_attempts import DirectAttemptResult
    from boragetiller.tables.server_placement import Placement
    from boragetiller.tables.servers import BackendServer


class AttemptRecorder:
    """Updates the failure history and the health of servers."""

    def __init__(self, registry: BackendRegistry, telemetry: CallTelemetry, clock: Clock) -> None:
        """
        Create the recorder of one process.

        :param registry: backend servers and failure history
        :param telemetry: logs and counts the ends
        :param clock: monotonic clock
        """
        self._registry = registry
        self._telemetry = telemetry
        self._clock = clock
        self._crash_detector = CrashDetector(registry)

    async def close(self) -> None:
        """Cancel the probes in progress."""
        await self._crash_detector.close()

    def record_end(
        self, call: AdmittedCall, placement: Placement, result: DirectAttemptResult
    ) -> None:
        """
        Record the end of an attempt.

        :param call: the call
        :param placement: server of the attempt
        :param result: how it ended
        """
        self._telemetry.record_attempt_end(call, placement, result)
        self._record_failure(call, placement.server, result)
        group = self._registry.servers.find_accepting(call.group.name)
        if record_outcome(placement.server, group.servers, result.outcome, self._clock.now_ms()):
            self._telemetry.record_ejected(call, placement, result)

    def _record_failure(
        self, call: AdmittedCall, server: BackendServer, result: DirectAttemptResult
    ) -> None:
        history, now_ms = self._registry.failure_history, self._clock.now_ms()
        match result.outcome:
            case DirectAttemptOutcome.ANSWERED:
                clear_request_crashes(history, call.fingerprint)
                if result.response is not None and result.response.status in SUCCESS:
                    self._registry.clear_parts(call.metadata.prompt, result.progress)
            case DirectAttemptOutcome.SERVER_ERROR | DirectAttemptOutcome.UNAVAILABLE:
                record_error(history, call.fingerprint, server.name, now_ms)
            case DirectAttemptOutcome.LOST:
                self._record_loss(call, server, result)
            case DirectAttemptOutcome.UNREACHABLE:
                self._registry.record_crash(server.name)

    def _record_loss(
        self, call: AdmittedCall, server: BackendServer, result: DirectAttemptResult
    ) -> None:
        now_ms = self._clock.now_ms()
        attempt = LostAttempt(
            fingerprint=call.fingerprint,
            sent_ms=call.arrived_ms,
            lost_ms=now_ms,
            crash_id=build_crash_id(server.name, server.record.started_ms),
            suspect=find_suspect(call.metadata.prompt, result.progress, now_ms),
        )
        record_connection_loss(self._registry.failure_history, server.name, attempt)
        if attempt.suspect is not None:
            self._crash_detector.check(server)


__all__ = ["AttemptRecorder"]
