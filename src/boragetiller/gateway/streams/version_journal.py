"""
Store entries from which any router learns which software version began a stream.

While several versions serve a group, each router writes the version of each of its streams to the
store once the stream has begun, many in one transaction, under leases that end after the streams
have. The version is a part of the key, so that a record holds at any time, whenever the store
executes its write and whatever other records of the stream there are.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.gateway.streams.group_entries import GroupEntries
from boragetiller.hashing import stable_hash
from boragetiller.systems.stream_resumption import StoredVersions
from boragetiller.tables.store_writes import (
    CommitStatus,
    KeyWrite,
    StoreLease,
    Transaction,
)
from boragetiller.tables.stream_versions import (
    MAX_REQUEST_ID_CHARS,
    STREAM_LIFETIME_MS,
    StreamOrigin,
)
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duty_interface import RecordStore
    from boragetiller.systems.list_coverage import ListCoverage

STREAMS_PREFIX = "boragetiller/streams/"
MAX_TRANSACTION_WRITES = 32
MAX_PENDING = 4_096  # streams that begin in a few seconds; the oldest are dropped
CHECK_INTERVAL_MS = 500  # for versions that have not served for STREAM_LIFETIME_MS
MIN_WRITE_INTERVAL_MS = 50  # between two transactions of a router
WRITE_MS_PER_ROUTER = 5  # 200 transactions a second of a large fleet, half of a small store's rate
LATE_RECORD_MS = 1_000  # in which a caller whose stream broke is likely to take it up again
MAX_LOGGED_STREAMS = 20
RETRY_MS = 400
READ_TIMEOUT_MS = 1_000  # without the answer the stream is refused


@attrs.frozen
class PendingRecord:
    """Record of a stream that is still to be written."""

    origin: StreamOrigin
    noted_ms: int  # monotonic time


class VersionJournal:
    """Writes the versions of groups and streams, and reads those that other routers wrote."""

    def __init__(
        self,
        own_name: str,
        registry: BackendRegistry,
        coverage: ListCoverage,
        store: RecordStore,
        clock: Clock,
    ) -> None:
        """
        Create the journal; it writes nothing until it runs.

        :param own_name: name of this process
        :param registry: backend servers, with the versions and streams that this router knows
        :param coverage: tells for how long this router has followed the list of servers
        :param store: the platform's store
        :param clock: monotonic clock
        """
        self._registry = registry
        self._store = store
        self._clock = clock
        self._groups = GroupEntries(own_name, registry, coverage, store, clock)
        self._pending: dict[str, PendingRecord] = {}
        self._due = asyncio.Event()
        self._mixed_groups: set[str] = set()
        self._era = store.eras.era
        self._lease: StoreLease | None = None
        self._lease_granted_ms = 0
        registry.on_servers_changed = self._due.set

    def note(self, request_id: str, origin: StreamOrigin) -> None:
        """
        Write the version of a stream that has begun.

        :param request_id: request of the caller that brought its first event
        :param origin: group and software version
        """
        if len(request_id) > MAX_REQUEST_ID_CHARS:
            return
        if len(self._pending) >= MAX_PENDING:
            oldest = next(iter(self._pending))
            self._log_late({oldest: self._pending.pop(oldest)}, stored=False)
        self._pending[request_id] = PendingRecord(origin, self._clock.now_ms())
        self._due.set()

    async def run(self) -> None:
        """Write what is due, until cancelled; what fails is tried again."""
        while True:
            with suppress(TimeoutError):
                await wait_with_timeout(CHECK_INTERVAL_MS / 1_000, self._due.wait())
            self._due.clear()
            if self._store.eras.era != self._era:
                self._start_again()
            has_written = False
            try:
                for group in self._list_resumable_groups():
                    await self._update_group(group)
                has_written = await self._write_streams()
            except HistoryLost:
                self._start_again()
            except StoreUnavailable:
                await asyncio.sleep(RETRY_MS / 1_000)
                self._due.set()
                continue
            if has_written:  # otherwise the next stream that begins is recorded at once
                routers = len(self._registry.server_limits.membership.members)
                interval_ms = max(MIN_WRITE_INTERVAL_MS, WRITE_MS_PER_ROUTER * routers)
                await asyncio.sleep(interval_ms / 1_000)

    async def read(self, group: str, request_id: str | None) -> StoredVersions | None:
        """
        Read what the store has of a stream that this router does not know.

        :param group: name of the backend group
        :param request_id: request of the caller that brought its first event, None if not known
        :return: its version, or else the versions of the group; None if the store cannot be read
        """
        try:
            return await wait_with_timeout(
                READ_TIMEOUT_MS / 1_000, self._read_versions(group, request_id)
            )
        except (StoreUnavailable, HistoryLost, TimeoutError):
            return None

    def _list_resumable_groups(self) -> set[str]:
        """:return: names of the groups with streams that callers may take up again"""
        config = self._registry.config
        routes = config.routes if config is not None else ()
        weighted = [route.weighted_groups for route in routes if route.resumable]
        return {each.group for groups in weighted for each in groups}

    async def _read_versions(self, group: str, request_id: str | None) -> StoredVersions:
        if request_id is None:
            return StoredVersions(frozenset(), frozenset((await self._groups.read(group)).marks))
        key = build_stream_key(group, request_id)
        if len(self._registry.group_versions.list_known(group)) > 1:  # a record is likely
            listing, entry = await self._store.list_prefix(key), None
        else:
            listing, entry = await asyncio.gather(
                self._store.list_prefix(key), self._groups.read(group)
            )
        if listing.items:
            found = {(item.value or b"").decode("utf-8", "replace") for item in listing.items}
            return StoredVersions(frozenset(found), frozenset())
        entry = entry or await self._groups.read(group)
        return StoredVersions(frozenset(), frozenset(entry.marks))

    async def _update_group(self, group: str) -> None:
        if len(self._registry.group_versions.list_known(group)) <= 1:
            self._mixed_groups.discard(group)
        elif group not in self._mixed_groups:
            self._mixed_groups.add(group)
            self._note_streams(group)
        if not await self._groups.update(group):
            self._due.set()

    async def _write_streams(self) -> bool:
        """:return: whether there was anything to write"""
        has_written = False
        while self._pending:
            has_written = True
            lease = await self._get_lease()
            batch = dict(list(self._pending.items())[:MAX_TRANSACTION_WRITES])
            writes = tuple(
                KeyWrite(
                    _build_record_key(request_id, record.origin),
                    record.origin.version.encode(),
                    lease.lease_id,
                )
                for request_id, record in batch.items()
            )
            result = await self._store.commit(
                Transaction(era=lease.era, expected=(), writes=writes)
            )
            if result.status is not CommitStatus.COMMITTED:
                self._lease = None
                self._due.set()
                break
            for request_id, record in batch.items():
                if self._pending.get(request_id) is record:
                    del self._pending[request_id]
            now_ms = self._clock.now_ms()
            late = {
                request_id: record
                for request_id, record in batch.items()
                if now_ms - record.noted_ms >= LATE_RECORD_MS
            }
            if late:
                self._log_late(late, stored=True)
        return has_written

    async def _get_lease(self) -> StoreLease:
        """Get a lease that lasts for as long as a stream that begins now may be resumed."""
        age_ms = self._clock.now_ms() - self._lease_granted_ms
        if self._lease is None or age_ms >= STREAM_LIFETIME_MS:
            granted_ms = self._clock.now_ms()
            self._lease = await self._store.grant_lease(2 * STREAM_LIFETIME_MS)
            self._lease_granted_ms = granted_ms
        return self._lease

    def _start_again(self) -> None:
        """Write all again after a restore of the store, which has lost its latest entries."""
        self._era = self._store.eras.era
        self._lease = None
        self._groups.forget()
        for group in self._mixed_groups:
            self._note_streams(group)
        self._due.set()

    def _note_streams(self, group: str) -> None:
        """Note the streams that began before a further version served."""
        streams = self._registry.stream_origins.list_recent(group, self._clock.now_ms())
        for request_id, origin in streams.items():
            self.note(request_id, origin)

    def _log_late(self, records: dict[str, PendingRecord], *, stored: bool) -> None:
        oldest_ms = min(record.noted_ms for record in records.values())
        log_event(
            Event.STREAM_RECORDS_LATE,
            streams=len(records),
            request_ids=list(records)[:MAX_LOGGED_STREAMS],
            oldest_ms=self._clock.now_ms() - oldest_ms,
            stored=stored,
        )


def build_stream_key(group: str, request_id: str) -> str:
    """
    Build the prefix of the keys of a stream's records.

    :param group: name of the backend group
    :param request_id: request of the caller that brought its first event
    :return: prefix of keys in the store
    """
    return f"{STREAMS_PREFIX}{stable_hash(group, request_id):016x}"


def _build_record_key(request_id: str, origin: StreamOrigin) -> str:
    version_hash = stable_hash(origin.version)
    return f"{build_stream_key(origin.group, request_id)}/{version_hash:016x}"


__all__ = ["STREAMS_PREFIX", "VersionJournal", "build_stream_key"]
