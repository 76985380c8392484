"""
Store entries from which any router learns which software version began a stream.

While several versions serve a group, each router writes the version of its streams to the store,
many in one transaction, under leases that end after the streams have. A further entry names the
versions that served each group recently. It stays while nothing changes, so that a router which
was restarted knows of a version whose servers are gone.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import HistoryLost, StoreUnavailable
from boragetiller.events import Event, log_event
from boragetiller.hashing import stable_hash
from boragetiller.systems.stream_resumption import StoredVersions
from boragetiller.tables.store_writes import (
    NO_REVISION,
    CommitStatus,
    ExpectedRevision,
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
    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.tables.store_view import StoredItem

STREAMS_PREFIX = "boragetiller/streams/"
VERSIONS_PREFIX = "boragetiller/versions/"
MAX_TRANSACTION_WRITES = 32
MAX_PENDING = 4_096  # streams that begin in a few seconds; the oldest are dropped
CHECK_INTERVAL_MS = 500  # for versions that have not served for STREAM_LIFETIME_MS
MIN_WRITE_INTERVAL_MS = 100  # shorter than most prompts are read, so before the first event
WRITE_MS_PER_ROUTER = 15  # bounds the rate of transactions of a large fleet
RETRY_MS = 400
READ_TIMEOUT_MS = 300  # a read takes a few ms, and a caller waits for it


@attrs.define
class StoredGroup:
    """Entry of a group's versions as it was last read or written."""

    versions: frozenset[str]
    revision: int  # extended revision, NO_REVISION if the entry does not exist


class VersionJournal:
    """Writes the versions of groups and streams, and reads those that other routers wrote."""

    def __init__(self, registry: BackendRegistry, store: LeaseStore, clock: Clock) -> None:
        """
        Create the journal; it writes nothing until it runs.

        :param registry: backend servers, with the versions and streams that this router knows
        :param store: the platform's store
        :param clock: monotonic clock
        """
        self._registry = registry
        self._store = store
        self._clock = clock
        self._pending: dict[str, StreamOrigin] = {}
        self._due = asyncio.Event()
        self._stored_groups: dict[str, StoredGroup] = {}
        self._mixed_groups: set[str] = set()
        self._era = store.eras.era
        self._lease: StoreLease | None = None
        self._lease_granted_ms = 0
        registry.on_servers_changed = self._due.set

    def note(self, request_id: str, origin: StreamOrigin) -> None:
        """
        Write the version of a stream soon.

        :param request_id: request of the caller that brings its first event
        :param origin: group and software version
        """
        if len(request_id) > MAX_REQUEST_ID_CHARS:
            return
        if len(self._pending) >= MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._pending[request_id] = origin
        self._due.set()

    async def run(self) -> None:
        """Write what is due, until cancelled; what fails is tried again."""
        while True:
            with suppress(TimeoutError):
                await wait_with_timeout(CHECK_INTERVAL_MS / 1_000, self._due.wait())
            self._due.clear()
            if self._store.eras.era != self._era:
                self._start_again()
            try:
                for group in self._list_resumable_groups():
                    await self._update_group(group)
                await self._write_streams()
            except HistoryLost:
                self._start_again()
            except StoreUnavailable:
                await asyncio.sleep(RETRY_MS / 1_000)
                self._due.set()
                continue
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
        if request_id is not None:
            listing = await self._store.get_key(build_stream_key(group, request_id))
            if listing.items:
                return StoredVersions(_decode_version(listing.items[0]), frozenset())
        stored = await self._read_group(group)
        return StoredVersions(None, stored.versions)

    async def _update_group(self, group: str) -> None:
        """Write the versions of a group if they differ from what the store has."""
        recent = self._registry.group_versions.list_recent(group)
        if len(recent) <= 1:
            self._mixed_groups.discard(group)
        elif group not in self._mixed_groups:
            self._mixed_groups.add(group)
            self._note_streams(group)
        known = self._stored_groups.get(group)
        if not recent or (known is not None and known.versions == recent):
            return
        stored = await self._read_group(group)
        recent = self._registry.group_versions.list_recent(group)
        if stored.versions != recent:
            await self._store_group(group, recent, stored.revision)

    async def _store_group(self, group: str, versions: frozenset[str], revision: int) -> None:
        """Write the versions of a group, unless another router has written since the revision."""
        key = _build_group_key(group)
        result = await self._store.commit(
            Transaction(
                era=self._store.eras.era or 0,
                expected=(ExpectedRevision(key, revision),),
                writes=(KeyWrite(key, json.dumps(sorted(versions)).encode()),),
            )
        )
        if result.status is CommitStatus.COMMITTED:
            self._stored_groups[group] = StoredGroup(versions, result.revision)
            log_event(Event.GROUP_VERSIONS_STORED, group=group, versions=sorted(versions))
        else:
            del self._stored_groups[group]
            self._due.set()

    async def _read_group(self, group: str) -> StoredGroup:
        listing = await self._store.get_key(_build_group_key(group))
        item = listing.items[0] if listing.items else None
        stored = StoredGroup(
            _decode_versions(item), item.revision if item is not None else NO_REVISION
        )
        self._stored_groups[group] = stored
        # Versions that this router has seen leave may only have to be removed from the entry.
        for version in stored.versions:
            self._registry.group_versions.observe_stored(group, version)
        return stored

    async def _write_streams(self) -> None:
        while self._pending:
            lease = await self._get_lease()
            batch = dict(list(self._pending.items())[:MAX_TRANSACTION_WRITES])
            writes = tuple(
                KeyWrite(
                    build_stream_key(origin.group, request_id),
                    origin.version.encode(),
                    lease.lease_id,
                )
                for request_id, origin in batch.items()
            )
            result = await self._store.commit(
                Transaction(era=lease.era, expected=(), writes=writes)
            )
            if result.status is not CommitStatus.COMMITTED:
                self._lease = None
                continue
            for request_id, origin in batch.items():
                if self._pending.get(request_id) is origin:
                    del self._pending[request_id]

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
        self._stored_groups.clear()
        for group in self._mixed_groups:
            self._note_streams(group)
        self._due.set()

    def _note_streams(self, group: str) -> None:
        """Note the streams that began before a further version served."""
        streams = self._registry.stream_origins.list_recent(group, self._clock.now_ms())
        for request_id, origin in streams.items():
            self.note(request_id, origin)


def build_stream_key(group: str, request_id: str) -> str:
    """
    Build the key of a stream's version.

    :param group: name of the backend group
    :param request_id: request of the caller that brought its first event
    :return: key in the store
    """
    return f"{STREAMS_PREFIX}{stable_hash(group, request_id):016x}"


def _build_group_key(group: str) -> str:
    return f"{VERSIONS_PREFIX}{stable_hash(group):016x}"


def _decode_version(item: StoredItem) -> str:
    return (item.value or b"").decode("utf-8", "replace")


def _decode_versions(item: StoredItem | None) -> frozenset[str]:
    """Decode the versions of a group; an entry that cannot be decoded counts as missing."""
    try:
        versions = json.loads(item.value) if item is not None and item.value else []
    except ValueError:
        return frozenset()
    is_list = isinstance(versions, list) and all(isinstance(each, str) for each in versions)
    return frozenset(versions) if is_list else frozenset()


__all__ = ["STREAMS_PREFIX", "VERSIONS_PREFIX", "VersionJournal", "build_stream_key"]
