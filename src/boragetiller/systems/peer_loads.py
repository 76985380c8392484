"""
Keep the sums of what other routers have under way at each server.

Answers many routers before many servers: a choice reads one sum for each candidate, whoever
contributed to it, and a report costs as much as the loads that changed in it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.peer_loads import IncarnationLoad, PeerLoads, PeerLoadTable

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer, PeerLoad

LOAD_REPORT_TTL_MS = (
    1_000  # reports come every 500 ms at least; a router silent for longer tells nothing
)


def record_report(table: PeerLoadTable, peer: str, now_ms: int) -> PeerLoads:
    """
    Note that a router has reported; all it told earlier holds again.

    :param table: the work of all routers
    :param peer: its name
    :param now_ms: monotonic time in milliseconds
    :return: its work
    """
    work = table.by_peer.setdefault(peer, PeerLoads(now_ms))
    work.last_report_ms = now_ms
    table.by_peer.move_to_end(peer)
    if not work.is_counted:
        work.is_counted = True
        for placed in work.loads.values():
            placed.server.peer_load.add(placed.load)
    return work


def set_load(work: PeerLoads, server: BackendServer, load: PeerLoad) -> None:
    """
    Take a router's load at a server in place of what it told before.

    :param work: its work, heard just now
    :param server: the server
    :param load: the load; nothing in flight means that it has ended
    """
    remove_load(work, server.name)
    if load.in_flight:
        work.loads[server.name] = IncarnationLoad(server, load)
        server.peer_load.add(load)


def remove_load(work: PeerLoads, server: str) -> None:
    """
    Drop a router's load at a server, which may have left the list.

    :param work: its work, heard just now
    :param server: name of the server
    """
    known = work.loads.pop(server, None)
    if known is not None:
        known.server.peer_load.subtract(known.load)


def exclude_silent_peers(table: PeerLoadTable, now_ms: int) -> None:
    """
    Leave the routers out of the sums that have been silent for too long.

    :param table: the work of all routers
    :param now_ms: monotonic time in milliseconds
    """
    for work in table.by_peer.values():
        if now_ms - work.last_report_ms < LOAD_REPORT_TTL_MS:
            return
        _stop_counting(work)


def remove_peer(table: PeerLoadTable, peer: str) -> None:
    """
    Drop the work of a router.

    :param table: the work of all routers
    :param peer: its name
    """
    work = table.by_peer.pop(peer, None)
    if work is not None:
        _stop_counting(work)


def _stop_counting(work: PeerLoads) -> None:
    if not work.is_counted:
        return
    work.is_counted = False
    for placed in work.loads.values():
        placed.server.peer_load.subtract(placed.load)


__all__ = [
    "LOAD_REPORT_TTL_MS",
    "remove_load",
    "exclude_silent_peers",
    "remove_peer",
    "record_report",
    "set_load",
]
