"""
Store entries that name the software versions that served each group recently.

They stay while nothing changes, so that a router which was restarted knows of a version whose
servers are gone.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.hashing import stable_hash
from boragetiller.systems.group_entries import (
    StoredEntry,
    decide_entry,
    is_read_due,
    observe_entry,
)
from boragetiller.tables.store_writes import (
    NO_REVISION,
    CommitStatus,
    ExpectedRevision,
    KeyWrite,
    Transaction,
)

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.systems.list_coverage import ListCoverage
    from boragetiller.tables.store_view import StoredItem

VERSIONS_PREFIX = "boragetiller/versions/"


class GroupEntries:
    """Reads and writes the entries."""

    def __init__(
        self,
        own_name: str,
        registry: BackendRegistry,
        coverage: ListCoverage,
        store: LeaseStore,
        clock: Clock,
    ) -> None:
        """
        Create the entries without reading any.

        :param own_name: name of this process
        :param registry: backend servers, with the versions that this router knows
        :param coverage: tells for how long this router has followed the list of servers
        :param store: the platform's store
        :param clock: monotonic clock
        """
        self._versions = registry.group_versions
        self._coverage = coverage
        self._store = store
        self._clock = clock
        self._jitter = stable_hash("versions", own_name) / 2**64
        self._known: dict[str, StoredEntry] = {}

    def forget(self) -> None:
        """Read all again, after a restore of the store."""
        self._known.clear()

    async def update(self, group: str) -> bool:
        """
        Write the versions of a group if the store lacks any, names one too many or is not fresh.

        :param group: name of the backend group
        :return: whether that is done; if not, another router has written meanwhile
        :raises HistoryLost: the store was restored
        :raises StoreUnavailable: a call failed
        """
        known = self._known.get(group)
        is_due = known is None or is_read_due(
            known, self._versions.get_sightings(group), self._clock.now_ms(), self._jitter
        )
        if known is not None and not is_due and self._decide(group, known) is None:
            return True
        entry = await self.read(group)
        marks = self._decide(group, entry)
        return marks is None or await self._write(group, marks, entry)

    async def read(self, group: str) -> StoredEntry:
        """
        Read the entry of a group.

        :param group: name of the backend group
        :return: the entry
        :raises StoreUnavailable: the call failed
        """
        listing = await self._store.get_key(_build_group_key(group))
        item = listing.items[0] if listing.items else None
        revision = item.revision if item is not None else NO_REVISION
        return self._observe(group, _decode_marks(item), revision)

    def _decide(self, group: str, entry: StoredEntry) -> dict[str, int] | None:
        now_ms = self._clock.now_ms()
        is_certain = self._coverage.covers_streams(now_ms)
        sightings = self._versions.get_sightings(group)
        return decide_entry(entry, sightings, now_ms, is_certain=is_certain)

    def _observe(self, group: str, marks: dict[str, int], revision: int) -> StoredEntry:
        known = self._known.get(group)
        if known is not None and NO_REVISION < revision < known.revision:
            return known  # a late answer; a call that began later has shown a newer entry
        entry = observe_entry(known, marks, revision, self._clock.now_ms())
        self._known[group] = entry
        self._versions.record_stored(group, frozenset(marks))
        return entry

    async def _write(self, group: str, marks: dict[str, int], entry: StoredEntry) -> bool:
        """Write the marks of a group, unless another router has written since the entry."""
        key = _build_group_key(group)
        result = await self._store.commit(
            Transaction(
                era=self._store.eras.era or 0,
                expected=(ExpectedRevision(key, entry.revision),),
                writes=(KeyWrite(key, json.dumps(marks, sort_keys=True).encode()),),
            )
        )
        if result.status is not CommitStatus.COMMITTED:
            return False
        self._observe(group, marks, result.revision)
        if marks.keys() != entry.marks.keys():
            log_event(Event.GROUP_VERSIONS_STORED, group=group, versions=sorted(marks))
        return True


def _build_group_key(group: str) -> str:
    return f"{VERSIONS_PREFIX}{stable_hash(group):016x}"


def _decode_marks(item: StoredItem | None) -> dict[str, int]:
    """Decode the marks of a group; an entry that cannot be decoded counts as missing."""
    try:
        marks = json.loads(item.value) if item is not None and item.value else {}
    except ValueError:
        return {}
    if isinstance(marks, list):  # written by routers that know no marks
        marks = {each: 0 for each in marks if isinstance(each, str)}
    is_valid = isinstance(marks, dict) and all(type(mark) is int for mark in marks.values())
    return marks if is_valid else {}


__all__ = ["VERSIONS_PREFIX", "GroupEntries"]
