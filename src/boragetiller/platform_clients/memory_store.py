"""In-memory store with fault injection, for tests and the stand-in of the platform."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import HistoryLost, RevisionConflict, StoreUnavailable, ValueTooLarge
from boragetiller.platform_clients.faults import CallKind, StoreFaults
from boragetiller.platform_clients.memory_hosts import MemoryHostList
from boragetiller.platform_clients.memory_weights import MemoryWeightStore
from boragetiller.platform_clients.store import Entry, Lease
from boragetiller.store_eras import FIRST_ERA, extend_revision, get_era, get_store_revision

if TYPE_CHECKING:
    import builtins
    from collections.abc import AsyncIterator

    from boragetiller.clock import Clock

MAX_VALUE_BYTES = 1_048_576
MAX_CHANGE_LOG_ENTRIES = 10_000
DELETED_VALUE = b""


@attrs.define
class _HeldLease:
    lease: Lease
    expires_ms: int


@attrs.frozen
class StoreCopy:
    """Entries, leases and history of a store at one moment; revisions are the store's own."""

    revision: int
    entries: dict[str, Entry]
    leases: dict[str, _HeldLease]
    change_log: tuple[Entry, ...]


class MemoryStore:
    """In-memory implementation of :class:`boragetiller.platform_clients.store.Store`."""

    def __init__(self, clock: Clock, faults: StoreFaults | None = None) -> None:
        """
        Create an empty store.

        :param clock: time for the expiry of leases
        :param faults: initial faults, none by default
        """
        self.faults = faults or StoreFaults()
        self.counts: Counter[CallKind] = Counter()
        self._clock = clock
        self._era = FIRST_ERA
        self._revision = 0  # counted by the store itself, as all revisions inside of it
        self._entries: dict[str, Entry] = {}
        self._stale_entries: dict[str, Entry] = {}
        self._change_log: list[Entry] = []
        self._change_log_limit = MAX_CHANGE_LOG_ENTRIES
        self._leases: dict[str, _HeldLease] = {}
        self._change_event = asyncio.Event()

    def inject_faults(self, **changes: Any) -> None:
        """
        Change some of the faults; an outage ends open watches at once.

        :param changes: fields of :class:`StoreFaults` and their new values
        """
        if changes.get("stale_reads") and not self.faults.stale_reads:
            self._stale_entries = dict(self._entries)
        self.faults = attrs.evolve(self.faults, **changes)
        self._notify_watches()

    def drop_next_reply(self) -> None:
        """Let one more write take effect without a reply."""
        self.inject_faults(lose_replies=self.faults.lose_replies + 1)

    def copy(self) -> StoreCopy:
        """:return: copy of the present state, for :meth:`restore`"""
        leases = {name: attrs.evolve(held) for name, held in self._leases.items()}
        return StoreCopy(self._revision, dict(self._entries), leases, tuple(self._change_log))

    def restore(self, copy: StoreCopy) -> None:
        """
        Lose all that changed since a copy, leases too, end all watches, and begin the next era.

        :param copy: the state to return to
        """
        self._revision, self._entries = copy.revision, dict(copy.entries)
        self._leases = {name: attrs.evolve(held) for name, held in copy.leases.items()}
        self._change_log = list(copy.change_log)
        self._era += 1
        self._notify_watches()

    @property
    def era(self) -> int:
        """See :class:`Store`."""
        return self._era

    @property
    def revision(self) -> int:
        """:return: extended revision of the newest change or lease"""
        return extend_revision(self._era, self._revision)

    async def get(self, key: str) -> Entry | None:
        """See :class:`Store`."""
        await self._begin_call(CallKind.GET)
        entry = self._get_readable_entries().get(key)
        return None if entry is None else self._extend_entry(entry)

    async def list(self, prefix: str) -> builtins.list[Entry]:
        """See :class:`Store`."""
        await self._begin_call(CallKind.LIST)
        entries = self._get_readable_entries()
        found = [entries[key] for key in sorted(entries) if key.startswith(prefix)]
        return [self._extend_entry(entry) for entry in found]

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """See :class:`Store`."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{key}: {len(value)} bytes, at most {MAX_VALUE_BYTES}")
        await self._begin_write_call(CallKind.PUT)
        self._check_revision(key, expected_revision)
        entry = self._append_change(key, value)
        self._entries[key] = entry
        self._end_write_call()
        return self._extend_entry(entry).revision

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """See :class:`Store`."""
        await self._begin_write_call(CallKind.DELETE)
        self._check_revision(key, expected_revision)
        if self._entries.pop(key, None) is not None:
            self._append_change(key, DELETED_VALUE)
        self._end_write_call()

    async def watch(self, prefix: str, *, after_revision: int) -> AsyncIterator[Entry]:
        """See :class:`Store`; a deletion is sent as an entry with an empty value."""
        await self._begin_call(CallKind.WATCH)
        era, position_revision = self._era, get_store_revision(after_revision)
        if position_revision and (
            get_era(after_revision) != era or position_revision > self._revision
        ):
            raise HistoryLost
        while True:
            changed = self._change_event
            if self._era != era:
                raise StoreUnavailable("the watch was interrupted by a restore")
            for entry in self._list_pending_changes(prefix, position_revision):
                position_revision = max(position_revision, entry.revision)
                yield self._extend_entry(entry)
                if self.faults.watch_end:
                    return
            if self.faults.outage:
                raise StoreUnavailable("the watch was interrupted by an outage")
            await changed.wait()

    async def acquire_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """See :class:`Store`."""
        await self._begin_write_call(CallKind.ACQUIRE_LEASE)
        held = self._find_unexpired_lease(name)
        if held is not None and held.lease.holder != holder:
            self._end_write_call()
            return None
        self._revision += 1
        token = extend_revision(self._era, self._revision)
        lease = Lease(name=name, holder=holder, token=token, ttl_ms=ttl_ms)
        self._leases[name] = _HeldLease(lease, self._clock.now_ms() + ttl_ms)
        self._end_write_call()
        return lease

    async def renew_lease(self, lease: Lease) -> bool:
        """See :class:`Store`."""
        await self._begin_write_call(CallKind.RENEW_LEASE)
        held = self._find_unexpired_lease(lease.name)
        renewed = held is not None and _is_same_lease(held.lease, lease)
        if held is not None and renewed:
            held.expires_ms = self._clock.now_ms() + lease.ttl_ms
        self._end_write_call()
        return renewed

    async def release_lease(self, lease: Lease) -> None:
        """See :class:`Store`."""
        await self._begin_write_call(CallKind.RELEASE_LEASE)
        held = self._leases.get(lease.name)
        if held is not None and _is_same_lease(held.lease, lease):
            del self._leases[lease.name]
        self._end_write_call()

    async def start(self) -> None:
        """Do nothing; the store needs no connections."""

    async def close(self) -> None:
        """Do nothing; other clients may still use this object."""

    async def _begin_call(self, kind: CallKind) -> None:
        self.counts[kind] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1_000)
        if self.faults.outage:
            raise StoreUnavailable

    async def _begin_write_call(self, kind: CallKind) -> None:
        await self._begin_call(kind)
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            raise StoreUnavailable("injected fault: request lost")

    def _end_write_call(self) -> None:
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            raise StoreUnavailable("injected fault: reply lost")

    def _get_readable_entries(self) -> dict[str, Entry]:
        return self._stale_entries if self.faults.stale_reads else self._entries

    def _check_revision(self, key: str, expected_revision: int) -> None:
        entry = self._entries.get(key)
        revision = entry.revision if entry else 0
        same_era = get_era(expected_revision) == self._era or not get_store_revision(
            expected_revision
        )
        if revision != get_store_revision(expected_revision) or not same_era:
            stored = extend_revision(self._era, revision)
            raise RevisionConflict(f"{key}: expected {expected_revision}, stored {stored}")

    def _extend_entry(self, entry: Entry) -> Entry:
        return attrs.evolve(entry, revision=extend_revision(self._era, entry.revision))

    def _append_change(self, key: str, value: bytes) -> Entry:
        self._revision += 1
        entry = Entry(key, value, self._revision)
        self._change_log.append(entry)
        if len(self._change_log) > self._change_log_limit:
            self._compact_change_log()
        self._notify_watches()
        return entry

    def _compact_change_log(self) -> None:
        newest = {entry.key: entry for entry in self._change_log}
        self._change_log = sorted(newest.values(), key=lambda entry: entry.revision)
        self._change_log_limit = max(MAX_CHANGE_LOG_ENTRIES, 2 * len(self._change_log))

    def _list_pending_changes(self, prefix: str, after_revision: int) -> builtins.list[Entry]:
        start = bisect_right(self._change_log, after_revision, key=lambda entry: entry.revision)
        entries = [entry for entry in self._change_log[start:] if entry.key.startswith(prefix)]
        if self.faults.watch_skip:
            newest = {entry.key: entry for entry in entries}
            entries = sorted(newest.values(), key=lambda entry: entry.revision)
        if self.faults.watch_repeat:
            entries = [entry for entry in entries for _ in range(2)]
        return entries

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _find_unexpired_lease(self, name: str) -> _HeldLease | None:
        held = self._leases.get(name)
        if held is None or held.expires_ms <= self._clock.now_ms():
            return None
        return held


def _is_same_lease(held: Lease, lease: Lease) -> bool:
    return (held.holder, held.token) == (lease.holder, lease.token)


__all__ = [
    "DELETED_VALUE",
    "MAX_VALUE_BYTES",
    "MemoryHostList",
    "MemoryStore",
    "MemoryWeightStore",
    "StoreCopy",
]
