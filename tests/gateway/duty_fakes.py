"""Routers with duties in virtual time, with an in-memory store and API that inject faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.gateway.duties.holder import DutyHolder
from boragetiller.gateway.duties.metrics import DutyMetrics
from boragetiller.gateway.duties.settings import DutySettings
from boragetiller.gateway.endpoint import Endpoint
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.platform_interface import Listing
from boragetiller.store_eras import StoreEraTracker, extend_revision, get_era, get_store_revision
from boragetiller.systems.duties.validity import FLIGHT_MS
from boragetiller.tables.duties import Duty, DutyKind, Holding, LossReason
from boragetiller.tables.known_routers import KnownRouters
from boragetiller.tables.store_view import StoredItem
from boragetiller.tables.store_writes import CommitResult, CommitStatus, StoreLease, Transaction
from boragetiller.verdict import Verdict
from tests.virtual_time import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_MS = 4
TIMEOUT_MS = 500
USAGE = Duty(DutyKind.USAGE_REPORT)
SETTINGS = DutySettings(
    api=Endpoint("127.0.0.1", 1),
    kinds=(DutyKind.USAGE_REPORT,),
    calls_per_s=50.0,
    lease_ms=3_000,
    thaw_slack_ms=300,
    window_ms=5_000,
    usage_tolerance=0.05,
    usage_late_ms=10_000,
)


async def sleep_ms(wait_ms: float) -> None:
    """:param wait_ms: virtual time to wait, in milliseconds"""
    await asyncio.sleep(wait_ms / 1_000)


class DutyStore:
    """State of the store: keys, leases, era; each router has a link to it."""

    def __init__(self) -> None:
        """Create an empty store in its first era."""
        self.items: dict[str, tuple[bytes, int, int]] = {}  # value, revision, lease
        self.history: list[tuple[str, bytes | None, int]] = []
        self.revision, self.era, self.next_lease = 1, 1, 1
        self.expiry_ms: dict[int, int] = {}  # of the leases
        self.down = False
        self.pauses_leases = False
        self.changed = asyncio.Event()
        self.down_since_ms = 0

    def set_down(self, down: bool) -> None:
        """:param down: whether calls fail without being executed"""
        now_ms = VirtualClock().now_ms()
        if down:
            self.down_since_ms = now_ms
        elif self.down and self.pauses_leases:
            pause_ms = now_ms - self.down_since_ms
            self.expiry_ms = {key: end + pause_ms for key, end in self.expiry_ms.items()}
        self.down = down
        self._wake()

    def copy(self) -> tuple[Any, ...]:
        """:return: copy of keys and history"""
        return dict(self.items), list(self.history), self.revision

    def restore(self, copy: tuple[Any, ...]) -> None:
        """Return to a copy, lose all leases and begin the next era."""
        items, history, self.revision = copy
        self.items = {key: item for key, item in items.items() if not item[2]}
        self.history, self.expiry_ms = list(history), {}
        self.era += 1
        self._wake()

    def expire(self) -> None:
        """End the leases whose time is over."""
        now_ms = VirtualClock().now_ms()
        if self.down:
            return
        for lease in [key for key, end in self.expiry_ms.items() if end <= now_ms]:
            del self.expiry_ms[lease]
            for key in [key for key, item in self.items.items() if item[2] == lease]:
                self.remove(key)

    def remove(self, key: str) -> None:
        """:param key: key to remove"""
        if key in self.items:
            del self.items[key]
            self._append(key, None)

    def commit(self, transaction: Transaction) -> tuple[CommitStatus, int]:
        """:return: result of a transaction, and its revision"""
        self.expire()
        for condition in transaction.expected:
            present = self.items[condition.key][1] if condition.key in self.items else 0
            if present != get_store_revision(condition.revision):
                return CommitStatus.CONFLICT, 0
        if any(
            write.lease_id and write.lease_id not in self.expiry_ms for write in transaction.writes
        ):
            return CommitStatus.LEASE_ENDED, 0
        for key in transaction.removals:
            self.remove(key)
        revision = self.revision + 1
        for write in transaction.writes:
            self.items[write.key] = (write.value, revision, write.lease_id)
            self.history.append((write.key, write.value, revision))
        self.revision = revision
        self._wake()
        return CommitStatus.COMMITTED, revision

    def _append(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self.history.append((key, value, self.revision))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class StoreLink:
    """Implements LeaseStore for one router, with faults of its link and freezes of its host."""

    def __init__(self, store: DutyStore) -> None:
        """:param store: the store"""
        self.eras = StoreEraTracker()
        self.running = asyncio.Event()  # cleared while the host is frozen
        self.running.set()
        self.cut = False
        self.lose: list[str] = []  # calls whose next answer is lost
        self.late_ms = 0  # the next lost transaction is executed only after this time
        self.calls: Counter[str] = Counter()
        self._store = store

    async def grant_lease(self, ttl_ms: int) -> StoreLease:
        """See :class:`LeaseStore`."""
        return await self._call("grant", lambda: self._grant(ttl_ms))

    async def renew_lease(self, lease: StoreLease) -> StoreLease | None:
        """See :class:`LeaseStore`."""
        return await self._call("renew", lambda: self._renew(lease))

    async def end_lease(self, lease: StoreLease) -> None:
        """See :class:`LeaseStore`."""
        raise NotImplementedError

    async def commit(self, transaction: Transaction) -> CommitResult:
        """See :class:`LeaseStore`."""
        if transaction.era != self.eras.era:
            raise HistoryLost
        execute = lambda: self._store.commit(transaction)  # noqa: E731
        status, revision = await self._call("commit", execute)
        if transaction.era != self.eras.era:
            raise HistoryLost
        return CommitResult(status=status, revision=self._extend(revision))

    async def get_key(self, key: str) -> Listing:
        """See :class:`LeaseStore`."""
        return await self._call("read", lambda: self._read(key))

    async def watch_prefix(self, prefix: str, after_revision: int, wait_ms: int) -> Listing:
        """See :class:`LeaseStore`."""
        end_ms = VirtualClock().now_ms() + wait_ms
        era = get_era(after_revision)
        await self._call("watch", lambda: None)
        while True:
            if self.cut or self._store.down:
                raise StoreUnavailable("connection lost")
            if self.eras.observe(str(self._store.era)) != era:
                raise HistoryLost
            self._store.expire()
            after = get_store_revision(after_revision)
            found = [
                StoredItem(key, value, self._extend(revision))
                for key, value, revision in self._store.history
                if key.startswith(prefix) and revision > after
            ]
            now_ms = VirtualClock().now_ms()
            if found or now_ms >= end_ms:
                await self.running.wait()
                return Listing(items=found, revision=self._extend(self._store.revision))
            expiry = [end_ms, *(end for end in self._store.expiry_ms.values() if end > now_ms)]
            changed = asyncio.ensure_future(self._store.changed.wait())
            await asyncio.wait([changed], timeout=(min(expiry) - now_ms) / 1_000 + 0.001)
            changed.cancel()

    async def _call(self, name: str, execute: Callable[[], Any]) -> Any:
        self.calls[name] += 1
        await self.running.wait()
        await sleep_ms(CALL_MS / 2)
        if self._store.down or self.cut:
            await sleep_ms(TIMEOUT_MS)
            verdict = Verdict.NOT_RUN if self._store.down else None
            raise StoreUnavailable("down", verdict=verdict)
        if name in self.lose:
            self.lose.remove(name)
            asyncio.get_running_loop().call_later(self.late_ms / 1_000, execute)
            self.late_ms = 0
            await sleep_ms(TIMEOUT_MS)
            await self.running.wait()
            raise StoreUnavailable("answer lost")
        result, era = execute(), self._store.era
        await sleep_ms(CALL_MS / 2)
        await self.running.wait()
        self.eras.observe(str(era))
        return result

    def _grant(self, ttl_ms: int) -> StoreLease:
        lease, self._store.next_lease = self._store.next_lease, self._store.next_lease + 1
        self._store.expiry_ms[lease] = VirtualClock().now_ms() + ttl_ms
        return StoreLease(lease_id=lease, ttl_ms=ttl_ms, era=self._store.era)

    def _renew(self, lease: StoreLease) -> StoreLease | None:
        self._store.expire()
        if lease.lease_id not in self._store.expiry_ms or lease.era != self._store.era:
            return None
        self._store.expiry_ms[lease.lease_id] = VirtualClock().now_ms() + lease.ttl_ms
        return lease

    def _read(self, key: str) -> Listing:
        self._store.expire()
        revision = extend_revision(self._store.era, self._store.revision)
        if key not in self._store.items:
            return Listing(items=[], revision=revision)
        value, item_revision, _ = self._store.items[key]
        item = StoredItem(key, value, extend_revision(self._store.era, item_revision))
        return Listing(items=[item], revision=revision)

    def _extend(self, revision: int) -> int:
        return extend_revision(self._store.era, revision)


@attrs.frozen
class Arrival:
    """A call that arrived at the API."""

    at_ms: int
    holder: str
    token: int


class DutyRouter:
    """A router that holds duties; its task calls the API in each run."""

    def __init__(self, name: str, fleet: DutyFleet) -> None:
        """Start a process of the router."""
        self.name = name
        self.link = StoreLink(fleet.store)
        self.link.eras.observe(str(fleet.store.era))  # as the watches of the configuration do
        metrics = GatewayMetrics()
        self.holder = DutyHolder(
            name,
            SETTINGS,
            self.link,
            lambda: fleet.views.get(name, KnownRouters(own=name, known=fleet.known)),
            VirtualClock(),
            metrics,
            DutyMetrics(metrics.registry),
        )
        self.lost: list[LossReason] = []
        self._fleet = fleet
        self.holder.register(USAGE, self)

    async def run_once(self, holding: Holding) -> None:
        """See :class:`DutyTask`."""
        await self.link.running.wait()
        valid = self.holder.get_valid(USAGE, FLIGHT_MS)
        if valid is None:
            return
        assert valid.token == holding.token
        loop, flight_ms = asyncio.get_running_loop(), self._fleet.get_flight_ms(self.name)
        loop.call_later(flight_ms / 1_000, self._fleet.arrive, self.name, valid.token)
        await sleep_ms(flight_ms)

    async def on_lost(self, reason: LossReason) -> None:
        """See :class:`DutyTask`."""
        self.lost.append(reason)


class DutyFleet:
    """Several routers, one store, and the calls that arrived at the API."""

    def __init__(self, names: tuple[str, ...], seed: int = 1) -> None:
        """Create the fleet; routers are started by :meth:`start`."""
        self.store = DutyStore()
        self.known = frozenset(names)
        self.views: dict[str, KnownRouters] = {}
        self.routers: dict[str, DutyRouter] = {}
        self.arrivals: list[Arrival] = []
        self.flights_ms: dict[str, int] = {}  # of the calls of a router, random for others
        self.rng = Random(seed)

    def get_flight_ms(self, name: str) -> int:
        """:return: time until the next call of a router arrives"""
        return self.flights_ms.get(name, self.rng.randrange(FLIGHT_MS))

    async def start(self, *names: str) -> None:
        """:param names: routers to start, all without any"""
        for name in names or sorted(self.known):
            self.routers[name] = DutyRouter(name, self)
            await self.routers[name].holder.start()

    async def kill(self, *names: str) -> None:
        """:param names: routers to end at once, all without any"""
        for name in names or tuple(self.routers):
            await self.routers.pop(name).holder.abort()

    async def find_holder(self, timeout_ms: int = 10_000) -> DutyRouter:
        """:return: the router that holds the duty, as soon as there is one"""
        for _ in range(timeout_ms // 10):
            for router in self.routers.values():
                if router.holder.get_valid(USAGE, 0) is not None:
                    return router
            await sleep_ms(10)
        raise AssertionError("no router holds the duty")

    def arrive(self, holder: str, token: int) -> None:
        """Record a call that arrives."""
        self.arrivals.append(Arrival(VirtualClock().now_ms(), holder, token))

    def find_violations(self) -> list[str]:
        """:return: how the calls that arrived break the contract"""
        found = []
        holders: dict[int, str] = {}
        last_ms: dict[str, int] = {}
        previous: Arrival | None = None
        for arrival in self.arrivals:
            if holders.setdefault(arrival.token, arrival.holder) != arrival.holder:
                found.append(f"two holders with one token: {arrival}")
            if previous is not None and arrival.token < previous.token:
                found.append(f"lower token: {arrival} after {previous}")
            came_back = previous is not None and previous.holder != arrival.holder
            since_ms = arrival.at_ms - last_ms.get(arrival.holder, -SETTINGS.lease_ms)
            if came_back and since_ms < SETTINGS.lease_ms:
                found.append(f"returned after {since_ms} ms: {arrival}")
            last_ms[arrival.holder] = arrival.at_ms
            previous = arrival
        return found


__all__ = ["FLIGHT_MS", "SETTINGS", "USAGE", "DutyFleet", "DutyRouter", "sleep_ms"]
