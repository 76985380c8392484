"""
Choose the routers that a router exchanges load reports with.

In a large fleet a full mesh would be too much traffic. Whether two routers are peers follows from
a hash of both names, so both sides decide alike. Each router has about MAX_PEERS peers, so any of
them may fail, and relayed items reach all routers in two or three hops. The reports of the peers
are extrapolated to the whole fleet.
"""

from __future__ import annotations

from boragetiller.hashing import stable_hash

MAX_PEERS = 64  # with more peers the interval between reports would exceed their TTL
REPORT_INTERVAL_MS = 100  # shorter than the prefill of a long prompt, so that peers see each one
REPORT_MS_PER_PEER = 10  # limits a router to 100 received reports per second in a large fleet
_HASHES = float(1 << 64)


def are_peers(own: str, other: str, known: int) -> bool:
    """
    Decide whether two routers report to each other.

    :param own: name or address of one router
    :param other: name or address of the other router
    :param known: number of routers known to the deciding one, itself not included
    :return: true for up to MAX_PEERS known routers; beyond, the same for both sides if both know
        equally many
    """
    if known <= MAX_PEERS:
        return True
    return stable_hash("peers", *sorted((own, other))) / _HASHES < MAX_PEERS / known


def report_interval_ms(peers: int) -> int:
    """
    Compute the interval between reports; it grows with the fleet to bound the total rate.

    :param peers: number of routers that it reports to
    :return: interval in milliseconds
    """
    return max(REPORT_INTERVAL_MS, REPORT_MS_PER_PEER * peers)


def compute_reporting_share(known: int, reporting: int) -> float:
    """
    Compute the share of the other routers whose reports arrive here.

    :param known: number of other routers that are known
    :param reporting: number of those that report here
    :return: 0 to 1; always 1 in a fleet with a full mesh, even if routers are cut off
    """
    if known <= MAX_PEERS:
        return 1.0
    return min(1.0, max(1, reporting) / known)


__all__ = ["MAX_PEERS", "are_peers", "compute_reporting_share", "report_interval_ms"]
