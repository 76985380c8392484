"""Loads of backend servers as routers report them to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.peer_reports import ReportedLoad
from boragetiller.systems.overload.committed_memory import count_own_tokens
from boragetiller.systems.peer_loads import remove_load, set_load
from boragetiller.tables.servers import PeerLoad

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragetiller.tables.peer_loads import PeerLoads
    from boragetiller.tables.servers import BackendServer

MAX_UINT32 = (1 << 32) - 1  # largest number of tokens that a report can hold


def list_changed_loads(
    servers: Iterable[BackendServer], reported: dict[str, ReportedLoad], now_ms: int
) -> tuple[ReportedLoad, ...]:
    """
    List the loads of this router that changed since they were reported.

    :param servers: all registered servers
    :param reported: loads as last reported by server, without idle ones; they are replaced
    :param now_ms: monotonic time in milliseconds
    :return: the changed loads, with no requests in flight for servers that became idle
    """
    loads = {
        server.name: _to_reported_load(server, now_ms) for server in servers if server.in_flight
    }
    ended = [
        attrs.evolve(load, in_flight=0) for name, load in reported.items() if name not in loads
    ]
    changed = [load for name, load in loads.items() if reported.get(name) != load]
    reported.clear()
    reported.update(loads)
    return (*changed, *ended)


def apply_loads(
    peer_loads: PeerLoads, servers: Mapping[str, BackendServer], loads: Iterable[ReportedLoad]
) -> None:
    """
    Apply the loads that a peer reported.

    :param peer_loads: loads of the peer, whose report was just recorded
    :param servers: registered servers by name
    :param loads: the reported loads; others are unchanged
    """
    for load in loads:
        server = servers.get(load.server)
        if server is None:
            remove_load(peer_loads, load.server)
        else:
            set_load(peer_loads, server, _to_peer_load(load))


def _to_peer_load(load: ReportedLoad) -> PeerLoad:
    return PeerLoad(
        in_flight=load.in_flight,
        unread_tokens=load.unread_tokens,
        sensitivity=load.sensitivity,
        committed_tokens=load.committed_tokens,
    )


def _to_reported_load(server: BackendServer, now_ms: int) -> ReportedLoad:
    return ReportedLoad(
        server=server.name,
        in_flight=server.in_flight,
        unread_tokens=tuple(min(tokens, MAX_UINT32) for tokens in server.unread_tokens),
        sensitivity=round(server.sensitivity, 2),
        committed_tokens=min(count_own_tokens(server.memory, now_ms), MAX_UINT32),
    )


__all__ = ["apply_loads", "list_changed_loads"]
