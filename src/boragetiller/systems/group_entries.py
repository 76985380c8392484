"""
Decide when a router writes which software versions served a group recently.

All routers share one entry for each group and change it only at the revision that they have read. A
version that is missing from it is taken not to have begun any stream that may still be resumed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from boragetiller.tables.stream_versions import STREAM_LIFETIME_MS

REFRESH_MS = 15_000
POLL_MS = 5_000  # up to twice that, so that not all routers refresh an entry at once
# The last router that saw a version may have ended just before it would have refreshed it.
REMOVAL_MS = STREAM_LIFETIME_MS + REFRESH_MS + 2 * POLL_MS


@attrs.frozen
class StoredEntry:
    """Entry of a group as this router last read or wrote it."""

    # By version: revision over which a router that saw the version has last refreshed it.
    marks: Mapping[str, int]
    revision: int  # extended revision, NO_REVISION if the entry does not exist
    # Monotonic time since which this router knows the mark of each version, beside another one.
    since_ms: Mapping[str, int]
    # Monotonic time after which the mark of each version has changed for sure.
    fresh_ms: Mapping[str, float]
    read_ms: int  # monotonic time of the last call that returned the revision


@attrs.frozen
class GroupSightings:
    """Versions that a router has seen in its own list of servers."""

    recent: frozenset[str]  # within STREAM_LIFETIME_MS
    # Monotonic time of the last appearance of each version that is listed now.
    appeared_ms: Mapping[str, int]


def observe_entry(
    known: StoredEntry | None, marks: Mapping[str, int], revision: int, now_ms: int
) -> StoredEntry:
    """
    Take note of an entry that was read or written.

    :param known: what was known of it before, None for nothing
    :param marks: its marks by version
    :param revision: its extended revision, NO_REVISION if it does not exist
    :param now_ms: monotonic time in milliseconds
    :return: the entry
    """
    since_ms = dict.fromkeys(marks, now_ms)
    fresh_ms = dict.fromkeys(marks, -math.inf)
    if known is not None:
        for version, mark in marks.items():
            if known.marks.get(version) != mark:
                fresh_ms[version] = known.read_ms
                continue
            fresh_ms[version] = known.fresh_ms[version]
            if len(known.marks) > 1:  # nobody refreshes the only version
                since_ms[version] = known.since_ms[version]
    return StoredEntry(marks, revision, since_ms, fresh_ms, now_ms)


def decide_entry(
    entry: StoredEntry, sightings: GroupSightings, now_ms: int, *, is_certain: bool
) -> dict[str, int] | None:
    """
    Decide which marks to write over an entry.

    A version is removed only if this router has not seen it for as long as a stream may be resumed,
    in a list that was current, and its mark has not changed for longer. Routers that see a version
    beside another one refresh its mark from time to time, and so does each one at which it appears:
    a removal that was decided before then fails, also if the store executes it late.

    :param entry: the entry
    :param sightings: what the router has seen
    :param now_ms: monotonic time in milliseconds
    :param is_certain: whether the router has followed the list of servers for as long
    :return: marks to write at the revision of the entry, None to write nothing
    """
    marks, recent = entry.marks, sightings.recent
    is_mixed = len(marks) > 1
    if not recent or (not is_mixed and recent == marks.keys()):
        return None
    added = recent - marks.keys()
    refreshed = {
        version
        for version in recent & marks.keys()
        if now_ms - entry.fresh_ms[version] >= REFRESH_MS
        or sightings.appeared_ms.get(version, -math.inf) > entry.fresh_ms[version]
    }
    removed = {
        version
        for version in marks.keys() - recent
        if is_mixed and is_certain and now_ms - entry.since_ms[version] >= REMOVAL_MS
    }
    if not (added or refreshed or removed):
        return None
    kept = {version: mark for version, mark in marks.items() if version not in removed}
    return kept | dict.fromkeys(recent, entry.revision)


def is_read_due(entry: StoredEntry, sightings: GroupSightings, now_ms: int, jitter: float) -> bool:
    """
    Decide whether to read an entry again, because other routers may have written it.

    :param entry: the entry
    :param sightings: what the router has seen
    :param now_ms: monotonic time in milliseconds
    :param jitter: 0 to 1, different for each router
    :return: whether it is due; not while a group has one version only
    """
    is_mixed = len(entry.marks.keys() | sightings.recent) > 1
    return is_mixed and now_ms - entry.read_ms >= POLL_MS * (1 + jitter)


__all__ = ["GroupSightings", "StoredEntry", "decide_entry", "is_read_due", "observe_entry"]
