"""Attempts that failed on their way or at a backend server."""

from __future__ import annotations

from boragetiller.errors.base import BoragetillerError, NotRunError


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
    """The connection broke in a way that tells of a crash of the backend server."""

    code = "backend_crashed"


class BackendTimeout(BoragetillerError):
    """The backend server accepted the request and sent no answer in time."""

    code = "backend_timeout"
    http_status = 504
    retryable = True


class BackendFailed(BoragetillerError):
    """The backend server answered with a server error."""

    code = "backend_failed"
    http_status = 502
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


class ProtocolError(BoragetillerError):
    """A peer of the system sent something malformed."""

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
    "BackendUnreachable",
    "Preempted",
    "ProtocolError",
]
