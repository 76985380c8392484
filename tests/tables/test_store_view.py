"""Entries of a store that was restored from an older copy."""

from __future__ import annotations

import itertools
import unittest

from boragetiller.store_eras import extend_revision
from boragetiller.tables.store_view import EntryVersion, StoredItem, StoreView


def read_version(_key: str, value: bytes) -> EntryVersion | None:
    """Values are `STARTED.NUMBER`, or unreadable."""
    started, dot, number = value.partition(b".")
    return EntryVersion(int(started), int(number)) if dot else None


def build_item(value: bytes | None, era: int, revision: int, key: str = "s/a") -> StoredItem:
    return StoredItem(key, value, extend_revision(era, revision))


class StoreViewErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = StoreView(read_version)

    def get_value(self, key: str = "s/a") -> bytes | None:
        item = self.view.get_in_force(key)
        return item.value if item is not None else None

    def test_items_in_any_order_end_in_the_same_state(self) -> None:
        lost, copied = build_item(b"1.7", 1, 30), build_item(b"1.2", 2, 10)
        rewritten, other = build_item(b"1.9", 2, 30), build_item(b"1.8", 1, 31)
        for count in (2, 3, 4):
            for items in itertools.permutations((lost, copied, rewritten, other)[:count]):
                view = StoreView(read_version)
                for item in items:
                    view.apply([item])
                expected = b"1.7" if count == 2 else b"1.9"
                with self.subTest(items=items):
                    self.assertEqual(view.get_in_force("s/a").value, expected)

    def test_lost_removal_holds_against_the_copy_and_yields_to_a_new_write(self) -> None:
        self.view.apply([build_item(b"1.7", 1, 30), build_item(None, 1, 31)])
        self.view.apply([build_item(b"1.2", 2, 10)])
        self.assertIsNone(self.get_value())
        self.view.apply([build_item(b"1.7", 2, 11)])
        self.assertIsNone(self.get_value())
        self.view.apply([build_item(b"1.8", 2, 12)])
        self.assertEqual(self.get_value(), b"1.8")

    def test_removal_in_the_new_era_ends_what_was_retained(self) -> None:
        self.view.apply([build_item(b"1.7", 1, 30), build_item(b"1.2", 2, 10)])
        self.view.apply([build_item(None, 2, 11)])
        self.assertIsNone(self.get_value())
        self.view.apply([build_item(b"1.7", 1, 30)])
        self.assertIsNone(self.get_value())

    def test_unreadable_entry_of_the_copy_does_not_replace_a_readable_one(self) -> None:
        self.view.apply([build_item(b"1.7", 1, 30), build_item(b"?", 2, 10)])
        self.assertEqual(self.get_value(), b"1.7")

    def test_listing_keeps_lost_entries_only_during_the_grace(self) -> None:
        self.view.apply([build_item(b"1.7", 1, 30), build_item(b"1.1", 1, 31, "s/b")])
        listed, revision = [build_item(b"1.1", 2, 9, "s/b")], extend_revision(2, 9)
        self.view.apply_listing("s/", listed, revision, keep_earlier_eras=True)
        self.assertEqual(self.get_value(), b"1.7")
        self.assertEqual([i.key for i in self.view.list_from_earlier_eras("s/")], ["s/a"])
        self.view.apply_listing("s/", listed, revision, keep_earlier_eras=False)
        self.assertIsNone(self.get_value())
        self.assertEqual(self.view.list_from_earlier_eras("s/"), [])

    def test_released_items_give_way_to_the_copy(self) -> None:
        self.view.apply([build_item(b"2.7", 1, 30), build_item(b"1.2", 2, 10)])
        self.assertEqual([i.value for i in self.view.release_retained("s/")], [b"1.2"])
        self.assertEqual(self.get_value(), b"1.2")


if __name__ == "__main__":
    unittest.main()
