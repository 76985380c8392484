"""Store closed windows and send the usage reports, while this router holds the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import (
    DutyApiBusy,
    DutyApiUnavailable,
    EntryUnreadable,
    HistoryLost,
    StoreUnavailable,
)
from boragetiller.events import Event, log_event
from boragetiller.systems.duties.usage_reports import (
    WINDOWS_PREFIX,
    LostWindow,
    add_stored_window,
    build_key,
    build_transaction,
    choose_report,
    choose_window_to_store,
    load_windows,
    record_failed,
    record_removed,
    record_sent,
    record_stored,
    skip_window,
)
from boragetiller.systems.duties.window_coverage import adopt_window
from boragetiller.tables.duties import UsageReport
from boragetiller.tables.store_writes import CommitStatus
from boragetiller.tables.usage import UsageReports

if TYPE_CHECKING:
    from random import Random
    from typing import Protocol

    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.holder import DutyHolder
    from boragetiller.gateway.duties.usage_counter import UsageCounter
    from boragetiller.gateway.duty_interface import DutyApi, LeaseStore
    from boragetiller.gateway.platform_interface import Listing
    from boragetiller.tables.duties import Holding, LossReason
    from boragetiller.tables.store_writes import CommitResult, Transaction
    from boragetiller.tables.usage import ClosedWindow

    class PrefixReader(Protocol):
        """Lists entries of the platform's store."""

        async def list_prefix(self, prefix: str) -> Listing:
            """See :class:`boragetiller.gateway.platform_interface.StoreClient`."""
            ...


FLIGHT_MS = 500  # longest time until a call arrives: connecting and delivery
MAX_REPORTS_AT_ONCE = 4  # in one run; a successor has that many to send again


class UsageReporter:
    """The duty of usage reports."""

    def __init__(
        self,
        counter: UsageCounter,
        holder: DutyHolder,
        store: LeaseStore,
        reader: PrefixReader,
        api: DutyApi,
        clock: Clock,
        rng: Random,
    ) -> None:
        """
        Create the task of the duty.

        :param counter: counts of all routers
        :param holder: checks that the duty is held
        :param store: stores windows
        :param reader: lists the stored windows
        :param api: receives the reports
        :param clock: monotonic clock
        :param rng: seeded random generator
        """
        self._counter = counter
        self._holder = holder
        self._store = store
        self._reader = reader
        self._api = api
        self._clock = clock
        self._rng = rng
        self._reports = UsageReports()

    async def run_once(self, holding: Holding) -> None:
        """See :class:`boragetiller.gateway.duties.holder.DutyTask`."""
        if self._reports.loaded or await self._load():
            await self._store_next_window(holding)
        for _ in range(MAX_REPORTS_AT_ONCE):
            if not await self._send_next_report(holding):
                return

    async def on_lost(self, reason: LossReason) -> None:  # noqa: ARG002
        """See :class:`boragetiller.gateway.duties.holder.DutyTask`."""
        self._reports = UsageReports()

    async def _load(self) -> bool:
        try:
            listing = await self._reader.list_prefix(WINDOWS_PREFIX)
        except (StoreUnavailable, HistoryLost) as error:
            log_event(Event.USAGE_STORE_FAILED, window_no=None, call="list", reason=str(error))
            return False
        readable = []
        for item in listing.items:
            try:
                add_stored_window(UsageReports(), item)
                readable.append(item)
            except EntryUnreadable as error:
                log_event(Event.USAGE_STORE_FAILED, window_no=None, call="list", reason=str(error))
        load_windows(self._reports, readable)
        self._adopt_windows()
        return True

    async def _store_next_window(self, holding: Holding) -> None:
        self._counter.close_due_windows()
        window, lost = choose_window_to_store(
            self._reports,
            self._counter.windows,
            holding,
            self._counter.get_true_ms(),
            self._counter.now_ms(),
        )
        self._log_lost(lost)
        held = self._holder.get_valid(holding.duty, FLIGHT_MS)
        if window is None or held is None:
            return
        transaction = build_transaction(self._reports, window, held, self._counter.windows.settings)
        try:
            result = await self._store.commit(transaction)
        except (StoreUnavailable, HistoryLost) as error:
            # It may have been executed, now or later. The windows are listed again; if the window
            # is not among them yet, the next transaction fails where this one succeeds.
            self._reports.loaded = False
            log_event(
                Event.USAGE_STORE_FAILED,
                window_no=window.window_no,
                call="commit",
                reason=str(error),
            )
            return
        self._record_result(window, transaction, result)

    def _record_result(
        self, window: ClosedWindow, transaction: Transaction, result: CommitResult
    ) -> None:
        if result.status is CommitStatus.COMMITTED:
            record_stored(self._reports, window)
            record_removed(self._reports, transaction.removals)
            self._counter.usage_metrics.windows.labels("stored").inc()
            return
        key = build_key(window.window_no)
        for item in result.entries:
            if item.key == key and item.value is not None:
                try:
                    stored = add_stored_window(self._reports, item)
                except EntryUnreadable as error:
                    log_event(
                        Event.USAGE_STORE_FAILED,
                        window_no=window.window_no,
                        call="commit",
                        reason=str(error),
                    )
                    self._log_lost([skip_window(self._reports, window.window_no)])
                    return
                record_stored(self._reports, stored)
                self._adopt_windows()

    def _adopt_windows(self) -> None:
        for window in self._reports.stored.values():
            adopt_window(self._counter.windows, window)

    async def _send_next_report(self, holding: Holding) -> bool:
        """:return: whether a report was acknowledged, so that the next one may be sent"""
        true_ms = self._counter.get_true_ms()
        settings = self._counter.windows.settings
        window, lost = choose_report(
            self._reports, settings, true_ms, FLIGHT_MS, self._clock.now_ms()
        )
        self._log_lost(lost)
        if window is None:
            return False
        held = self._holder.get_valid(holding.duty, FLIGHT_MS)
        if held is None:
            return False
        report = UsageReport(window_no=window.window_no, counts=window.counts)
        attempts = self._reports.attempts[window.window_no]
        try:
            await self._api.send_usage(report, held)
        except (DutyApiBusy, DutyApiUnavailable) as error:
            delay_ms = record_failed(self._reports, self._clock.now_ms(), self._rng)
            self._counter.usage_metrics.windows.labels("repeated").inc()
            log_event(
                Event.USAGE_REPORT_REPEATED,
                window_no=window.window_no,
                attempts=attempts,
                token=held.token,
                reason=repr(error),
                delay_ms=delay_ms,
            )
            return False
        record_sent(self._reports, window.window_no)
        self._counter.usage_metrics.windows.labels("sent").inc()
        log_event(
            Event.USAGE_REPORT_SENT,
            window_no=window.window_no,
            requests=window.requests,
            attempts=attempts,
            token=held.token,
            after_ms=self._counter.get_true_ms() - settings.end_ms(window.window_no),
        )
        return True

    def _log_lost(self, lost: list[LostWindow]) -> None:
        for window in lost:
            self._counter.usage_metrics.windows.labels(window.reason).inc()
            log_event(Event.USAGE_WINDOW_LOST, window_no=window.window_no, reason=window.reason)


__all__ = ["UsageReporter"]
