"""
Maintain, for each backend server, the sum of the load that other routers have there.

With the sums a placement reads one entry per candidate, however many routers there are, and a
report costs only as much as the number of loads that changed.
"""

from __future__ import annotations

import copy
from contextlib import contextmanager
from typing import TYPE_CHECKING

from boragetiller.tables.peer_loads import IncarnationLoad, PeerLoads, PeerLoadTable

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragetiller.tables.servers import BackendServer, PeerLoad

LOAD_REPORT_TTL_MS = 1_000  # a router sends a report at least every 500 ms


def record_report(table: PeerLoadTable, peer: str, now_ms: int) -> PeerLoads:
    """
    Record that a report of a router arrived, and include its earlier loads in the sums again.

    :param table: loads of all routers
    :param peer: name of the router
    :param now_ms: monotonic time in milliseconds
    :return: loads of the router
    """
    peer_loads = table.by_peer.setdefault(peer, PeerLoads(now_ms))
    peer_loads.last_report_ms = now_ms
    table.by_peer.move_to_end(peer)
    if not peer_loads.is_counted:
        peer_loads.is_counted = True
        for entry in peer_loads.loads.values():
            entry.server.peer_load.add(entry.load)
    return peer_loads


def set_load(peer_loads: PeerLoads, server: BackendServer, load: PeerLoad) -> None:
    """
    Replace a router's load at a server.

    :param peer_loads: loads of the router, whose report was just recorded
    :param server: the server
    :param load: the new load; without requests in flight the entry is removed
    """
    remove_load(peer_loads, server.name)
    if load.in_flight:
        peer_loads.loads[server.name] = IncarnationLoad(server, load)
        server.peer_load.add(load)


def remove_load(peer_loads: PeerLoads, server: str) -> None:
    """
    Remove a router's load at a server, which may be deregistered already.

    :param peer_loads: loads of the router, whose report was just recorded
    :param server: name of the server
    """
    known = peer_loads.loads.pop(server, None)
    if known is not None:
        known.server.peer_load.subtract(known.load)


def exclude_silent_peers(table: PeerLoadTable, now_ms: int) -> None:
    """
    Exclude from the sums the routers whose last report is older than LOAD_REPORT_TTL_MS.

    :param table: loads of all routers
    :param now_ms: monotonic time in milliseconds
    """
    for peer_loads in table.by_peer.values():
        if now_ms - peer_loads.last_report_ms < LOAD_REPORT_TTL_MS:
            return
        _exclude(peer_loads)


@contextmanager
def silent_peers_excluded(table: PeerLoadTable, now_ms: int) -> Iterator[None]:
    """
    Exclude silent routers like :func:`exclude_silent_peers` while the context is open.

    :param table: loads of all routers
    :param now_ms: monotonic time in milliseconds
    """
    silent = [
        peer_loads
        for peer_loads in table.by_peer.values()
        if peer_loads.is_counted and now_ms - peer_loads.last_report_ms >= LOAD_REPORT_TTL_MS
    ]
    servers = {entry.server for peer_loads in silent for entry in peer_loads.loads.values()}
    sums = {server: server.peer_load for server in servers}
    for server in servers:
        server.peer_load = copy.deepcopy(server.peer_load)
    try:
        exclude_silent_peers(table, now_ms)
        yield
    finally:
        for peer_loads in silent:
            peer_loads.is_counted = True
        for server, peer_load in sums.items():
            server.peer_load = peer_load


def remove_peer(table: PeerLoadTable, peer: str) -> None:
    """
    Remove a router with its loads.

    :param table: loads of all routers
    :param peer: name of the router
    """
    peer_loads = table.by_peer.pop(peer, None)
    if peer_loads is not None:
        _exclude(peer_loads)


def _exclude(peer_loads: PeerLoads) -> None:
    if not peer_loads.is_counted:
        return
    peer_loads.is_counted = False
    for entry in peer_loads.loads.values():
        entry.server.peer_load.subtract(entry.load)


__all__ = [
    "LOAD_REPORT_TTL_MS",
    "exclude_silent_peers",
    "record_report",
    "remove_load",
    "remove_peer",
    "set_load",
    "silent_peers_excluded",
]
