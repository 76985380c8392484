"""
Decide which windows the holder of the duty stores and which reports it sends.

A window is first stored, and only stored counts are sent. A router that takes over therefore sends
the same counts as its predecessor, also if the predecessor's last call arrived without an answer.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import EntryUnreadable
from boragetiller.systems.duties.window_coverage import (
    compute_started_ms,
    covers_window,
    is_first_holding,
)
from boragetiller.tables.store_writes import (
    NO_REVISION,
    ExpectedRevision,
    KeyWrite,
    Transaction,
)
from boragetiller.tables.usage import ClosedWindow

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from boragetiller.tables.duties import Holding
    from boragetiller.tables.store_view import StoredItem
    from boragetiller.tables.usage import UsageReports, UsageSettings, UsageWindows

WINDOWS_PREFIX = "boragetiller/usage/"
MAX_REMOVALS = 20  # a transaction has at most 32 entries
FIRST_BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 1_600  # several calls still fit into the time for reporting


@attrs.frozen
class LostWindow:
    """A window that is not reported."""

    window_no: int
    # "too_late", "not_counted" if this router does not know all requests, or "unreadable"
    reason: str


def decode_window(item: StoredItem) -> tuple[ClosedWindow, frozenset[int]]:
    """
    Decode a stored window.

    :param item: entry of the store
    :return: the window, and the numbers of earlier ones that were sent when it was stored
    :raises EntryUnreadable: the entry is not a stored window
    """
    try:
        document = json.loads(item.value or b"")
        counts = {str(name): int(number) for name, number in document["counts"].items()}
        sent = frozenset(int(number) for number in document["sent"])
        window_no = int(item.key.removeprefix(WINDOWS_PREFIX))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise EntryUnreadable(f"{item.key}: is not a stored window: {error!r}") from error
    return ClosedWindow(window_no=window_no, counts=counts), sent


def load_windows(reports: UsageReports, items: Iterable[StoredItem]) -> None:
    """
    Replace the known windows by those in the store.

    :param reports: progress of the reports
    :param items: all entries below WINDOWS_PREFIX that can be decoded
    """
    reports.stored.clear()
    for item in items:
        add_stored_window(reports, item)
    reports.loaded = True


def add_stored_window(reports: UsageReports, item: StoredItem) -> ClosedWindow:
    """
    Add a window that is in the store, whoever stored it.

    :param reports: progress of the reports
    :param item: its entry
    :return: the window
    :raises EntryUnreadable: the entry is not a stored window
    """
    window, sent = decode_window(item)
    reports.sent |= sent
    _add_stored(reports, window)
    return window


def record_stored(reports: UsageReports, window: ClosedWindow) -> None:
    """
    Record that this router stored a window.

    :param reports: progress of the reports
    :param window: the window
    """
    reports.attempts[window.window_no] = 0
    _add_stored(reports, window)


def _add_stored(reports: UsageReports, window: ClosedWindow) -> None:
    reports.stored[window.window_no] = window
    reports.next_window_no = max(reports.next_window_no or 0, window.window_no + 1)


def choose_window_to_store(
    reports: UsageReports,
    windows: UsageWindows,
    holding: Holding,
    true_ms: int,
    now_ms: int,
) -> tuple[ClosedWindow | None, list[LostWindow]]:
    """
    Choose the next window to store.

    :param reports: progress of the reports; the number of the next window is advanced
    :param windows: counts of the last windows
    :param holding: the held duty; its first holder knows that no router counted before
    :param true_ms: true time in milliseconds
    :param now_ms: time since boot in milliseconds
    :return: the oldest closed window that is not in the store, and windows that are given up
    """
    settings = windows.settings
    closed_through = windows.closed_through
    if closed_through is None:
        return None, []
    oldest_no = settings.find_window(true_ms - settings.late_ms) - 1
    is_first = is_first_holding(holding)
    first_no = reports.next_window_no
    # Stored windows have later numbers if they were shorter, or stored with a clock that was ahead.
    if first_no is None or first_no > settings.find_window(true_ms) + 1:
        started_ms = compute_started_ms(windows, true_ms, now_ms)
        first_no = _find_first_counted(windows, started_ms) if is_first else oldest_no
    lost = []
    if first_no < oldest_no:
        lost.append(LostWindow(oldest_no - 1, "too_late"))
        first_no = oldest_no
    reports.next_window_no = first_no
    for number in range(first_no, closed_through + 1):
        window = windows.windows.get(number)
        is_covered = is_first or covers_window(windows, number, true_ms, now_ms)
        if true_ms >= settings.due_ms(number):
            lost.append(LostWindow(number, "too_late"))
        elif window is not None and window.closed is not None and is_covered:
            return window.closed, lost
        else:
            lost.append(LostWindow(number, "not_counted"))
        reports.next_window_no = number + 1
    return None, lost


def _find_first_counted(windows: UsageWindows, started_ms: int) -> int:
    """:return: number of the first window in which a router counted, when all have just started"""
    counted = [number for number, window in windows.windows.items() if window.by_router]
    return min([windows.settings.find_window(started_ms), *counted])


def build_transaction(
    reports: UsageReports, window: ClosedWindow, holding: Holding, settings: UsageSettings
) -> Transaction:
    """
    Build the transaction that stores a window, if it is not stored and the duty is still held.

    :param reports: windows in the store; those that can no longer be reported are removed
    :param window: the window
    :param holding: the held duty
    :param settings: length of the windows
    :return: the transaction
    """
    oldest_no = window.window_no - settings.kept_windows
    removed = sorted(number for number in reports.stored if number < oldest_no)[:MAX_REMOVALS]
    sent = sorted(number for number in reports.sent if number >= oldest_no)
    document = {"counts": dict(window.counts), "sent": sent}
    key = build_key(window.window_no)
    return Transaction(
        era=holding.era,
        expected=(holding.condition, ExpectedRevision(key, NO_REVISION)),
        writes=(KeyWrite(key, json.dumps(document).encode()),),
        removals=tuple(build_key(number) for number in removed),
    )


def skip_window(reports: UsageReports, window_no: int) -> LostWindow:
    """
    Give up a window whose entry in the store cannot be decoded, so that later ones are reported.

    :param reports: progress of the reports
    :param window_no: number of the window
    :return: the window
    """
    reports.next_window_no = max(reports.next_window_no or 0, window_no + 1)
    return LostWindow(window_no, "unreadable")


def build_key(window_no: int) -> str:
    """:return: key of a stored window"""
    return f"{WINDOWS_PREFIX}{window_no}"


def record_removed(reports: UsageReports, keys: Iterable[str]) -> None:
    """
    Record that stored windows were removed.

    :param reports: progress of the reports
    :param keys: their keys
    """
    for key in keys:
        number = int(key.removeprefix(WINDOWS_PREFIX))
        for known in (reports.stored, reports.attempts):
            known.pop(number, None)
        reports.sent.discard(number)


def choose_report(
    reports: UsageReports, settings: UsageSettings, true_ms: int, flight_ms: int, now_ms: int
) -> tuple[ClosedWindow | None, list[LostWindow]]:
    """
    Choose the next report to send.

    :param reports: progress of the reports
    :param settings: length of the windows and the time for reporting
    :param true_ms: true time in milliseconds
    :param flight_ms: longest time until a call arrives, in milliseconds
    :param now_ms: monotonic time in milliseconds
    :return: the oldest window in the store that was not sent, None if there is none or calls are
        delayed after a failure; and windows whose report would now arrive too late
    """
    unsent = sorted(
        number
        for number in reports.stored
        if number not in reports.sent and settings.end_ms(number) <= true_ms
    )
    late = [number for number in unsent if true_ms + flight_ms >= settings.due_ms(number)]
    reports.sent.update(late)  # not sent, but done with
    lost = [LostWindow(number, "too_late") for number in late if number in reports.attempts]
    left = unsent[len(late) :]
    if not left or now_ms < reports.retry_at_ms:
        return None, lost
    reports.attempts[left[0]] = reports.attempts.get(left[0], 0) + 1
    return reports.stored[left[0]], lost


def record_sent(reports: UsageReports, window_no: int) -> None:
    """
    Record that the platform acknowledged a report.

    :param reports: progress of the reports
    :param window_no: number of the window
    """
    reports.sent.add(window_no)
    reports.failures = reports.retry_at_ms = 0


def record_failed(reports: UsageReports, now_ms: int, rng: Random) -> int:
    """
    Delay the next call after one that the platform did not acknowledge.

    :param reports: progress of the reports
    :param now_ms: monotonic time in milliseconds
    :param rng: seeded random generator, so that several holders do not call at the same time
    :return: delay in milliseconds
    """
    longest_ms = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << reports.failures)
    delay_ms = round(longest_ms * rng.uniform(0.5, 1.0))
    reports.failures = min(reports.failures + 1, 8)  # the delay no longer grows
    reports.retry_at_ms = now_ms + delay_ms
    return delay_ms


__all__ = [
    "WINDOWS_PREFIX",
    "LostWindow",
    "add_stored_window",
    "build_key",
    "build_transaction",
    "choose_report",
    "choose_window_to_store",
    "decode_window",
    "load_windows",
    "record_failed",
    "record_removed",
    "record_sent",
    "record_stored",
    "skip_window",
]
