"""Which windows this router can report: what it and its peers have seen, and what is stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.store_eras import FIRST_ERA

if TYPE_CHECKING:
    from boragetiller.tables.duties import Holding
    from boragetiller.tables.usage import ClosedWindow, UsageWindows

TOKEN_BITS = 32  # of a fencing token; the higher ones are the era of the store
FIRST_TOKEN = 1  # of an era


def compute_started_ms(windows: UsageWindows, true_ms: int, now_ms: int) -> int:
    """
    Compute when this router was started.

    :param windows: counts of the last windows
    :param true_ms: true time in milliseconds
    :param now_ms: time since boot in milliseconds
    :return: true time in milliseconds
    """
    return true_ms - (now_ms - windows.started_ms)


def adopt_window(windows: UsageWindows, stored: ClosedWindow) -> None:
    """
    Replace the sum of a window by that in the store.

    If the store is restored from a copy without the window, it is stored again as it was sent.

    :param windows: counts of the last windows
    :param stored: the window in the store
    """
    window = windows.windows.get(stored.window_no)
    if window is not None and window.closed is not None:
        window.closed = stored


def covers_window(windows: UsageWindows, window_no: int, true_ms: int, now_ms: int) -> bool:
    """
    Check whether all requests of a window were counted by a router that this one knows.

    :param windows: counts of the last windows
    :param window_no: number of the window
    :param true_ms: true time in milliseconds
    :param now_ms: time since boot in milliseconds
    :return: whether this router, or one whose counts it has, ran during the whole window
    """
    start_ms = windows.settings.start_ms(window_no)
    if compute_started_ms(windows, true_ms, now_ms) <= start_ms:
        return True
    window = windows.windows.get(window_no)
    return window is not None and any(
        start != windows.own and start.incarnation // 1_000 <= start_ms
        for start in window.by_router
    )


def is_first_holding(holding: Holding) -> bool:
    """:return: whether no router held the duty before, so that none counted before"""
    era, number = divmod(holding.token, 1 << TOKEN_BITS)
    return era <= FIRST_ERA and number == FIRST_TOKEN


__all__ = ["adopt_window", "compute_started_ms", "covers_window", "is_first_holding"]
