"""Decide what follows the end of an attempt: answer, retry, resume or give up."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import (
    BackendUnreachable,
    BoragetillerError,
    ClaimNotCommitted,
    KeyReused,
    NotOwner,
    Overloaded,
    Preempted,
)
from boragetiller.systems.retry_budget import retry_delay_ms, withdraw
from boragetiller.tables.retry import RetryBudget
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings


MAX_REDIRECTS = 3
_OWNERSHIP_ERRORS = (NotOwner, ClaimNotCommitted)  # a shard is on its way to another agent

_SAID_BY_OWNER = (  # refusals of a key after its claim: only then is NOT_RUN true of the key
    BackendUnreachable,
    ClaimNotCommitted,
    KeyReused,
    Overloaded,
)


@attrs.frozen
class AttemptFinished:
    """The answer is whole."""


@attrs.frozen
class AttemptFailed:
    """The attempt ended with an error; `relayed` when the caller has part of the answer."""

    error: BoragetillerError
    relayed: bool = False


Outcome = AttemptFinished | AttemptFailed


@attrs.define(kw_only=True)
class RequestProgress:
    """What happened to a request so far."""

    repeatable: bool
    keyed: bool
    protected: bool = False
    resumable: bool
    budget: RetryBudget
    attempts: int = 0
    preemptions: int = 0  # attempts that gave way to protected work; they do not count
    elapsed_ms: int = 0
    deadline_ms: int = 0
    verdict: Verdict = Verdict.NOT_RUN


@attrs.frozen
class Answered:
    """Nothing is left to do."""


@attrs.frozen(kw_only=True)
class Retry:
    """Try again after a delay."""

    delay_ms: int
    reason: str


class GiveUpReason(Enum):
    """Why no further attempt is made; counted by value."""

    FINAL = "final"  # another attempt would end the same way
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"  # the shard of the key found no owner in time
    RELAYED = "relayed"  # the caller has part of an answer that cannot be resumed
    NOT_REPEATABLE = "not_repeatable"
    RETRY_BUDGET = "retry_budget"


@attrs.frozen
class GiveUp:
    """Tell the caller the error, with the verdict over all attempts."""

    error: BoragetillerError
    reason: GiveUpReason


NextStep = Answered | Retry | GiveUp


@singledispatch
def decide_next(
    outcome: Outcome, progress: RequestProgress, settings: PlacementSettings, rng: Random
) -> NextStep:
    """
    Decide what follows an attempt; updates the verdict of the request.

    :param outcome: how the attempt ended
    :param progress: the request so far
    :param settings: number of attempts and delays
    :param rng: seeded generator for the jitter
    :return: the next step
    """
    raise TypeError(type(outcome).__name__)


@decide_next.register(AttemptFinished)
def _(
    outcome: AttemptFinished,
    progress: RequestProgress,
    settings: PlacementSettings,
    rng: Random,
) -> NextStep:
    progress.verdict = Verdict.RAN
    return Answered()


@decide_next.register(AttemptFailed)
def _(
    outcome: AttemptFailed, progress: RequestProgress, settings: PlacementSettings, rng: Random
) -> NextStep:
    error = outcome.error
    if isinstance(error, Preempted):
        progress.preemptions += 1
    progress.verdict = progress.verdict.combine(error.verdict)
    refusal = _refusal(outcome, progress, settings)
    if refusal is not None:
        return GiveUp(_with_verdict(error, progress), refusal)
    redirected = error.owner is not None and progress.attempts <= MAX_REDIRECTS
    if isinstance(error, Preempted) or redirected:
        return Retry(delay_ms=0, reason=error.code)
    essential = progress.protected or outcome.relayed
    free = isinstance(error, _OWNERSHIP_ERRORS)  # refused by agents alone, at little cost
    if not free and not withdraw(progress.budget, error.code, settings, essential=essential):
        return GiveUp(_with_verdict(error, progress), GiveUpReason.RETRY_BUDGET)
    delay_ms = retry_delay_ms(progress.attempts, settings, rng)
    return Retry(delay_ms=delay_ms, reason=error.code)


def _refusal(
    outcome: AttemptFailed, progress: RequestProgress, settings: PlacementSettings
) -> GiveUpReason | None:
    error = outcome.error
    if not error.retryable:
        return GiveUpReason.FINAL
    if isinstance(error, _OWNERSHIP_ERRORS) and progress.verdict is Verdict.NOT_RUN:
        late = progress.elapsed_ms >= progress.deadline_ms
        return GiveUpReason.DEADLINE if late else None
    if progress.attempts - progress.preemptions >= settings.max_attempts:
        return GiveUpReason.ATTEMPTS
    if outcome.relayed and not progress.resumable:
        return GiveUpReason.RELAYED
    if error.verdict is Verdict.NOT_RUN and progress.verdict is Verdict.NOT_RUN:
        return None
    if progress.repeatable or progress.keyed:  # the owner of a key runs it at most once
        return None
    return GiveUpReason.NOT_REPEATABLE


def _with_verdict(error: BoragetillerError, progress: RequestProgress) -> BoragetillerError:
    if progress.keyed and not isinstance(error, _SAID_BY_OWNER):
        error.verdict = error.verdict.combine(Verdict.MAY_HAVE_RUN)
    error.verdict = error.verdict.combine(progress.verdict)
    return error


__all__ = [
    "Answered",
    "AttemptFailed",
    "AttemptFinished",
    "GiveUp",
    "GiveUpReason",
    "NextStep",
    "Outcome",
    "RequestProgress",
    "Retry",
    "decide_next",
]
