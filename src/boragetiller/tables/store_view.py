"""Local copy of the entries of the platform's store."""

from __future__ import annotations

from collections.abc import Callable  # noqa: TC003
from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import stable_hash
from boragetiller.store_eras import get_era, get_store_revision

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen(order=True)
class EntryVersion:
    """Version that the writer of an entry gave it; unlike a revision, a restore keeps it."""

    writer_started_ms: int  # wall-clock time since the epoch, 0 for a writer without incarnations
    number: int  # rises with each write of the incarnation


@attrs.frozen
class StoredItem:
    """An entry of the store, or the tombstone of a removed one (value None)."""

    key: str
    value: bytes | None
    revision: int  # extended by the era; see boragetiller.store_eras
    removed_version: EntryVersion | None = None  # of a tombstone: version of the removed entry


@attrs.define
class StoreView:
    """
    The newest known item of each key, and what a restored store has lost.

    An item is replaced only by one of a higher revision, so items may arrive from the store and
    from peers in any order. An item of an earlier era stays in force while the store has only an
    older version of the entry: the store was restored from a copy, and the writer has not written
    the entry again.
    """

    read_version: Callable[[str, bytes], EntryVersion | None]
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    retained: dict[str, StoredItem] = attrs.field(factory=dict)  # in force instead of `items`
    # Hash of the keys and revisions of all existing entries, in any order. Equal highest revisions
    # do not show that two views hold the same changes, equal digests do.
    digest: int = 0

    def apply(self, items: Iterable[StoredItem]) -> list[StoredItem]:
        """
        Apply items from the store or from a peer.

        :param items: items in any order
        :return: items that came into force
        """
        updated = []
        for item in items:
            before = self.get_in_force(item.key)
            self._apply_item(item, before)
            after = self.get_in_force(item.key)
            if after is not None and after is not before:
                updated.append(after)
        return updated

    def apply_listing(
        self, prefix: str, items: list[StoredItem], revision: int, *, keep_earlier_eras: bool
    ) -> list[StoredItem]:
        """
        Apply a complete listing; keys that it lacks were removed at or before its revision.

        :param prefix: prefix of the listed keys
        :param items: entries with the prefix
        :param revision: revision of the store before the listing was read
        :param keep_earlier_eras: whether known items of earlier eras stay though the listing lacks
            them, since their writers may not have written them again after a restore
        :return: items that came into force
        """
        listed = {item.key for item in items}
        removed = [
            StoredItem(key, None, revision)
            for key, known in self.items.items()
            if key.startswith(prefix)
            and key not in listed
            and known.value is not None
            and known.revision < revision
            and not (keep_earlier_eras and get_era(known.revision) < get_era(revision))
        ]
        return self.apply([*items, *removed])

    def get_in_force(self, key: str) -> StoredItem | None:
        """:return: the item of a key that is in force, None if the key is unknown"""
        return self.retained.get(key) or self.items.get(key)

    def release_retained(self, prefix: str) -> list[StoredItem]:
        """
        Let the store's items come into force though they are older versions.

        :param prefix: prefix of the keys
        :return: items that came into force
        """
        keys = [key for key in self.retained if key.startswith(prefix)]
        for key in keys:
            del self.retained[key]
        return [self.items[key] for key in keys]

    def newest_revision(self, prefix: str) -> int:
        """
        Return the revision of the newest known change.

        :param prefix: prefix of the keys
        :return: revision, 0 if no item is known
        """
        found = [item.revision for item in self.items.values() if item.key.startswith(prefix)]
        return max(found, default=0)

    def newer_than(self, prefix: str, revision: int) -> list[StoredItem]:
        """
        List the items that changed after a revision.

        :param prefix: prefix of the keys
        :param revision: revision of the store
        :return: items, oldest first
        """
        items = self.items.values()
        found = [i for i in items if i.key.startswith(prefix) and i.revision > revision]
        return sorted(found, key=lambda item: item.revision)

    def list_from_earlier_eras(self, prefix: str) -> list[StoredItem]:
        """
        List the items in force that the restored store lacks or has in an older version.

        :param prefix: prefix of the keys
        :return: items of earlier eras than the newest known change
        """
        era = get_era(self.newest_revision(prefix))
        found = [self.get_in_force(key) for key in self.items if key.startswith(prefix)]
        return [item for item in found if item is not None and get_era(item.revision) < era]

    def list_entries(self, prefix: str) -> list[StoredItem]:
        """
        List the existing entries that are in force, without tombstones.

        :param prefix: prefix of the keys
        :return: items with a value
        """
        found = [self.get_in_force(key) for key in self.items if key.startswith(prefix)]
        return [item for item in found if item is not None and item.value is not None]

    def _apply_item(self, item: StoredItem, in_force: StoredItem | None) -> None:
        newest = self.items.get(item.key)
        if newest is None or in_force is None:
            self._replace_newest(newest, item)
        elif item.revision > newest.revision:
            self._replace_newest(newest, self._add_removed_version(item, in_force))
            if self._is_newer_version(in_force, item):
                self.retained[item.key] = in_force
            else:
                self.retained.pop(item.key, None)
        elif (item.revision > in_force.revision or in_force is newest) and self._is_newer_version(
            item, newest
        ):
            self.retained[item.key] = item

    def _replace_newest(self, newest: StoredItem | None, item: StoredItem) -> None:
        self.items[item.key] = item
        self.digest ^= _hash_entry(newest) ^ _hash_entry(item)

    def _add_removed_version(self, item: StoredItem, removed: StoredItem) -> StoredItem:
        if item.value is not None or item.removed_version is not None:
            return item
        return attrs.evolve(item, removed_version=self._get_version(removed))

    def _is_newer_version(self, earlier: StoredItem, later: StoredItem) -> bool:
        """:return: whether an item of an earlier era is a newer version than one of a later era"""
        if get_era(earlier.revision) >= get_era(later.revision) or later.value is None:
            return False
        version, later_version = self._get_version(earlier), self._get_version(later)
        if version is None or later_version is None:
            return version is not None
        return version > later_version or (earlier.value is None and version == later_version)

    def _get_version(self, item: StoredItem) -> EntryVersion | None:
        if item.value is None:
            return item.removed_version
        return self.read_version(item.key, item.value)


def _hash_entry(item: StoredItem | None) -> int:
    """:return: hash of an entry; 0 without one, since routers keep tombstones of different age"""
    if item is None or item.value is None:
        return 0
    return stable_hash(item.key, str(get_store_revision(item.revision)))


__all__ = ["EntryVersion", "StoreView", "StoredItem"]
