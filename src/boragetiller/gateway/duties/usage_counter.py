"""Count the requests that backend servers begin, and exchange the counts with peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.clock import BoottimeClock, WallClock, new_incarnation
from boragetiller.events import Event, log_event
from boragetiller.gateway.duties.metrics import UsageMetrics
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.systems.duties.true_time import compute_true_time, record_peer_clock
from boragetiller.systems.duties.usage_windows import (
    apply_entry,
    build_entries,
    close_windows,
    record_begin,
    remove_peer,
)
from boragetiller.systems.response_outcomes import SUCCESS, states_not_run
from boragetiller.tables.duties import DutyKind
from boragetiller.tables.usage import (
    ClosedWindow,
    RouterStart,
    TrueTime,
    UsageCursor,
    UsageSettings,
    UsageWindows,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.tables.call_metadata import ResponseMetadata
    from boragetiller.tables.direct_attempts import CallProgress
    from boragetiller.tables.report_entries import UsageCounts

CLOSE_INTERVAL_MS = 100  # between checks for windows to close
WINDOW_START_DELAY_MS = 5  # after which the timer of the event loop has surely passed the start
LAST_REPORT_MS = 100  # five times the shortest interval between reports


class UsageCounter:
    """Counts of this router and of its peers."""

    def __init__(
        self,
        windows: UsageWindows,
        clock: Clock,
        metrics: GatewayMetrics,
        wall_clock: Clock | None = None,
    ) -> None:
        """
        Create the counter.

        :param windows: counts of the last windows
        :param clock: clock of the time since boot, which goes on while the host is suspended
        :param metrics: registry of the process, and counter of failures of tasks
        :param wall_clock: wall clock of this host, None for that of the system
        """
        self.windows = windows
        self._clock = clock
        self._wall_clock = wall_clock or WallClock()
        self.usage_metrics = UsageMetrics(metrics.registry)
        self._metrics = metrics
        self._true_time = TrueTime()
        self.has_links = False  # entries are sent by UsageLinks and not in reports to all peers
        self._request_report: Callable[[], None] | None = None  # None until the start
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, request_report: Callable[[], None]) -> None:
        """
        Start to close windows, and to report at the start of each window.

        :param request_report: sends a report to peers at once
        """
        self._request_report = request_report
        loops = {"close usage windows": self._close_windows, "start usage windows": self._run}
        for name, loop in loops.items():
            task = asyncio.create_task(run_supervised(name, loop, self._metrics))
            self._tasks.append(task)

    async def close(self) -> None:
        """Report the last counts to peers; to be called before connections to peers close."""
        self._stopping = True
        if self._request_report is not None:
            self._request_report()
            await asyncio.sleep(LAST_REPORT_MS / 1_000)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def now_ms(self) -> int:
        """:return: time since boot in milliseconds"""
        return self._clock.now_ms()

    def get_true_ms(self) -> int:
        """:return: true time in milliseconds since the epoch"""
        return compute_true_time(self._true_time, self._wall_clock.now_ms(), self._clock.now_ms())

    def record_head(
        self, call: AdmittedCall, progress: CallProgress, head: ResponseMetadata, server: str
    ) -> None:
        """
        Count a request when the head of a response shows that a server ran it.

        A successful stream is counted with its first bytes instead.

        :param call: the call
        :param progress: its attempts; marked as begun
        :param head: status and headers of the response
        :param server: name of the server that the request was meant for
        """
        is_stream = call.route.streamed and head.status in SUCCESS
        # Only the seal shows that the server wrote the response; a proxy answers without a run.
        if head.sealed and not is_stream and not states_not_run(head, server):
            self.record_begin(call, progress)

    def record_begin(self, call: AdmittedCall, progress: CallProgress) -> None:
        """
        Count a request that a server began, once over all of its attempts.

        :param call: the call
        :param progress: its attempts; marked as begun
        """
        if progress.begun or call.customer is None:
            return
        progress.begun = True
        if not record_begin(self.windows, call.customer.name, self.get_true_ms()):
            self.usage_metrics.dropped.inc()

    def build_report_entries(self, cursor: UsageCursor) -> tuple[UsageCounts, ...]:
        """:return: entries of a report to all peers; see :meth:`build_entries`"""
        return () if self.has_links else self.build_entries(cursor)

    def build_entries(self, cursor: UsageCursor) -> tuple[UsageCounts, ...]:
        """
        Build the entries that are due on a connection.

        :param cursor: what has been reported; it is advanced
        :return: the entries
        """
        true_ms, wall_clock_ms = self.get_true_ms(), self._wall_clock.now_ms()
        return build_entries(
            self.windows,
            cursor,
            true_ms,
            wall_clock_ms,
            self._clock.now_ms(),
            is_last=self._stopping,
        )

    def apply_entries(self, peer: str, entries: tuple[UsageCounts, ...]) -> None:
        """
        Apply the entries of a peer's report.

        :param peer: name of the peer
        :param entries: counts of the peer, and of routers that it no longer hears
        """
        now_ms = self._clock.now_ms()
        own = [entry.wall_clock_ms for entry in entries if entry.router == peer]
        if own:
            record_peer_clock(self._true_time, peer, own[-1], now_ms)
        for entry in entries:
            true_ms = self.get_true_ms()
            dropped = apply_entry(self.windows, peer, entry, true_ms, now_ms)
            if dropped:
                self.usage_metrics.dropped.inc(dropped)
                log_event(
                    Event.USAGE_COUNTS_DROPPED,
                    window_no=entry.window_no,
                    router=entry.router,
                    requests=dropped,
                    late_ms=true_ms - self.windows.settings.end_ms(entry.window_no),
                )

    def remove_peer(self, peer: str) -> None:
        """:param peer: name of a peer whose connection has ended"""
        remove_peer(self.windows, peer)

    async def _close_windows(self) -> None:
        while True:
            self.close_due_windows()
            await asyncio.sleep(CLOSE_INTERVAL_MS / 1_000)

    def close_due_windows(self) -> None:
        """Close the windows whose time has come."""
        true_ms = self.get_true_ms()
        self.usage_metrics.clock_error_ms.set(self._wall_clock.now_ms() - true_ms)
        for window in close_windows(self.windows, true_ms, self._clock.now_ms()):
            self._log_closed(window, true_ms)

    def _log_closed(self, window: ClosedWindow, true_ms: int) -> None:
        log_event(
            Event.USAGE_WINDOW_CLOSED,
            window_no=window.window_no,
            requests=window.requests,
            customers=len(window.counts),
            routers=window.routers,
            missing=window.missing[:10],
            after_ms=true_ms - self.windows.settings.end_ms(window.window_no),
            clock_error_ms=self._wall_clock.now_ms() - true_ms,
        )

    async def _run(self) -> None:
        window_ms = self.windows.settings.window_ms
        while True:
            left_ms = window_ms - self.get_true_ms() % window_ms
            await asyncio.sleep((left_ms + WINDOW_START_DELAY_MS) / 1_000)
            if self._request_report is not None:
                self._request_report()


def build_usage_counter(settings: GatewaySettings, metrics: GatewayMetrics) -> UsageCounter | None:
    """
    Build the counter if the settings name the duty of usage reports.

    :param settings: settings of the process
    :param metrics: metrics of the process
    :return: the counter, None if nothing is to be counted
    """
    duties = settings.duties
    if duties is None or DutyKind.USAGE_REPORT not in duties.kinds:
        return None
    clock = BoottimeClock()
    windows = UsageWindows(
        own=RouterStart(settings.name, new_incarnation()),
        started_ms=clock.now_ms(),
        settings=UsageSettings(window_ms=duties.window_ms, late_ms=duties.usage_late_ms),
    )
    return UsageCounter(windows, clock, metrics)


__all__ = ["UsageCounter", "build_usage_counter"]
