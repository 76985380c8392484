"""An in-memory store with leases and transactions that injects faults, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.gateway.platform_interface import Listing
from boragetiller.store_eras import StoreEraTracker, extend_revision, get_era, get_store_revision
from boragetiller.systems.watch_limits import WATCH_MARGIN_MS
from boragetiller.tables.store_view import StoredItem
from boragetiller.tables.store_writes import CommitResult, CommitStatus, StoreLease, Transaction
from boragetiller.verdict import Verdict
from tests.virtual_time import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_MS = 4
TIMEOUT_MS = 500


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
        self.silent_watches = 0  # number of times that the waiting watches fell silent
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
        era, silences = get_era(after_revision), self.silent_watches
        await self._call("watch", lambda: None)
        while True:
            if self.silent_watches != silences:
                await sleep_ms(end_ms + WATCH_MARGIN_MS - VirtualClock().now_ms())
                raise StoreUnavailable("not answered")
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


__all__ = ["DutyStore", "StoreLink", "sleep_ms"]
