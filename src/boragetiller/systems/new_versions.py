"""
Decide when resumable streams may begin at a software version that has just appeared.

A router that finds no record of a stream infers its version from the entry of the group, so a
stream begins at a new version only once the entry names it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

UNSTORED_MS = 10_000  # after that, a version is used though the store does not take its name


def list_startable(
    appeared_ms: Mapping[str, int], stored: Set[str] | None, now_ms: int
) -> frozenset[str]:
    """
    List the versions at which resumable streams may begin.

    :param appeared_ms: since when each version is in the list of this router
    :param stored: versions that the entry of the group names, None if it was never read
    :param now_ms: monotonic time in milliseconds
    :return: versions of the list
    """
    return frozenset(
        version
        for version, since_ms in appeared_ms.items()
        if stored is None or version in stored or now_ms - since_ms >= UNSTORED_MS
    )


__all__ = ["UNSTORED_MS", "list_startable"]
