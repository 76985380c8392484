"""
Count the requests that backend servers began, by window and customer, over all routers.

A router reports counts of a window from its start, and counts only grow. A repeated or reordered
report thus changes nothing. All routers close a window by the same rule and then drop what arrives
later, so that a successor of the router that reports the window finds the same sums.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.duties.window_coverage import compute_started_ms
from boragetiller.tables.report_entries import CustomerCount, UsageCounts
from boragetiller.tables.usage import (
    ClosedWindow,
    KnownRouter,
    RouterStart,
    UsageCursor,
    UsageWindow,
)

if TYPE_CHECKING:
    from boragetiller.tables.usage import UsageWindows

# Of changed counts; a killed router loses what it counted since. With 500 ms, 600 killed routers
# made 39 counts of customers wrong by more than 5%; with 200 ms, 10 (bench.usage_replay).
REPORT_INTERVAL_MS = 200
CLOSE_DELAY_MS = 1_500  # reports take 100 to 640 ms; the rest is for a loaded network
LONGEST_CLOSE_SHARE = 0.5  # of the time for reporting; leaves the other half for repeated calls
JOIN_MS = 2_000  # after its start a router has the counts of its peers, which it lacked before
STOPPED_WINDOW_NO = (1 << 64) - 1  # in the last entry of a router that stops and counts no more
ROUTER_TTL_MS = 30_000  # for which the counts of a silent router are waited for


def record_begin(windows: UsageWindows, customer: str, true_ms: int) -> bool:
    """
    Count a request that a backend server began.

    :param windows: counts of the last windows
    :param customer: name of the customer
    :param true_ms: true time of the beginning in milliseconds
    :return: false if its window is closed, so that the request is not reported
    """
    window_no = windows.settings.find_window(true_ms)
    window = windows.windows.setdefault(window_no, UsageWindow())
    if _is_closed(windows, window_no):
        window.late_requests += 1
        return False
    counts = window.by_router.setdefault(windows.own, {})
    counts[customer] = counts.get(customer, 0) + 1
    windows.version += 1
    window.own_versions[customer] = windows.version
    return True


def build_entries(
    windows: UsageWindows,
    cursor: UsageCursor,
    true_ms: int,
    wall_clock_ms: int,
    now_ms: int,
    *,
    is_last: bool = False,
) -> tuple[UsageCounts, ...]:
    """
    Build the entries of a report to peers.

    The first report of a window has an entry for it even without requests: it tells peers that the
    earlier windows are complete.

    :param windows: counts of the last windows
    :param cursor: what has been reported; it is advanced
    :param true_ms: true time in milliseconds
    :param wall_clock_ms: this router's time since the epoch in milliseconds
    :param now_ms: time since boot in milliseconds
    :param is_last: whether the router stops, so that all changes are reported now
    :return: entries with the counts that changed
    """
    window_no = windows.settings.find_window(true_ms)
    is_new_window = window_no != cursor.window_no
    is_changed = windows.version > cursor.version
    is_due = is_last or now_ms - cursor.sent_ms >= REPORT_INTERVAL_MS
    if not (is_last or is_new_window or (is_changed and is_due)):
        return ()
    changed = {
        number: counts
        for number, window in sorted(windows.windows.items())
        if (counts := _list_changed(windows, window, cursor.version))
    }
    if is_new_window:
        changed.setdefault(window_no, {})
    if is_last:
        changed[STOPPED_WINDOW_NO] = {}
    entries = [
        _build_entry(number, windows.own, counts, wall_clock_ms)
        for number, counts in changed.items()
    ]
    if cursor.window_no is None:
        entries += _list_counts_of_gone_routers(windows, wall_clock_ms)
    cursor.version, cursor.window_no, cursor.sent_ms = windows.version, window_no, now_ms
    return tuple(entries)


def apply_entry(
    windows: UsageWindows, peer: str, entry: UsageCounts, true_ms: int, now_ms: int
) -> int:
    """
    Apply an entry of a peer's report.

    :param windows: counts of the last windows
    :param peer: name of the peer that sent it; the counts may be those of another router
    :param entry: the entry
    :param true_ms: true time in milliseconds
    :param now_ms: time since boot in milliseconds
    :return: number of requests that were dropped because the window is closed
    """
    settings = windows.settings
    current_no = settings.find_window(true_ms)
    start = RouterStart(entry.router, entry.incarnation)
    if entry.window_no == STOPPED_WINDOW_NO:
        windows.routers.pop(peer, None)
        return 0
    if not current_no - settings.kept_windows < entry.window_no <= current_no + 1:
        return 0
    if start == windows.own:
        return 0
    if entry.router == peer:
        router = windows.routers.setdefault(peer, KnownRouter(entry.window_no, now_ms))
        router.newest_window_no = max(router.newest_window_no, entry.window_no)
        router.heard_ms, router.connected = now_ms, True
        router.incarnation = entry.incarnation
    window = windows.windows.setdefault(entry.window_no, UsageWindow())
    known = window.by_router.get(start, {})
    counts = {
        count.customer: max(count.requests, known.get(count.customer, 0)) for count in entry.counts
    }
    window.by_router[start] = known | counts  # if closed, so that a repeat is not counted again
    if not _is_closed(windows, entry.window_no):
        return 0
    late = sum(counts.values()) - sum(known.get(customer, 0) for customer in counts)
    window.late_requests += late
    return late


def remove_peer(windows: UsageWindows, peer: str) -> None:
    """
    Record that a peer's connection has ended; its counts stay.

    :param windows: counts of the last windows
    :param peer: name of the peer
    """
    if peer in windows.routers:
        windows.routers[peer].connected = False


def close_windows(windows: UsageWindows, true_ms: int, now_ms: int) -> list[ClosedWindow]:
    """
    Close the windows whose time has come, and drop those that can no longer be reported.

    :param windows: counts of the last windows
    :param true_ms: true time in milliseconds
    :param now_ms: time since boot in milliseconds
    :return: windows closed now, oldest first; also those without requests
    """
    settings = windows.settings
    current_no = settings.find_window(true_ms)
    oldest_no = current_no - settings.kept_windows + 1
    for number in [number for number in windows.windows if number < oldest_no]:
        del windows.windows[number]
    silent = [
        name
        for name, router in windows.routers.items()
        if now_ms - router.heard_ms > ROUTER_TTL_MS and not router.connected
    ]
    for name in silent:
        del windows.routers[name]
    if windows.closed_through is None:
        windows.closed_through = oldest_no - 1
    is_joining = now_ms - windows.started_ms < JOIN_MS
    started_ms = compute_started_ms(windows, true_ms, now_ms)
    closed = []
    for number in range(max(windows.closed_through + 1, oldest_no), current_no):
        missing = _list_missing(windows, number)
        if is_joining and settings.start_ms(number) < started_ms:
            break
        if true_ms < settings.end_ms(number) + _close_delay_ms(windows, is_complete=not missing):
            break
        window = windows.windows.setdefault(number, UsageWindow())
        window.closed = _sum_up(window, number, missing)
        windows.closed_through = number
        closed.append(window.closed)
    return closed


def _is_closed(windows: UsageWindows, window_no: int) -> bool:
    return windows.closed_through is not None and window_no <= windows.closed_through


def _close_delay_ms(windows: UsageWindows, *, is_complete: bool) -> float:
    longest_ms = windows.settings.late_ms * LONGEST_CLOSE_SHARE
    return min(CLOSE_DELAY_MS, longest_ms) if is_complete else longest_ms


def _list_missing(windows: UsageWindows, window_no: int) -> tuple[str, ...]:
    return tuple(
        sorted(
            name for name, router in windows.routers.items() if router.newest_window_no <= window_no
        )
    )


def _sum_up(window: UsageWindow, window_no: int, missing: tuple[str, ...]) -> ClosedWindow:
    total: dict[str, int] = {}
    for counts in window.by_router.values():
        for customer, requests in counts.items():
            total[customer] = total.get(customer, 0) + requests
    return ClosedWindow(
        window_no=window_no,
        counts={customer: total[customer] for customer in sorted(total)},
        routers=len(window.by_router),
        missing=missing,
    )


def _list_changed(windows: UsageWindows, window: UsageWindow, version: int) -> dict[str, int]:
    counts = window.by_router.get(windows.own, {})
    return {
        customer: requests
        for customer, requests in counts.items()
        if window.own_versions[customer] > version
    }


def _list_counts_of_gone_routers(windows: UsageWindows, wall_clock_ms: int) -> list[UsageCounts]:
    """List what a router that connects now can no longer hear from the routers themselves."""
    return [
        _build_entry(number, start, counts, wall_clock_ms)
        for number, window in sorted(windows.windows.items())
        for start, counts in window.by_router.items()
        if start != windows.own and not _is_connected(windows, start)
    ]


def _is_connected(windows: UsageWindows, start: RouterStart) -> bool:
    known = windows.routers.get(start.router)
    return known is not None and known.connected and known.incarnation == start.incarnation


def _build_entry(
    window_no: int, start: RouterStart, counts: dict[str, int], wall_clock_ms: int
) -> UsageCounts:
    return UsageCounts(
        window_no=window_no,
        router=start.router,
        incarnation=start.incarnation,
        wall_clock_ms=wall_clock_ms,
        counts=tuple(CustomerCount(customer, requests) for customer, requests in counts.items()),
    )


__all__ = [
    "apply_entry",
    "build_entries",
    "close_windows",
    "record_begin",
    "remove_peer",
]
