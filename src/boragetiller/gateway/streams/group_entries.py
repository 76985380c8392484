"""
Store entries that name the software versions that served each group recently.

They stay while nothing changes, so that a router which was restarted knows of a version whose
servers are gone.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from boragetiller.events import Event, log_event
from boragetiller.hashing import stable_hash
from boragetiller.tables.store_writes import (
    NO_REVISION,
    CommitStatus,
    ExpectedRevision,
    KeyWrite,
    Transaction,
)

if TYPE_CHECKING:
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duty_interface import LeaseStore
    from boragetiller.tables.store_view import StoredItem

VERSIONS_PREFIX = "boragetiller/versions/"


@attrs.define
class StoredGroup:
    """Entry of a group's versions as it was last read or written."""

    versions: frozenset[str]
    revision: int  # extended revision, NO_REVISION if the entry does not exist


class GroupEntries:
    """Reads and writes the entries."""

    def __init__(self, registry: BackendRegistry, store: LeaseStore) -> None:
        """
        Create the entries without reading any.

        :param registry: backend servers, with the versions that this router knows
        :param store: the platform's store
        """
        self._registry = registry
        self._store = store
        self._stored: dict[str, StoredGroup] = {}

    def forget(self) -> None:
        """Read all again, after a restore of the store."""
        self._stored.clear()

    async def update(self, group: str) -> bool:
        """
        Write the versions of a group if they differ from what the store has.

        :param group: name of the backend group
        :return: whether the entry is up to date; if not, another router has changed it
        :raises HistoryLost: the store was restored
        :raises StoreUnavailable: a call failed
        """
        recent = self._registry.group_versions.list_recent(group)
        known = self._stored.get(group)
        if not recent or (known is not None and known.versions == recent):
            return True
        stored = await self.read(group)
        recent = self._registry.group_versions.list_recent(group)
        return stored.versions == recent or await self._store_group(group, recent, stored.revision)

    async def read(self, group: str) -> StoredGroup:
        """
        Read the entry of a group.

        :param group: name of the backend group
        :return: the entry
        :raises StoreUnavailable: the call failed
        """
        listing = await self._store.get_key(_build_group_key(group))
        item = listing.items[0] if listing.items else None
        stored = StoredGroup(
            _decode_versions(item), item.revision if item is not None else NO_REVISION
        )
        self._stored[group] = stored
        # Versions that this router has seen leave may only have to be removed from the entry.
        for version in stored.versions:
            self._registry.group_versions.observe_stored(group, version)
        return stored

    async def _store_group(self, group: str, versions: frozenset[str], revision: int) -> bool:
        """Write the versions of a group, unless another router has written since the revision."""
        key = _build_group_key(group)
        result = await self._store.commit(
            Transaction(
                era=self._store.eras.era or 0,
                expected=(ExpectedRevision(key, revision),),
                writes=(KeyWrite(key, json.dumps(sorted(versions)).encode()),),
            )
        )
        if result.status is not CommitStatus.COMMITTED:
            del self._stored[group]
            return False
        self._stored[group] = StoredGroup(versions, result.revision)
        log_event(Event.GROUP_VERSIONS_STORED, group=group, versions=sorted(versions))
        return True


def _build_group_key(group: str) -> str:
    return f"{VERSIONS_PREFIX}{stable_hash(group):016x}"


def _decode_versions(item: StoredItem | None) -> frozenset[str]:
    """Decode the versions of a group; an entry that cannot be decoded counts as missing."""
    try:
        versions = json.loads(item.value) if item is not None and item.value else []
    except ValueError:
        return frozenset()
    is_list = isinstance(versions, list) and all(isinstance(each, str) for each in versions)
    return frozenset(versions) if is_list else frozenset()


__all__ = ["VERSIONS_PREFIX", "GroupEntries", "StoredGroup"]
