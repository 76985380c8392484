"""Which routers may acquire a duty, and when."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.duties import Duty
    from boragetiller.tables.known_routers import KnownRouters

CANDIDATES = 3  # of one duty, so that its store calls do not grow with the fleet
RANK_DELAY_MS = 500  # several store calls, so that a lower rank seldom competes with a higher one


def list_candidates(duty: Duty, routers: KnownRouters) -> tuple[str, ...]:
    """
    List the routers that may acquire a duty, best first.

    While one of them is lost, the best among the others follow: a lost router counts as known for
    30 s, and without them a failure of all three at once would leave the duty without a holder for
    as long.

    :param duty: the duty
    :param routers: the known routers
    :return: their addresses
    """
    candidates = _rank(duty, routers.known)
    if routers.lost.isdisjoint(candidates):
        return candidates
    substitutes = _rank(duty, routers.known - routers.lost)
    return candidates + tuple(router for router in substitutes if router not in candidates)


def compute_rank_delay_ms(rank: int) -> int:
    """
    Compute how long a candidate waits before it acquires a duty that no router holds.

    :param rank: position among the candidates, 0 for the first
    :return: delay in milliseconds
    """
    return rank * RANK_DELAY_MS


def may_acquire(routers: KnownRouters) -> bool:
    """
    Decide whether a router may acquire duties. A partitioned one lacks the state of the others.

    :param routers: the known routers
    :return: whether it is connected to at least half of the routers that it heard in the last
        30 s, both numbers with itself, so that the survivor of two routers may acquire
    """
    connected = routers.heard + 1
    return 2 * connected >= connected + len(routers.lost)


def _rank(duty: Duty, routers: Iterable[str]) -> tuple[str, ...]:
    return tuple(
        heapq.nlargest(
            CANDIDATES,
            routers,
            key=lambda router: (stable_hash("duty", duty.kind.value, duty.subject, router), router),
        )
    )


__all__ = ["CANDIDATES", "RANK_DELAY_MS", "compute_rank_delay_ms", "list_candidates", "may_acquire"]
