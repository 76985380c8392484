"""Connections on which a router reports to its peers."""

from __future__ import annotations

import asyncio  # noqa: TC003

import attrs

from boragetiller.gateway.settings import Endpoint  # noqa: TC001


@attrs.define
class OutboundPeer:
    """A connection on which this router reports to a peer."""

    writer: asyncio.StreamWriter
    routers: set[Endpoint] = attrs.field(factory=set)  # whose addresses it was sent
    # Eras of the configuration and the servers of which it was sent what the restored store lacks.
    lost_items_eras: tuple[int, int] = (0, 0)


__all__ = ["OutboundPeer"]
