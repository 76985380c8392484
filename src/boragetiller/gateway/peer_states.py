"""State of the connections to and from peers."""

from __future__ import annotations

import asyncio  # noqa: TC003

import attrs

from boragetiller.gateway.settings import Endpoint  # noqa: TC001
from boragetiller.gateway.store_revisions import StoreRevisions


@attrs.define
class OutboundPeer:
    """A connection on which this router reports to a peer."""

    writer: asyncio.StreamWriter
    routers: set[Endpoint] = attrs.field(factory=set)  # whose addresses it was sent
    # Eras of the configuration and the servers of which it was sent what the restored store lacks.
    lost_items_eras: tuple[int, int] = (0, 0)
    config_revision: int = 0  # of the configuration that it was sent on this connection


@attrs.define
class InboundPeer:
    """A peer that reports to this router, with its last reported state."""

    incarnation: int
    endpoint: Endpoint
    revisions: StoreRevisions = StoreRevisions(0, 0)
    behind_since_ms: int | None = None
    differs_since_ms: int | None = None  # with the same revisions, but other entries
    watches: bool = False  # whether it watches the list of backend servers in the store itself
    servers_sent_ms: int | None = None  # when changes of it were last sent without delay
    asks_for_config: bool = False  # needs no configuration unasked; older routers do
    config_source: str = ""  # name of the router that it asks for the newest configuration


__all__ = ["InboundPeer", "OutboundPeer"]
