"""Decide what follows a send to a backend server: answer, send again or give up."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.tables.attempts import CallProgress, SendEnd, SendResult, WholeAnswer
from boragetiller.verdict import Verdict

MAX_REFUSED_SENDS = 4  # a group that refuses so often in a row is full
MIN_TIME_LEFT_SHARE = 0.1  # a send with a tenth of the target left is no use to the caller


class GiveUpReason(Enum):
    """Why no further send is made; counted by value."""

    FULL = "full"  # servers refuse work
    NO_ROOM = "no_room"  # no engine would end the stream in time; see systems.server_room
    NOT_REPEATABLE = "not_repeatable"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"


@attrs.frozen
class PassOn:
    """Give the caller the backend server's answer."""

    answer: WholeAnswer


@attrs.frozen
class SendAgain:
    """Send the request to another backend server."""

    reason: SendEnd


@attrs.frozen
class Refuse:
    """Tell the caller that the request failed, with the verdict over all sends."""

    reason: GiveUpReason
    end: SendEnd
    verdict: Verdict


NextStep = PassOn | SendAgain | Refuse


def note_send(progress: CallProgress, server: str, result: SendResult) -> None:
    """
    Add the end of a send to the progress of its call.

    :param progress: the call so far
    :param server: name of the backend server
    :param result: how the send ended
    """
    progress.sends += 1
    if result.verdict is not Verdict.NOT_RUN:
        progress.ran_on.add(server)
    progress.verdict = progress.verdict.combine(result.verdict)
    if result.end is SendEnd.SERVER_ERROR:
        progress.server_error = result.answer


def decide_next(
    result: SendResult,
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
    if result.end is SendEnd.ANSWERED and result.answer is not None:
        return PassOn(result.answer)
    reason = _reason_to_stop(result, progress, time_left_ms, target_ms, budget_left=budget_left)
    if reason is None:
        return SendAgain(result.end)
    if progress.server_error is not None and progress.relayed_events == 0:
        return PassOn(progress.server_error)
    return Refuse(reason, result.end, progress.verdict)


def _reason_to_stop(
    result: SendResult,
    progress: CallProgress,
    time_left_ms: float,
    target_ms: float,
    *,
    budget_left: bool,
) -> GiveUpReason | None:
    ran = progress.verdict is not Verdict.NOT_RUN
    if ran and not progress.repeatable:
        return GiveUpReason.NOT_REPEATABLE
    if progress.has_all_servers:
        return GiveUpReason.ATTEMPTS
    if progress.sends - len(progress.ran_on) >= MAX_REFUSED_SENDS:
        return GiveUpReason.FULL
    if time_left_ms < MIN_TIME_LEFT_SHARE * target_ms:
        return GiveUpReason.DEADLINE
    if result.end is not SendEnd.UNREACHABLE and not budget_left:
        return GiveUpReason.RETRY_BUDGET
    return None


__all__ = [
    "GiveUpReason",
    "NextStep",
    "PassOn",
    "Refuse",
    "SendAgain",
    "decide_next",
    "note_send",
]
