"""
Choose the routers that a router exchanges control messages with.

Routers form rings, ordered by a hash of the name: one ring within each region, which keeps a region
connected that is cut off from the others, and several over the whole fleet. The union of a few
random rings has a short diameter and stays connected when many members fail at once, and a host
that comes or goes changes only its own neighbours.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.platform.hosts import Host

GLOBAL_RINGS = 2


def choose_control_peers(name: str, region: str, routers: Iterable[Host]) -> set[str]:
    """
    Name the neighbours of one router in every ring.

    :param name: the router
    :param region: its region
    :param routers: the routers on the host list; the router itself may be missing from it
    :return: names of its peers, at most two for each ring
    """
    hosts = list(routers)
    regional = [host.name for host in hosts if host.region == region]
    peers = _find_neighbours(name, regional, f"region/{region}")
    all_names = [host.name for host in hosts]
    for number in range(GLOBAL_RINGS):
        peers |= _find_neighbours(name, all_names, f"fleet/{number}")
    return peers


def _find_neighbours(name: str, names: list[str], ring: str) -> set[str]:
    own = (_hash_position(name, ring), name)
    others = [(_hash_position(other, ring), other) for other in names if other != name]
    if not others:
        return set()
    successor = min(others, key=lambda place: (place < own, place))
    predecessor = max(others, key=lambda place: (place < own, place))
    return {successor[1], predecessor[1]}


def _hash_position(name: str, ring: str) -> int:
    return int.from_bytes(blake2b(f"{ring}/{name}".encode(), digest_size=8).digest(), "big")


__all__ = ["choose_control_peers"]
