"""Errors of the control exchange; each closes one connection and is counted by its code."""

from __future__ import annotations

from boragetiller.errors import BoragetillerError
from boragetiller.verdict import Verdict


class ControlError(BoragetillerError):
    """A control connection had to be closed."""

    code = "control"
    verdict = Verdict.NOT_RUN


class BadFrame(ControlError):
    """The frame is no message that this version knows."""

    code = "bad_frame"


class FrameTooLarge(ControlError):
    """The frame is longer than the limit."""

    code = "frame_too_large"


class UnexpectedMessage(ControlError):
    """The message does not belong to this state of the connection."""

    code = "unexpected_message"


class VersionMismatch(ControlError):
    """The peer speaks another protocol version."""

    code = "version_mismatch"


class NotAuthenticated(ControlError):
    """The peer does not know the key, or a frame was changed on its way."""

    code = "not_authenticated"


class HandshakeTimeout(ControlError):
    """The handshake did not finish in time."""

    code = "handshake_timeout"


class PeerSilent(ControlError):
    """Nothing arrived from the peer for too long."""

    code = "peer_silent"


class PeerSlow(ControlError):
    """The peer does not read what is sent."""

    code = "peer_slow"


class ConnectionReplaced(ControlError):
    """Another connection to the same peer is kept."""

    code = "connection_replaced"


class TooManyHandshakes(ControlError):
    """Too many connections wait for their handshake."""

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
