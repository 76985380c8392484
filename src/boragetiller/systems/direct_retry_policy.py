"""Decide the next step after an attempt at a backend server: return the response, retry or fail."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.tables.direct_attempts import (
    NOT_SENT_OUTCOMES,
    CallProgress,
    CompleteResponse,
    DirectAttemptOutcome,
    DirectAttemptResult,
)
from boragetiller.verdict import Verdict

MAX_REFUSED_ATTEMPTS = 4  # after so many refused attempts the whole group counts as full
MIN_TIME_LEFT_SHARE = 0.1  # of the latency target; with less left a retry cannot end in time


class GiveUpReason(Enum):
    """Why no further attempt is made; the value is a metric label, log field and error code."""

    FULL = "full"  # the servers refuse new requests
    NO_ROOM = "no_room"  # no engine would finish the stream in time; see systems.server_capacity
    PAUSED = "paused"  # the servers have asked this router for a pause
    LIMITED = "limited"  # the limits that the servers name leave no room for the request
    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"
    UNKNOWN_VERSION = "unknown_version"  # no record of the software version that began the stream
    VERSION_GONE = "version_gone"  # no server of the version that began the stream accepts calls


@attrs.frozen
class ReturnResponse:
    """Return the backend server's response to the caller."""

    response: CompleteResponse


@attrs.frozen
class Retry:
    """Send the request to another backend server."""

    reason: DirectAttemptOutcome


@attrs.frozen
class GiveUp:
    """Report to the caller that the request failed, with the combined verdict of all attempts."""

    reason: GiveUpReason
    outcome: DirectAttemptOutcome
    verdict: Verdict
    pause_left_ms: int = 0  # until the first of the servers that pause is free


NextStep = ReturnResponse | Retry | GiveUp


def record_attempt(progress: CallProgress, server: str, result: DirectAttemptResult) -> None:
    """
    Add the result of an attempt to the progress of its call.

    :param progress: progress of the call
    :param server: name of the backend server
    :param result: result of the attempt
    """
    progress.last_outcome = result.outcome
    if result.outcome is DirectAttemptOutcome.PAUSED:
        return  # it was no attempt
    progress.attempts += 1
    progress.pauses += result.progress.pause_ms > 0 and result.verdict is Verdict.NOT_RUN
    progress.server_status = result.progress.status
    if result.verdict is not Verdict.NOT_RUN:
        progress.may_have_run_on.add(server)
    progress.verdict = progress.verdict.combine(result.verdict)
    if result.outcome is DirectAttemptOutcome.SERVER_ERROR:
        progress.server_error = result.response


def decide_next_step(
    result: DirectAttemptResult,
    progress: CallProgress,
    time_left_ms: float,
    target_ms: float,
    *,
    budget_left: bool,
) -> NextStep:
    """
    Decide the next step after an attempt.

    :param result: result of the last attempt, already recorded in the progress
    :param progress: progress of the call
    :param time_left_ms: milliseconds until the deadline of the call or the timeout of its route
    :param target_ms: latency target of the route in milliseconds
    :param budget_left: whether the group's retry budget allows one more attempt
    :return: the next step
    """
    if result.outcome is DirectAttemptOutcome.ANSWERED and result.response is not None:
        return ReturnResponse(result.response)
    reason = _find_give_up_reason(
        result, progress, time_left_ms, target_ms, budget_left=budget_left
    )
    if reason is None:
        return Retry(result.outcome)
    if progress.server_error is not None and progress.relayed_events == 0:
        return ReturnResponse(progress.server_error)
    return GiveUp(reason, result.outcome, progress.verdict)


def _find_give_up_reason(
    result: DirectAttemptResult,
    progress: CallProgress,
    time_left_ms: float,
    target_ms: float,
    *,
    budget_left: bool,
) -> GiveUpReason | None:
    may_have_run = progress.verdict is not Verdict.NOT_RUN
    if may_have_run and not progress.repeatable:
        return GiveUpReason.NOT_REPEATABLE
    if progress.server_limit_reached:
        return GiveUpReason.ATTEMPTS
    refused = progress.attempts - len(progress.may_have_run_on)
    if refused - progress.pauses >= MAX_REFUSED_ATTEMPTS:  # a pause says nothing of the others
        return GiveUpReason.FULL
    if time_left_ms < MIN_TIME_LEFT_SHARE * target_ms:
        return GiveUpReason.DEADLINE
    if result.outcome not in NOT_SENT_OUTCOMES and not budget_left:
        return GiveUpReason.RETRY_BUDGET
    return None


__all__ = [
    "GiveUp",
    "GiveUpReason",
    "NextStep",
    "Retry",
    "ReturnResponse",
    "decide_next_step",
    "record_attempt",
]
