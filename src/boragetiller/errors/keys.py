"""Calls with an idempotency key that do not run here or now."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError, NotRunError
from boragetiller.verdict import Verdict


class NotOwner(NotRunError):
    """This agent does not own the shard of the idempotency key."""

    code = "not_owner"
    http_status = 421
    retryable = True


class ClaimNotCommitted(NotRunError):
    """The claim of the idempotency key could not be committed in time; the call never runs."""

    code = "claim_not_committed"
    retryable = True


class KeyReused(NotRunError):
    """The idempotency key was used before with another body."""

    code = "key_reused"
    http_status = 422


class AnswerNotKept(BoragetillerError):
    """The keyed request ran and its answer is no longer kept."""

    code = "answer_not_kept"
    verdict = Verdict.RAN
    http_status = 409


class OutcomeUnknown(BoragetillerError):
    """Whether the keyed request ran cannot be told."""

    code = "outcome_unknown"
    http_status = 409


__all__ = [
    "AnswerNotKept",
    "ClaimNotCommitted",
    "KeyReused",
    "NotOwner",
    "OutcomeUnknown",
]
