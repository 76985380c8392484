"""Error responses to calls that failed, and when their callers should come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.gateway.responses import ErrorResponse
from boragetiller.systems.direct_retry_policy import GiveUp, GiveUpReason
from boragetiller.systems.failure_history import quarantine_left_ms
from boragetiller.systems.overload.server_pauses import spread_return_ms
from boragetiller.systems.server_limits import compute_retry_ms
from boragetiller.tables.direct_attempts import DirectAttemptOutcome
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.server_choice import ChoiceState

SERVICE_RETRY_AFTER_S = (0.1, 0.4)  # range for plain services, whose calls take tens of ms
TARGET_SHARES = (0.25, 0.75)  # range for engines; such a retry may be in time
# After these the servers of a group take no calls for a moment.
BUSY_OUTCOMES = frozenset({DirectAttemptOutcome.FULL, DirectAttemptOutcome.UNAVAILABLE})
TIMEOUT_OUTCOMES = frozenset({DirectAttemptOutcome.SILENT, DirectAttemptOutcome.NO_MEMORY})


class RetryAfter:
    """Computes the Retry-After of refusals."""

    def __init__(self, registry: BackendRegistry, clock: Clock) -> None:
        """
        Create the computation for one process.

        :param registry: backend servers with their limits, and the failure history
        :param clock: monotonic clock
        """
        self._registry = registry
        self._clock = clock

    def choose_response(
        self, call: AdmittedCall, decision: GiveUp, state: ChoiceState
    ) -> ErrorResponse:
        """
        Choose the error response to a call that failed before any part of its response was sent.

        :param call: the call
        :param decision: why it failed
        :param state: random generator and limits of the router, or a copy
        :return: the response, with a Retry-After if the caller may repeat the call
        """
        if decision.verdict is Verdict.NOT_RUN:
            status, code = 503, decision.reason.value
        else:
            status = 504 if decision.outcome in TIMEOUT_OUTCOMES else 502
            code = decision.outcome.value
        is_busy = call.route.repeatable and decision.outcome in BUSY_OUTCOMES
        return ErrorResponse(
            status=status,
            code=code,
            verdict=decision.verdict,
            retry_after_s=(
                self.compute_s(call, decision.reason, state, decision.pause_left_ms)
                if decision.verdict is Verdict.NOT_RUN or is_busy
                else None
            ),
        )

    def compute_s(
        self,
        call: AdmittedCall,
        reason: GiveUpReason,
        state: ChoiceState,
        pause_left_ms: int = 0,
    ) -> float:
        """
        Compute the Retry-After of a refusal.

        :param call: the call
        :param reason: why it is refused
        :param state: random generator and limits of the router, or a copy
        :param pause_left_ms: until the first of the servers that pause is free, 0 if none pauses
        :return: time in seconds
        """
        if reason is GiveUpReason.QUARANTINED:
            return self.quarantine_left_ms(call) / 1_000
        if reason in {GiveUpReason.LIMITED, GiveUpReason.PAUSED}:
            times_ms = [spread_return_ms(pause_left_ms, state.rng)] if pause_left_ms else []
            if reason is GiveUpReason.LIMITED:
                times_ms += filter(None, [self._compute_turn_ms(call, state)])
            if times_ms:
                return min(times_ms) / 1_000
        if call.group.engine is None:
            return state.rng.uniform(*SERVICE_RETRY_AFTER_S)
        return state.rng.uniform(*TARGET_SHARES) * call.route.target_ms / 1_000

    def quarantine_left_ms(self, call: AdmittedCall) -> int:
        """
        Compute how long the quarantine of a call will last.

        :param call: the call
        :return: milliseconds, 0 if it may run
        """
        history, now_ms = self._registry.failure_history, self._clock.now_ms()
        return quarantine_left_ms(history, call.fingerprint, call.metadata.prompt, now_ms)

    def _compute_turn_ms(self, call: AdmittedCall, state: ChoiceState) -> float:
        servers = self._registry.servers.find_accepting(call.group.name).servers
        now_ms = self._clock.now_ms()
        return compute_retry_ms(
            state.limits,
            call.group.name,
            [server.name for server in servers],
            call.urgency,
            call.time_left_ms(now_ms),
            now_ms,
        )


__all__ = ["RetryAfter"]
