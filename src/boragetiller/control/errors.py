"""Errors of the control exchange; each closes one connection and is counted by its code."""

from __future__ import annotations

from boragetiller.errors import BoragetillerError
from boragetiller.verdict import Verdict


class ControlError(BoragetillerError):
    """The control connection was closed because of an error."""

    code = "control"
    verdict = Verdict.NOT_RUN


class BadFrame(ControlError):
    """The frame is not a message that this version can decode."""

    code = "bad_frame"


class FrameTooLarge(ControlError):
    """The frame is longer than allowed."""

    code = "frame_too_large"


class UnexpectedMessage(ControlError):
    """The message is not allowed in this state of the connection."""

    code = "unexpected_message"


class VersionMismatch(ControlError):
    """The peer uses another version of the protocol."""

    code = "version_mismatch"


class NotAuthenticated(ControlError):
    """The peer does not have the key, or a frame was modified in transit."""

    code = "not_authenticated"


class HandshakeTimeout(ControlError):
    """The handshake did not finish in time."""

    code = "handshake_timeout"


class PeerSilent(ControlError):
    """Nothing was received from the peer within the silence timeout."""

    code = "peer_silent"


class PeerSlow(ControlError):
    """The send buffer is full because the peer does not read."""

    code = "peer_slow"


class ConnectionReplaced(ControlError):
    """The connection was replaced by another one to the same peer."""

    code = "connection_replaced"


class TooManyHandshakes(ControlError):
    """Too many connections have an unfinished handshake."""

    code = "too_many_handshakes"


__all__ = [
    "BadFrame",
    "ConnectionReplaced",
    "ControlError",
    "FrameTooLarge",
    "HandshakeTimeout",
    "NotAuthenticated",
    "PeerSilent",
    "PeerSlow",
    "TooManyHandshakes",
    "UnexpectedMessage",
    "VersionMismatch",
]
