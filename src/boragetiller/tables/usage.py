"""Requests that backend servers began, by window and customer, and the reports about them."""

from __future__ import annotations

import math
from collections import deque

import attrs

MIN_KEPT_WINDOWS = 4
CLOCK_SAMPLES = 4  # of the clock of a peer; the largest has the shortest delay on the network


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Length of the windows and the time for reporting them."""

    window_ms: int
    late_ms: int  # after the end of a window, within which its report is due

    @property
    def kept_windows(self) -> int:
        """:return: number of windows that are kept: those that may still be reported, one more"""
        return max(MIN_KEPT_WINDOWS, math.ceil(self.late_ms / self.window_ms) + 2)

    def find_window(self, time_ms: int) -> int:
        """:return: number of the window that contains a true time in milliseconds"""
        return time_ms // self.window_ms

    def start_ms(self, window_no: int) -> int:
        """:return: true time in milliseconds at which a window starts"""
        return window_no * self.window_ms

    def end_ms(self, window_no: int) -> int:
        """:return: true time in milliseconds at which a window ends"""
        return self.start_ms(window_no + 1)

    def due_ms(self, window_no: int) -> int:
        """:return: true time in milliseconds after which a report of the window is too late"""
        return self.end_ms(window_no) + self.late_ms


@attrs.frozen
class RouterStart:
    """One incarnation of a router."""

    router: str
    incarnation: int  # wall-clock time of its start in µs


@attrs.frozen(kw_only=True)
class ClosedWindow:
    """Counts of a window that no longer change."""

    window_no: int
    counts: dict[str, int]  # requests by customer
    routers: int = 0  # incarnations of routers whose counts are included
    missing: tuple[str, ...] = ()  # known routers that had not completed the window

    @property
    def requests(self) -> int:
        """:return: number of requests of all customers"""
        return sum(self.counts.values())


@attrs.define
class UsageWindow:
    """Counts of one window, by incarnation of a router and customer."""

    by_router: dict[RouterStart, dict[str, int]] = attrs.field(factory=dict)
    # Version of UsageWindows when an own count last changed, by customer.
    own_versions: dict[str, int] = attrs.field(factory=dict)
    closed: ClosedWindow | None = None
    late_requests: int = 0  # that were dropped because the window was closed


@attrs.define
class KnownRouter:
    """Another router that reports its counts here."""

    newest_window_no: int
    heard_ms: int  # time since boot of its last report
    connected: bool = True
    incarnation: int = 0  # that reported last; counts of earlier ones are relayed to new peers


@attrs.define
class UsageWindows:
    """Counts of the last windows, of this router and of those that report to it."""

    own: RouterStart
    started_ms: int  # time since boot
    settings: UsageSettings
    version: int = 0  # incremented by each change of the own counts
    windows: dict[int, UsageWindow] = attrs.field(factory=dict)  # by number
    routers: dict[str, KnownRouter] = attrs.field(factory=dict)  # others by name
    closed_through: int | None = None  # highest number of a closed window


@attrs.define
class UsageCursor:
    """What has been reported on a connection."""

    version: int = -1  # of the counts
    window_no: int | None = None  # in which the last report was built
    sent_ms: int = 0  # time since boot


@attrs.define
class RouterClock:
    """Wall clock of a router: its distance from this router's clock of the time since boot."""

    offset_ms: int | None = None
    jumped_ms: int | None = None  # time since boot since which a jump is not followed
    samples_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=CLOCK_SAMPLES))
    heard_ms: int = 0  # time since boot


@attrs.define
class TrueTime:
    """Estimate of the true time from the wall clocks of all routers."""

    own: RouterClock = attrs.field(factory=RouterClock)
    peers: dict[str, RouterClock] = attrs.field(factory=dict)  # by name
    offset_ms: int | None = None  # of the true time from the time since boot


@attrs.define
class UsageReports:
    """Progress of the router that holds the duty of reporting."""

    loaded: bool = False  # whether the closed windows in the store are known
    stored: dict[int, ClosedWindow] = attrs.field(factory=dict)  # by number; all in the store
    sent: set[int] = attrs.field(factory=set)  # acknowledged by the platform
    next_window_no: int | None = None  # the next one to store
    attempts: dict[int, int] = attrs.field(factory=dict)  # calls by window
    failures: int = 0  # consecutive
    retry_at_ms: int = 0  # monotonic time before which no report is sent again


__all__ = [
    "ClosedWindow",
    "KnownRouter",
    "RouterClock",
    "RouterStart",
    "TrueTime",
    "UsageCursor",
    "UsageReports",
    "UsageSettings",
    "UsageWindow",
    "UsageWindows",
]
