"""Errors of calls with an idempotency key."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError, NotRunError
from boragetiller.verdict import Verdict


class NotOwner(NotRunError):
    """This agent does not own the shard of the idempotency key."""

    code = "not_owner"
    http_status = 421
    retryable = True


class ClaimNotCommitted(NotRunError):
    """The claim on the idempotency key was not committed in time; the call does not run."""

    code = "claim_not_committed"
    retryable = True


class KeyReused(NotRunError):
    """The idempotency key was used before with another body."""

    code = "key_reused"
    http_status = 422


class ResponseNotStored(BoragetillerError):
    """The request with this idempotency key ran, but its response is no longer stored."""

    code = "answer_not_kept"
    verdict = Verdict.RAN
    http_status = 409


class OutcomeUnknown(BoragetillerError):
    """It is unknown whether the request with this idempotency key ran."""

    code = "outcome_unknown"
    http_status = 409


__all__ = [
    "ResponseNotStored",
    "ClaimNotCommitted",
    "KeyReused",
    "NotOwner",
    "OutcomeUnknown",
]
