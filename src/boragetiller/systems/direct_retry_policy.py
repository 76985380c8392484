"""Decide what follows a send to a backend server: answer, send again or give up."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.tables.direct_attempts import (
    AttemptOutcome,
    AttemptResult,
    CallProgress,
    CompleteResponse,
)
from boragetiller.verdict import Verdict

MAX_REFUSED_SENDS = 4  # a group that refuses so often in a row is full
MIN_TIME_LEFT_SHARE = 0.1  # a send with a tenth of the target left is no use to the caller


class GiveUpReason(Enum):
    """Why no further send is made; counted by value."""

    FULL = "full"  # servers refuse work
    NO_ROOM = "no_room"  # no engine would end the stream in time; see systems.server_capacity
    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"


@attrs.frozen
class ReturnResponse:
    """Give the caller the backend server's answer."""

    response: CompleteResponse


@attrs.frozen
class Retry:
    """Send the request to another backend server."""

    reason: AttemptOutcome


@attrs.frozen
class GiveUp:
    """Tell the caller that the request failed, with the verdict over all sends."""

    reason: GiveUpReason
    outcome: AttemptOutcome
    verdict: Verdict


NextStep = ReturnResponse | Retry | GiveUp


def record_attempt(progress: CallProgress, server: str, result: AttemptResult) -> None:
    """
    Add the end of a send to the progress of its call.

    :param progress: the call so far
    :param server: name of the backend server
    :param result: how the send ended
    """
    progress.attempts += 1
    if result.verdict is not Verdict.NOT_RUN:
        progress.may_have_run_on.add(server)
    progress.verdict = progress.verdict.combined(result.verdict)
    if result.outcome is AttemptOutcome.SERVER_ERROR:
        progress.server_error = result.response


def decide_next_step(
    result: AttemptResult,
    progress: CallProgress,
    time_left_ms: float,
    target_ms: float,
    *,
    budget_left: bool,
) -> NextStep:
    """
    Decide what follows a send.

    :param result: how the last send ended, already noted
    :param progress: the call so far
    :param time_left_ms: until the deadline of the call or the timeout of its route
    :param target_ms: latency target of the route
    :param budget_left: whether the group's retry budget allows one more arrival
    :return: the next step
    """
    if result.outcome is AttemptOutcome.ANSWERED and result.response is not None:
        return ReturnResponse(result.response)
    reason = _reason_to_stop(result, progress, time_left_ms, target_ms, budget_left=budget_left)
    if reason is None:
        return Retry(result.outcome)
    if progress.server_error is not None and progress.relayed_events == 0:
        return ReturnResponse(progress.server_error)
    return GiveUp(reason, result.outcome, progress.verdict)


def _reason_to_stop(
    result: AttemptResult,
    progress: CallProgress,
    time_left_ms: float,
    target_ms: float,
    *,
    budget_left: bool,
) -> GiveUpReason | None:
    ran = progress.verdict is not Verdict.NOT_RUN
    if ran and not progress.repeatable:
        return GiveUpReason.NOT_REPEATABLE
    if progress.server_limit_reached:
        return GiveUpReason.ATTEMPTS
    if progress.attempts - len(progress.may_have_run_on) >= MAX_REFUSED_SENDS:
        return GiveUpReason.FULL
    if time_left_ms < MIN_TIME_LEFT_SHARE * target_ms:
        return GiveUpReason.DEADLINE
    if result.outcome is not AttemptOutcome.UNREACHABLE and not budget_left:
        return GiveUpReason.RETRY_BUDGET
    return None


__all__ = [
    "GiveUpReason",
    "NextStep",
    "ReturnResponse",
    "GiveUp",
    "Retry",
    "decide_next_step",
    "record_attempt",
]
