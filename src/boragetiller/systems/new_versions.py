"""
Decide when resumable streams may begin at a software version that has just appeared.

A router that finds no record of a stream infers its version from the entry of the group, or from a
list of servers that is known to be current. So a stream begins at a new version only once the entry
names it, and each list that counts as current does.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.watcher_election import STORE_REPORT_TTL_MS

if TYPE_CHECKING:
    from collections.abc import Mapping

RELAY_SHARE = 0.2  # of drain_ms, in which watchers batch changes of the list
UNSTORED_MS = 10_000  # after that, a version is used though the store does not take its name


def compute_settle_ms(drain_ms: int) -> int:
    """
    Compute how long an entry names a version before streams begin at it.

    :param drain_ms: time within which all routers that reach the store know a change of the list,
        and know that they do not reach it
    :return: milliseconds, for which a list may count as current though it lacks the version
    """
    return int((1 + RELAY_SHARE) * drain_ms) + STORE_REPORT_TTL_MS


def list_settled(
    appeared_ms: Mapping[str, int],
    stored_ms: Mapping[str, float] | None,
    now_ms: int,
    settle_ms: int,
) -> frozenset[str]:
    """
    List the versions at which resumable streams may begin.

    :param appeared_ms: since when each version is in the list of this router
    :param stored_ms: since when the entry of the group names each version, None if never read
    :param now_ms: monotonic time in milliseconds
    :param settle_ms: see compute_settle_ms
    :return: versions of the list
    """
    if stored_ms is None:
        return frozenset(appeared_ms)
    return frozenset(
        version
        for version, since_ms in appeared_ms.items()
        if now_ms - stored_ms.get(version, now_ms) >= settle_ms or now_ms - since_ms >= UNSTORED_MS
    )


__all__ = ["compute_settle_ms", "list_settled"]
