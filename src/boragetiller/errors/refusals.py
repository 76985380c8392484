"""Errors of requests that are refused before any byte is sent to a backend server."""

from __future__ import annotations

from boragetiller.errors.base import NotRunError
from boragetiller.verdict import Verdict


class InvalidRequest(NotRunError):
    """The request is malformed."""

    code = "invalid_request"
    http_status = 400


class RequestTooLarge(NotRunError):
    """The request body exceeds the size limit."""

    code = "request_too_large"
    http_status = 413


class HeadersTooLarge(NotRunError):
    """The request headers exceed the size limit."""

    code = "headers_too_large"
    http_status = 431


class RequestTimeout(NotRunError):
    """The request body was not received within the time limit."""

    code = "request_timeout"
    http_status = 408


class NotFound(NotRunError):
    """No route, model or group matches the request."""

    code = "not_found"
    http_status = 404


class MethodNotAllowed(NotRunError):
    """The route does not allow this HTTP method."""

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


class CallerBudgetExhausted(NotRunError):
    """The process has no memory to receive the request at present."""

    code = "caller_budget"


class RateLimited(NotRunError):
    """The customer exceeded its rate or concurrency limit."""

    code = "rate_limited"
    http_status = 429


class StaleAttempt(NotRunError):
    """A later attempt of the same request has already been received."""

    code = "stale_attempt"
    http_status = 409
    verdict = Verdict.MAY_HAVE_RUN


class IsolationRequired(NotRunError):
    """A backend server crashed while it ran this request body; the body must run in isolation."""

    code = "struck"
    retryable = True


class Quarantined(NotRunError):
    """The request body is quarantined because it has crashed backend servers."""

    code = "quarantined"
    http_status = 422


__all__ = [
    "Draining",
    "Forbidden",
    "CallerBudgetExhausted",
    "HeadersTooLarge",
    "InvalidRequest",
    "MethodNotAllowed",
    "NoBackend",
    "NotFound",
    "NotReady",
    "Overloaded",
    "Quarantined",
    "RateLimited",
    "RequestTimeout",
    "RequestTooLarge",
    "StaleAttempt",
    "IsolationRequired",
    "Unauthorized",
]
