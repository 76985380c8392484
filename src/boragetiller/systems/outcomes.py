"""Decide what follows the end of an attempt: answer, retry, resume or give up."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import BoragetillerError, NotOwner
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings


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
    resumable: bool
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN


@attrs.frozen
class Answered:
    """Nothing is left to do."""


@attrs.frozen(kw_only=True)
class Retry:
    """Try again after a delay; the same agent only when it owns the key."""

    delay_ms: int
    reason: str
    owner: str | None = None


@attrs.frozen
class GiveUp:
    """Tell the caller the error, with the verdict over all attempts."""

    error: BoragetillerError


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
    progress.verdict = progress.verdict.combined(error.verdict)
    if not _may_retry(outcome, progress, settings):
        return GiveUp(_with_verdict(error, progress.verdict))
    delay_ms = 0 if isinstance(error, NotOwner) else _backoff_ms(progress.attempts, settings, rng)
    return Retry(delay_ms=delay_ms, reason=error.code, owner=error.owner)


def _may_retry(
    outcome: AttemptFailed, progress: RequestProgress, settings: PlacementSettings
) -> bool:
    error = outcome.error
    if not error.retryable or progress.attempts >= settings.max_attempts:
        return False
    if outcome.relayed and not progress.resumable:
        return False
    if error.verdict is Verdict.NOT_RUN and progress.verdict is Verdict.NOT_RUN:
        return True
    return progress.repeatable or progress.keyed  # the owner of a key runs it at most once


def _backoff_ms(attempts: int, settings: PlacementSettings, rng: Random) -> int:
    ceiling_ms = min(settings.retry_max_ms, settings.retry_base_ms * 2 ** max(0, attempts - 1))
    return rng.randint(0, ceiling_ms)


def _with_verdict(error: BoragetillerError, verdict: Verdict) -> BoragetillerError:
    error.verdict = verdict
    return error


__all__ = [
    "Answered",
    "AttemptFailed",
    "AttemptFinished",
    "GiveUp",
    "NextStep",
    "Outcome",
    "RequestProgress",
    "Retry",
    "decide_next",
]
