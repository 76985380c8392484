"""
Keep the sums of what other routers have under way at each server.

Answers many routers before many servers: a choice reads one sum for each candidate, whoever
contributed to it, and a report costs as much as the loads that changed in it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.peer_loads import PeerWork, PeerWorkTable, PlacedLoad

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer, PeerLoad

FADE_MS = 1_000  # reports come every 500 ms at least; a router silent for longer tells nothing


def hear_peer(table: PeerWorkTable, peer: str, now_ms: int) -> PeerWork:
    """
    Note that a router has reported; all it told earlier holds again.

    :param table: the work of all routers
    :param peer: its name
    :param now_ms: monotonic time in milliseconds
    :return: its work
    """
    work = table.by_peer.setdefault(peer, PeerWork(now_ms))
    work.heard_ms = now_ms
    table.by_peer.move_to_end(peer)
    if not work.counted:
        work.counted = True
        for placed in work.loads.values():
            placed.server.others.add(placed.load)
    return work


def take_load(work: PeerWork, server: BackendServer, load: PeerLoad) -> None:
    """
    Take a router's load at a server in place of what it told before.

    :param work: its work, heard just now
    :param server: the server
    :param load: the load; nothing in flight means that it has ended
    """
    end_load(work, server.name)
    if load.in_flight:
        work.loads[server.name] = PlacedLoad(server, load)
        server.others.add(load)


def end_load(work: PeerWork, server: str) -> None:
    """
    Drop a router's load at a server, which may have left the list.

    :param work: its work, heard just now
    :param server: name of the server
    """
    known = work.loads.pop(server, None)
    if known is not None:
        known.server.others.subtract(known.load)


def fade_silent(table: PeerWorkTable, now_ms: int) -> None:
    """
    Leave the routers out of the sums that have been silent for too long.

    :param table: the work of all routers
    :param now_ms: monotonic time in milliseconds
    """
    for work in table.by_peer.values():
        if now_ms - work.heard_ms < FADE_MS:
            return
        _stop_counting(work)


def forget_peer(table: PeerWorkTable, peer: str) -> None:
    """
    Drop the work of a router.

    :param table: the work of all routers
    :param peer: its name
    """
    work = table.by_peer.pop(peer, None)
    if work is not None:
        _stop_counting(work)


def _stop_counting(work: PeerWork) -> None:
    if not work.counted:
        return
    work.counted = False
    for placed in work.loads.values():
        placed.server.others.subtract(placed.load)


__all__ = ["FADE_MS", "end_load", "fade_silent", "forget_peer", "hear_peer", "take_load"]
