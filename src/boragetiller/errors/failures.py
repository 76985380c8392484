"""Errors of attempts that failed in transit or at a backend server."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError, NotRunError


class BackendUnreachable(NotRunError):
    """No connection to the backend server could be established."""

    code = "backend_unreachable"
    retryable = True


class BackendLost(BoragetillerError):
    """The connection to the backend server was lost after the request was sent."""

    code = "backend_lost"
    http_status = 502
    retryable = True


class BackendCrashed(BackendLost):
    """The connection was lost in a way that indicates a crash of the backend server."""

    code = "backend_crashed"


class BackendTimeout(BoragetillerError):
    """The backend server accepted the request but did not respond within the time limit."""

    code = "backend_timeout"
    http_status = 504
    retryable = True


class BackendFailed(BoragetillerError):
    """The backend server responded with a server error (5xx) or with an invalid status."""

    code = "backend_failed"
    http_status = 502
    retryable = True


class BackendUnavailable(BoragetillerError):
    """The backend server refused the request without stating that it did not run it."""

    code = "backend_unavailable"
    http_status = 502
    retryable = True


class Preempted(BoragetillerError):
    """The request was cancelled at the engine to free a slot for a higher tier."""

    code = "preempted"
    http_status = 503
    retryable = True


class AgentUnreachable(NotRunError):
    """No connection to the agent could be established."""

    code = "agent_unreachable"
    retryable = True


class AgentLost(BoragetillerError):
    """The connection to the agent was lost or timed out after the request was sent."""

    code = "agent_lost"
    http_status = 502
    retryable = True


class ProtocolError(BoragetillerError):
    """A router or agent sent a malformed message."""

    code = "protocol_error"
    http_status = 502
    retryable = True


__all__ = [
    "AgentLost",
    "AgentUnreachable",
    "BackendCrashed",
    "BackendFailed",
    "BackendLost",
    "BackendTimeout",
    "BackendUnavailable",
    "BackendUnreachable",
    "Preempted",
    "ProtocolError",
]
