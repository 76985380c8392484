"""Local copy of the entries of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class StoredItem:
    """An entry of the store, or the tombstone of a removed one (value None), at its revision."""

    key: str
    value: bytes | None
    revision: int


@attrs.define
class StoreView:
    """
    The newest known item of each key.

    An item is replaced only by one of a higher revision, so items may arrive from the store and
    from peers in any order.
    """

    items: dict[str, StoredItem] = attrs.field(factory=dict)

    def apply(self, items: Iterable[StoredItem]) -> list[StoredItem]:
        """
        Apply items from the store or from a peer.

        :param items: items in any order
        :return: items that were newer than the known ones
        """
        updated = []
        for item in items:
            known = self.items.get(item.key)
            if known is None or item.revision > known.revision:
                self.items[item.key] = item
                updated.append(item)
        return updated

    def apply_listing(
        self, prefix: str, items: list[StoredItem], revision: int
    ) -> list[StoredItem]:
        """
        Apply a complete listing; keys that it lacks were removed at or before its revision.

        :param prefix: prefix of the listed keys
        :param items: entries with the prefix
        :param revision: revision of the store before the listing was read
        :return: items that were newer than the known ones
        """
        listed = {item.key for item in items}
        removed = [
            StoredItem(key, None, revision)
            for key, known in self.items.items()
            if key.startswith(prefix)
            and key not in listed
            and known.value is not None
            and known.revision < revision
        ]
        return self.apply([*items, *removed])

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

    def list_entries(self, prefix: str) -> list[StoredItem]:
        """
        List the existing entries, without tombstones.

        :param prefix: prefix of the keys
        :return: items with a value
        """
        items = self.items.values()
        return [i for i in items if i.key.startswith(prefix) and i.value is not None]


__all__ = ["StoreView", "StoredItem"]
