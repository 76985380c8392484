"""Errors with a stable code, a verdict and an HTTP status."""

from __future__ import annotations

from boragetiller.verdict import Verdict


class BoragetillerError(Exception):
    """Base of every error that a caller, an operator or a peer may see."""

    code = "internal"
    verdict = Verdict.MAY_HAVE_RUN
    http_status = 500
    retryable = False  # whether another attempt by the router may help

    def __init__(
        self,
        message: str = "",
        *,
        verdict: Verdict | None = None,
        retry_after_s: int | None = None,
        owner: str | None = None,
    ) -> None:
        """
        Build the error.

        :param message: text for people; the class docstring when empty
        :param verdict: replaces the verdict of the class
        :param retry_after_s: delay in seconds that a caller should keep before another try
        :param owner: agent that should be asked instead
        """
        super().__init__(message or (self.__doc__ or "").strip().splitlines()[0])
        self.verdict = verdict or type(self).verdict
        self.retry_after_s = retry_after_s
        self.owner = owner


class NotRunError(BoragetillerError):
    """The request was refused before any byte reached a backend server."""

    code = "not_run"
    verdict = Verdict.NOT_RUN
    http_status = 503


class InvalidRequest(NotRunError):
    """The request is malformed."""

    code = "invalid_request"
    http_status = 400


class RequestTooLarge(NotRunError):
    """The request body is larger than the limit."""

    code = "request_too_large"
    http_status = 413


class HeadersTooLarge(NotRunError):
    """The request headers are larger than the limit."""

    code = "headers_too_large"
    http_status = 431


class RequestTimeout(NotRunError):
    """The request body did not arrive within the limit."""

    code = "request_timeout"
    http_status = 408


class NotFound(NotRunError):
    """No such route, model or group."""

    code = "not_found"
    http_status = 404


class MethodNotAllowed(NotRunError):
    """The route takes other HTTP methods."""

    code = "method_not_allowed"
    http_status = 405


class Unauthorized(NotRunError):
    """The bearer key is missing or unknown."""

    code = "unauthorized"
    http_status = 401


class Forbidden(NotRunError):
    """The customer may not use this request class."""

    code = "forbidden"
    http_status = 403


class NotReady(NotRunError):
    """This process has no configuration yet or is stopping."""

    code = "not_ready"


class Draining(NotRunError):
    """This process is stopping and takes no new work."""

    code = "draining"
    retryable = True


class NoBackend(NotRunError):
    """No backend server of the group takes work now."""

    code = "no_backend"


class Overloaded(NotRunError):
    """The request cannot be served in time at the present load."""

    code = "overloaded"
    http_status = 429
    retryable = True


class RateLimited(NotRunError):
    """The customer is over its rate or concurrency limit."""

    code = "rate_limited"
    http_status = 429


class StaleAttempt(NotRunError):
    """A later attempt of the request is already known."""

    code = "stale_attempt"
    http_status = 409
    verdict = Verdict.MAY_HAVE_RUN


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


class Struck(NotRunError):
    """The body was running when a backend server crashed; it runs in isolation only."""

    code = "struck"
    retryable = True


class Quarantined(NotRunError):
    """The same body crashed backend servers before and is refused."""

    code = "quarantined"
    http_status = 422


class BackendUnreachable(NotRunError):
    """No connection to the backend server could be made."""

    code = "backend_unreachable"
    http_status = 502
    retryable = True


class BackendLost(BoragetillerError):
    """The connection to the backend server broke after the request was sent."""

    code = "backend_lost"
    http_status = 502
    retryable = True


class BackendCrashed(BackendLost):
    """The connection broke and the backend server no longer listens."""

    code = "backend_crashed"


class BackendTimeout(BoragetillerError):
    """The backend server accepted the request and sent no answer in time."""

    code = "backend_timeout"
    http_status = 504
    retryable = True


class Preempted(BoragetillerError):
    """The request was stopped at the engine to make room for a higher tier."""

    code = "preempted"
    http_status = 503
    retryable = True


class AgentUnreachable(NotRunError):
    """No connection to the agent could be made."""

    code = "agent_unreachable"
    http_status = 502
    retryable = True


class AgentLost(BoragetillerError):
    """The connection to the agent broke or fell silent after the request was sent."""

    code = "agent_lost"
    http_status = 502
    retryable = True


class BackendFailed(BoragetillerError):
    """The backend server answered with a server error."""

    code = "backend_failed"
    http_status = 502
    retryable = True


class ProtocolError(BoragetillerError):
    """A peer of the system sent something malformed."""

    code = "protocol_error"
    http_status = 502
    retryable = True


class AnswerNotKept(BoragetillerError):
    """The keyed request ran and its answer is no longer kept."""

    code = "answer_not_kept"
    verdict = Verdict.RAN
    http_status = 409


class OutcomeUnknown(BoragetillerError):
    """Whether the keyed request ran cannot be told."""

    code = "outcome_unknown"
    http_status = 409


class SettingsInvalid(BoragetillerError):
    """A settings file or record is not valid."""

    code = "settings_invalid"
    verdict = Verdict.NOT_RUN
    http_status = 400


class StoreUnavailable(BoragetillerError):
    """The platform's store did not answer; a write may have taken effect."""

    code = "store_unavailable"
    http_status = 503


class RevisionConflict(BoragetillerError):
    """The stored value has another revision than the writer expected."""

    code = "revision_conflict"
    verdict = Verdict.NOT_RUN
    http_status = 409


class LeaseLapsed(BoragetillerError):
    """The lease that an order needs has lapsed; nothing was sent."""

    code = "lease_lapsed"
    verdict = Verdict.NOT_RUN
    http_status = 409


class OrderRefused(BoragetillerError):
    """The engine refused an order."""

    code = "order_refused"
    verdict = Verdict.NOT_RUN
    http_status = 409


class StaleFencingNumber(OrderRefused):
    """The engine knows a newer fencing number."""

    code = "stale_fencing_number"


class ValueTooLarge(BoragetillerError):
    """The value is larger than the platform's store holds."""

    code = "value_too_large"
    verdict = Verdict.NOT_RUN
    http_status = 413


def error_from_code(
    code: str,
    message: str,
    *,
    verdict: Verdict,
    retry_after_s: int | None = None,
    owner: str | None = None,
) -> BoragetillerError:
    """
    Rebuild an error that a peer reported.

    :param code: code of the error class; an unknown one gives the base class
    :param message: text for people
    :param verdict: verdict as the peer told it
    :param retry_after_s: delay in seconds before another try
    :param owner: agent that should be asked instead
    :return: the error
    """
    error_class = _classes_by_code(BoragetillerError).get(code, BoragetillerError)
    return error_class(message, verdict=verdict, retry_after_s=retry_after_s, owner=owner)


def _classes_by_code(base: type[BoragetillerError]) -> dict[str, type[BoragetillerError]]:
    found = {base.code: base}
    for subclass in base.__subclasses__():
        found |= _classes_by_code(subclass)
    return found


__all__ = [
    "AgentLost",
    "AgentUnreachable",
    "BackendCrashed",
    "BackendFailed",
    "Preempted",
    "ProtocolError",
    "error_from_code",
    "AnswerNotKept",
    "BackendLost",
    "BackendTimeout",
    "BackendUnreachable",
    "BoragetillerError",
    "ClaimNotCommitted",
    "Draining",
    "Forbidden",
    "HeadersTooLarge",
    "InvalidRequest",
    "KeyReused",
    "LeaseLapsed",
    "MethodNotAllowed",
    "NoBackend",
    "NotFound",
    "NotOwner",
    "NotReady",
    "NotRunError",
    "OrderRefused",
    "OutcomeUnknown",
    "Overloaded",
    "Preempted",
    "Quarantined",
    "RateLimited",
    "RequestTimeout",
    "RequestTooLarge",
    "RevisionConflict",
    "SettingsInvalid",
    "StaleAttempt",
    "StaleFencingNumber",
    "StoreUnavailable",
    "Struck",
    "Unauthorized",
    "ValueTooLarge",
]
