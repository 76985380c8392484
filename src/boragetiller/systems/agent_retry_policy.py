"""Decide what follows an attempt at an agent: finish, retry or fail the request."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import (
    BackendUnavailable,
    BackendUnreachable,
    BoragetillerError,
    ClaimNotCommitted,
    KeyReused,
    NotOwner,
    Overloaded,
    Preempted,
)
from boragetiller.systems.retry_budget import retry_delay_ms, withdraw
from boragetiller.tables.retry_budget import RetryBudget
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings


MAX_OWNER_REDIRECTS = 3
_OWNERSHIP_ERRORS = (NotOwner, ClaimNotCommitted)  # the shard is moving to another agent

# Refusals that the owner of an idempotency key sends after claiming it. Only for these does NOT_RUN
# apply to the key and not just to the attempt.
_REFUSALS_BY_OWNER = (
    BackendUnreachable,
    ClaimNotCommitted,
    KeyReused,
    Overloaded,
)


@attrs.frozen
class AttemptSucceeded:
    """The response is complete."""


@attrs.frozen
class AttemptFailed:
    """The attempt ended with an error; `relayed` if the caller received part of the response."""

    error: BoragetillerError
    relayed: bool = False


AttemptOutcome = AttemptSucceeded | AttemptFailed


@attrs.define(kw_only=True)
class RequestProgress:
    """State of a request over all its attempts."""

    repeatable: bool
    has_idempotency_key: bool
    protected: bool = False
    resumable: bool
    budget: RetryBudget
    attempts: int = 0
    preemptions: int = 0  # preempted attempts, which do not count towards max_attempts
    elapsed_ms: int = 0
    deadline_ms: int = 0
    verdict: Verdict = Verdict.NOT_RUN


@attrs.frozen
class FinishRequest:
    """End the request; its response is complete."""


@attrs.frozen(kw_only=True)
class RetryRequest:
    """Make another attempt after a delay."""

    delay_ms: int
    reason: str


class NoRetryReason(Enum):
    """Why no further attempt is made; the value ends the name of a metric."""

    FINAL = "final"  # another attempt would fail the same way
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"  # no agent owned the shard of the key before the deadline
    RELAYED = "relayed"  # the caller received part of a response that cannot be resumed
    NOT_REPEATABLE = "not_repeatable"
    RETRY_BUDGET = "retry_budget"


@attrs.frozen
class FailRequest:
    """Return the error to the caller, with the verdict combined over all attempts."""

    error: BoragetillerError
    reason: NoRetryReason


NextStep = FinishRequest | RetryRequest | FailRequest


@singledispatch
def decide_next_step(
    outcome: AttemptOutcome, progress: RequestProgress, settings: PlacementSettings, rng: Random
) -> NextStep:
    """
    Decide what follows an attempt, and update the verdict of the request.

    :param outcome: how the attempt ended
    :param progress: state of the request, updated in place
    :param settings: number of attempts and delays
    :param rng: seeded generator for the jitter
    :return: the next step
    :raises TypeError: the type of outcome is unknown
    """
    raise TypeError(type(outcome).__name__)


@decide_next_step.register(AttemptSucceeded)
def _(
    outcome: AttemptSucceeded,
    progress: RequestProgress,
    settings: PlacementSettings,
    rng: Random,
) -> NextStep:
    progress.verdict = Verdict.RAN
    return FinishRequest()


@decide_next_step.register(AttemptFailed)
def _(
    outcome: AttemptFailed, progress: RequestProgress, settings: PlacementSettings, rng: Random
) -> NextStep:
    error = outcome.error
    if isinstance(error, Preempted):
        progress.preemptions += 1
    progress.verdict = progress.verdict.combine(error.verdict)
    no_retry_reason = _find_no_retry_reason(outcome, progress, settings)
    if no_retry_reason is not None:
        return FailRequest(_combine_verdict(error, progress), no_retry_reason)
    has_redirect = error.owner is not None and progress.attempts <= MAX_OWNER_REDIRECTS
    if isinstance(error, Preempted) or has_redirect:
        return RetryRequest(delay_ms=0, reason=error.code)
    essential = progress.protected or outcome.relayed
    # Agents send these refusals without involving a backend server, so retrying costs little.
    exempt_from_budget = isinstance(error, _OWNERSHIP_ERRORS)
    if not exempt_from_budget and not withdraw(
        progress.budget, error.code, settings, essential=essential
    ):
        return FailRequest(_combine_verdict(error, progress), NoRetryReason.RETRY_BUDGET)
    delay_ms = retry_delay_ms(progress.attempts, settings, rng)
    return RetryRequest(delay_ms=delay_ms, reason=error.code)


def _find_no_retry_reason(
    outcome: AttemptFailed, progress: RequestProgress, settings: PlacementSettings
) -> NoRetryReason | None:
    error = outcome.error
    if not error.retryable:
        return NoRetryReason.FINAL
    if isinstance(error, BackendUnavailable) and progress.has_idempotency_key:
        return NoRetryReason.FINAL  # the owner of the key stores the response and sends it again
    if isinstance(error, _OWNERSHIP_ERRORS) and progress.verdict is Verdict.NOT_RUN:
        deadline_passed = progress.elapsed_ms >= progress.deadline_ms
        return NoRetryReason.DEADLINE if deadline_passed else None
    if progress.attempts - progress.preemptions >= settings.max_attempts:
        return NoRetryReason.ATTEMPTS
    if outcome.relayed and not progress.resumable:
        return NoRetryReason.RELAYED
    if error.verdict is Verdict.NOT_RUN and progress.verdict is Verdict.NOT_RUN:
        return None
    if progress.repeatable or progress.has_idempotency_key:  # a key runs at most once at its owner
        return None
    return NoRetryReason.NOT_REPEATABLE


def _combine_verdict(error: BoragetillerError, progress: RequestProgress) -> BoragetillerError:
    if progress.has_idempotency_key and not isinstance(error, _REFUSALS_BY_OWNER):
        error.verdict = error.verdict.combine(Verdict.MAY_HAVE_RUN)
    error.verdict = error.verdict.combine(progress.verdict)
    return error


__all__ = [
    "FinishRequest",
    "AttemptFailed",
    "AttemptSucceeded",
    "FailRequest",
    "NoRetryReason",
    "NextStep",
    "AttemptOutcome",
    "RequestProgress",
    "RetryRequest",
    "decide_next_step",
]
