"""Tokens that requests in flight commit of an engine's memory."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define
class SharedPart:
    """A shared prompt part of requests of this router in flight at an engine."""

    tokens: int
    sent_ms: int  # monotonic time at which this router last sent it there
    requests: int = 0


@attrs.frozen
class Commitment:
    """What one request in flight commits, to be released at its end."""

    tokens: int  # without the shared parts of its prompt
    part_ids: tuple[str, ...]  # of the shared parts


@attrs.define(eq=False)
class CommittedMemory:
    """Tokens committed at one incarnation of an engine, as far as this router knows them itself."""

    tokens: int = 0  # of this router's requests in flight, without shared prompt parts
    shared_parts: dict[str, SharedPart] = attrs.field(factory=dict)  # of these requests, by ID
    shared_tokens: int = 0  # sum over the shared parts
    # Monotonic times at which a peer last sent a shared part, by ID, in this order.
    peer_parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)


__all__ = ["CommittedMemory", "Commitment", "SharedPart"]
