"""Crashes of engines, by the shared prompt parts of the requests that they had begun to answer."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.tables.recent_items import RecentItems

MAX_RECENT_REPORTS = 512  # enough for the crashes between two reports, 100 ms apart


@attrs.frozen(kw_only=True)
class CrashSuspect:
    """A request that may have crashed its engine, since its response had just begun."""

    parts: tuple[str, ...]  # IDs of the shared prompt parts
    weight: int


@attrs.frozen(kw_only=True)
class PartCrashReport:
    """A crash as routers report it to each other; a cleared one is never counted again."""

    part: str
    crash_id: str  # name and start time of the engine
    companions: frozenset[str]  # shared parts that all suspects of the crash with the part had too
    weight: int
    age_ms: int
    cleared: bool = False


@attrs.define(kw_only=True)
class PartCrash:
    """A crash recorded for one part."""

    companions: frozenset[str]
    weight: int
    recorded_ms: int  # monotonic time
    cleared: bool = False  # a request with the part has been answered since


@attrs.define
class PartCrashTable:
    """Crashes by part and crash ID; parts in order of their last crash."""

    by_part: OrderedDict[str, dict[str, PartCrash]] = attrs.field(factory=OrderedDict)
    parts_by_crash: dict[str, set[str]] = attrs.field(factory=dict)  # suspected parts, by crash ID
    # Monotonic time at which a response with the part last survived its beginning.
    answered_ms: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    recent: RecentItems[PartCrashReport] = attrs.field(
        factory=lambda: RecentItems.with_capacity(MAX_RECENT_REPORTS)
    )  # changes that peers have not been sent yet


__all__ = ["CrashSuspect", "PartCrash", "PartCrashReport", "PartCrashTable"]
