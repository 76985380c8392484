"""Memory and connections that the callers of a process use."""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen(kw_only=True)
class BudgetLimits:
    """What all callers of a process may use together."""

    held_bytes: int  # of bodies and responses
    large_held_bytes: int  # of bodies and responses over ORDINARY_BYTES; the rest is for small ones
    connections: int
    connections_per_address: int
    unfinished: int  # connections whose request has not arrived in full
    waiting: int  # connections that wait for room
    descriptors: int  # that the process may have open, less a margin


class ConnectionPhase(Enum):
    """What a connection does."""

    NEW = "new"  # has sent no byte
    HEAD = "head"  # a head has begun to arrive
    BODY = "body"  # a body has begun to arrive
    SERVED = "served"  # the request has arrived in full
    IDLE = "idle"  # between two requests


@attrs.define(eq=False, kw_only=True)
class ConnectionUse:
    """What one connection uses."""

    address: str  # IP address of the caller
    phase: ConnectionPhase = ConnectionPhase.NEW
    phase_since_ms: int  # monotonic time, as all times here
    held_bytes: int = 0  # reserved for its body and response
    held_since_ms: int = 0
    progress_ms: int = 0  # when a byte was last received or taken by the caller
    recent_bytes: int = 0  # received or taken by the caller since recent_since_ms
    recent_since_ms: int = 0
    unread_bytes: int = 0  # of the response, not yet taken by the caller
    urgency: int | None = None  # of its admitted request, smaller is more urgent
    is_waiting: bool = False  # for room in the budget
    is_ended: bool = False

    @property
    def is_unfinished(self) -> bool:
        """:return: whether its request has not arrived in full"""
        return self.phase in (ConnectionPhase.HEAD, ConnectionPhase.BODY)


__all__ = ["BudgetLimits", "ConnectionPhase", "ConnectionUse"]
