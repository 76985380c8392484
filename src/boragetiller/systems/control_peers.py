"""
Choose the routers with which a router exchanges control messages.

Routers form rings, ordered by a hash of their names: one ring per region, so that a region stays
connected internally when it is partitioned from the others, and several rings over the whole fleet.
The union of a few random rings has a small diameter and stays connected when many routers fail at
once. Adding or removing a router changes only its own neighbours.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.platform_clients.hosts import Host

GLOBAL_RINGS = 2


def choose_control_peers(name: str, region: str, routers: Iterable[Host]) -> set[str]:
    """
    Return the neighbours of a router in every ring.

    :param name: name of the router
    :param region: region of the router
    :param routers: the routers on the host list, with or without the router itself
    :return: names of its peers, at most two per ring
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
