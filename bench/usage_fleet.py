"""Usage reports in virtual time, with a store, an API, clocks and links that can fail."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

from boragetiller.clock import ManualClock
from boragetiller.errors import DutyApiBusy, DutyApiUnavailable, StoreUnavailable
from boragetiller.gateway.duties.usage_counter import UsageCounter
from boragetiller.gateway.duties.usage_reporter import UsageReporter
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.platform_interface import Listing
from boragetiller.tables.direct_attempts import CallProgress
from boragetiller.tables.duties import Duty, DutyKind, Holding, LossReason
from boragetiller.tables.store_view import StoredItem
from boragetiller.tables.store_writes import CommitResult, CommitStatus, ExpectedRevision
from boragetiller.tables.usage import RouterStart, UsageCursor, UsageSettings, UsageWindows

SETTINGS = UsageSettings(window_ms=5_000, late_ms=10_000)
EPOCH_MS = 1_800_000_000_000  # a multiple of the window
STEP_MS = 20
DELAY_MS = 60  # of a report to a peer
DUTY = Duty(DutyKind.USAGE_REPORT)
TOKEN_KEY = "boragetiller/duties/token"


class FakeStore:
    """Transactions on keys, with calls that fail and answers that are lost."""

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.is_down = False
        self.lost_answers = 0  # of the next transactions, which are executed

    def put(self, key: str, value: bytes) -> StoredItem:
        self.revision += 1
        self.items[key] = StoredItem(key, value, self.revision)
        return self.items[key]

    async def list_prefix(self, prefix: str) -> Listing:
        if self.is_down:
            raise StoreUnavailable("down")
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Listing(items=found, revision=self.revision)

    async def get_key(self, key: str) -> Listing:
        return await self.list_prefix(key)

    async def commit(self, transaction: Any) -> CommitResult:
        if self.is_down:
            raise StoreUnavailable("down")
        for expected in transaction.expected:
            item = self.items.get(expected.key)
            if (item.revision if item else 0) != expected.revision:
                found = [self.items.get(each.key) for each in transaction.expected]
                entries = tuple(each for each in found if each is not None)
                return CommitResult(status=CommitStatus.CONFLICT, entries=entries)
        for write in transaction.writes:
            self.put(write.key, write.value)
        for key in transaction.removals:
            del self.items[key]
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnavailable("no answer")
        return CommitResult(status=CommitStatus.COMMITTED, revision=self.revision)


class FakeApi:
    """The platform's API: takes the first report of a window, refuses or loses calls on demand."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.reports: dict[int, dict[str, int]] = {}
        self.received_ms: dict[int, int] = {}
        self.conflicts: list[int] = []  # windows that were reported with different counts
        self.calls = 0
        self.repeats = 0  # of reports that had arrived
        self.mode = "ok"

    async def send_usage(self, report: Any, _holding: Holding) -> None:
        self.calls += 1
        if self.mode == "busy":
            raise DutyApiBusy
        if self.mode == "silent":
            raise DutyApiUnavailable("timeout")
        counts = dict(report.counts)
        if self.reports.setdefault(report.window_no, counts) != counts:
            self.conflicts.append(report.window_no)
        self.repeats += report.window_no in self.received_ms
        self.received_ms.setdefault(report.window_no, self.clock.now_ms())
        if self.mode == "lost":
            raise DutyApiUnavailable("connection reset")


class WallClock:
    """Wall clock of one router, which may be wrong."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.error_ms = 0

    def now_ms(self) -> int:
        return EPOCH_MS + self.clock.now_ms() + self.error_ms


class Router:
    """The parts of a router that usage reports need."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        now_ms = fleet.clock.now_ms()
        self.name = name
        self.wall = WallClock(fleet.clock)
        start = RouterStart(name, self.wall.now_ms() * 1_000)
        windows = UsageWindows(own=start, started_ms=now_ms, settings=SETTINGS)
        self.counter = UsageCounter(windows, fleet.clock, GatewayMetrics(), self.wall)
        self.metrics = self.counter.usage_metrics
        self.holding: Holding | None = None
        self.reporter = UsageReporter(
            self.counter,
            self,
            fleet.store,
            fleet.store,
            fleet.api,
            fleet.clock,
            random.Random(name),
        )
        self.cursor = UsageCursor()
        self.is_running = True

    def get_valid(self, _duty: Duty, _flight_ms: int) -> Holding | None:
        return self.holding

    def serve(self, customer: str, progress: CallProgress | None = None) -> None:
        call: Any = SimpleNamespace(customer=SimpleNamespace(name=customer))
        self.counter.record_begin(call, progress or CallProgress(repeatable=True, max_servers=2))


class Fleet:
    """Routers with full connections, advanced in steps of virtual time."""

    def __init__(self, names: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.clock = ManualClock()
        self.store = FakeStore()
        self.api = FakeApi(self.clock)
        self.rng = random.Random(7)
        self.truth: dict[int, Counter[str]] = {}
        self.rates_per_s = {"large": 40.0, "small": 0.6}
        self.cut: set[str] = set()  # names of routers whose reports do not arrive
        self._messages: list[tuple[int, str, str, Any]] = []
        self._tokens = 0
        self.routers: dict[str, Router] = {}
        for name in names:
            self.add(name)
        self.elect(names[0])

    def add(self, name: str) -> Router:
        """Start a router; it and the others report their whole state to each other first."""
        router = self.routers[name] = Router(self, name)
        for other in self.routers.values():
            if other is not router and other.is_running:
                for sender, receiver in ((router, other), (other, router)):
                    entries = sender.counter.build_entries(UsageCursor())
                    self._messages.append(
                        (self.clock.now_ms() + DELAY_MS, sender.name, receiver.name, entries)
                    )
        return router

    def elect(self, name: str) -> None:
        """Move the duty to a router."""
        for router in self.routers.values():
            if router.holding is not None:
                router.holding = None
                asyncio.run(router.reporter.on_lost(LossReason.EXPIRED))
        self._tokens += 1
        item = self.store.put(TOKEN_KEY, str(self._tokens).encode())
        self.routers[name].holding = Holding(
            duty=DUTY,
            token=1 << 32 | self._tokens,
            holder=name,
            valid_until_ms=0,
            era=1,
            condition=ExpectedRevision(TOKEN_KEY, item.revision),
        )

    def kill(self, name: str) -> None:
        """End a router without any last report."""
        self.routers[name].is_running = False
        for router in self.routers.values():
            router.counter.remove_peer(name)

    def stop(self, name: str) -> None:
        """End a router in order."""
        self.routers[name].counter._stopping = True
        self._send_reports(self.routers[name])
        self.kill(name)

    def heal(self) -> None:
        """Connect routers again that were cut off; they report their whole state."""
        for name in self.cut:
            self.routers[name].cursor = UsageCursor()
        self.cut.clear()

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        for _ in range(round(seconds * 1_000 / STEP_MS)):
            self._step()

    def run_to(self, window_no: int, offset_ms: int) -> None:
        """Advance to an offset from the start of a window."""
        while self.clock.now_ms() < window_no * SETTINGS.window_ms + offset_ms:
            self._step()

    def _step(self) -> None:
        self.clock.advance(STEP_MS)
        now_ms = self.clock.now_ms()
        self._serve(now_ms)
        due = [message for message in self._messages if message[0] <= now_ms]
        self._messages = [message for message in self._messages if message[0] > now_ms]
        for _, sender, receiver, entries in due:
            if self.routers[receiver].is_running:
                self.routers[receiver].counter.apply_entries(sender, entries)
        for router in self.routers.values():
            if not router.is_running:
                continue
            router.counter.close_due_windows()
            if now_ms % 100 == 0:
                self._send_reports(router)
            if now_ms % 200 == 0 and router.holding is not None:
                asyncio.run(router.reporter.run_once(router.holding))

    def _serve(self, now_ms: int) -> None:
        running = [router for router in self.routers.values() if router.is_running]
        for customer, rate_per_s in self.rates_per_s.items():
            if self.rng.random() < rate_per_s * STEP_MS / 1_000:
                self.rng.choice(running).serve(customer)
                self.truth.setdefault(now_ms // SETTINGS.window_ms, Counter())[customer] += 1

    def _send_reports(self, router: Router) -> None:
        entries = router.counter.build_entries(router.cursor)
        if not entries or router.name in self.cut:
            return
        for other in self.routers.values():
            if other is not router:
                due_ms = self.clock.now_ms() + DELAY_MS
                self._messages.append((due_ms, router.name, other.name, entries))

    def reported(self, window_no: int) -> dict[str, int] | None:
        """:return: counts that the platform has, by number of the window since the start"""
        return self.api.reports.get(window_no + EPOCH_MS // SETTINGS.window_ms)

    def received_after_ms(self, window_no: int) -> int:
        """:return: time from the end of a window to its report in milliseconds"""
        received_ms = self.api.received_ms[window_no + EPOCH_MS // SETTINGS.window_ms]
        return received_ms - (window_no + 1) * SETTINGS.window_ms


__all__ = ["EPOCH_MS", "SETTINGS", "TOKEN_KEY", "FakeStore", "Fleet"]
