"""
Choose the routers that a router exchanges reports with, and weigh what it hears.

Answers more routers than can all tell each other. Two routers are peers by a hash of both names, so
both decide the same; each has about MAX_PEERS peers, any of them may be gone, and what is passed on
reaches all in two or three hops. What is heard then stands for the whole fleet.
"""

from __future__ import annotations

from boragetiller.hashing import stable_hash

MAX_PEERS = 64  # beyond it reports would come more seldom than they fade
_HASHES = float(1 << 64)


def are_peers(own: str, other: str, known: int) -> bool:
    """
    Tell whether two routers report to each other.

    :param own: name or address of one router
    :param other: name or address of the other one
    :param known: how many routers are known beside the one that asks
    :return: always in a fleet of MAX_PEERS; the same for both where both know as many
    """
    if known <= MAX_PEERS:
        return True
    return stable_hash("peers", *sorted((own, other))) / _HASHES < MAX_PEERS / known


def reporting_share(known: int, heard: int) -> float:
    """
    Tell for what part of the fleet the routers that were heard stand.

    :param known: other routers that are known
    :param heard: those of them that report here
    :return: 1 in a fleet where all tell each other, whoever is cut off; less in a larger one
    """
    if known <= MAX_PEERS:
        return 1.0
    return min(1.0, max(1, heard) / known)


__all__ = ["MAX_PEERS", "are_peers", "reporting_share"]
