"""Tests of applying configuration pages."""

from __future__ import annotations

import json
import unittest
import zlib
from typing import Any

import attrs

from boragetiller.records.pages import (
    MAX_PAGE_BYTES,
    Page,
    decode_page,
    encode_page,
    get_page_index,
)
from boragetiller.records.schema import FIELDS, MODELS, RecordKind
from boragetiller.records.writes import WriteState
from boragetiller.store_eras import extend_revision
from boragetiller.systems.config_pages import (
    PageUpdate,
    apply_pages,
    list_missing_pages,
    list_newer_pages,
    list_unreadable_records,
    mark_ready,
)
from boragetiller.tables.config import ConfigTable
from tests.records.samples import KEY_HASH, make_document, write

QUOTE = "class/quote"
_STORED_RECORD = '{"schema_version": 2, "revision": 9, "history": [], "fields": %s}'
UNUSABLE_RECORD_FIELDS = (
    "5",
    "null",
    "[]",
    '{"schema_version": 1e999, "revision": 1, "fields": {}, "history": []}',
    '{"schema_version": 1, "revision": ' + "9" * 400 + ', "fields": {}, "history": []}',
    '{"schema_version": 1, "revision": NaN, "fields": {}, "history": []}',
    '{"schema_version": 1, "revision": 1, "fields": {}, "history": [[]]}',
    _STORED_RECORD % '{"group": "pool", "deadline_ms": 1000000000001}',
    _STORED_RECORD % ('{"group": "pool", "weight": ' + "9" * 400 + "}"),
    _STORED_RECORD % '{"group": "pool", "weight": NaN}',
    _STORED_RECORD % '{"group": "pool", "weight": 1e999}',
    _STORED_RECORD % '{"group": "a\\ud800"}',
)


class ConfigPagesTest(unittest.TestCase):
    """Pages applied to one table in any order."""

    def setUp(self) -> None:
        self.table = ConfigTable()
        mark_ready(self.table)
        self.page = Page()
        write(self.page, make_document("class", "quote", group="pool", tier=2))

    def test_page_revision_never_decreases(self) -> None:
        old = encode_page(self.page)
        write(self.page, make_document("class", "quote", tier=3))
        self.assertTrue(self._apply(7, encode_page(self.page)))
        self.assertFalse(self._apply(5, old))
        self.assertFalse(self._apply(7, old))
        self.assertEqual(self.table.classes["quote"].tier, 3)

    def test_unreadable_record_costs_no_other_record_of_its_page(self) -> None:
        # Guards against a frozen page of records, and against an end of the synchronization.
        write(self.page, make_document("class", "note", group="pool", tier=1))
        self.assertTrue(self._apply(1, encode_page(self.page)))
        write(self.page, make_document("class", "note", tier=3))
        for number, change in enumerate(UNUSABLE_RECORD_FIELDS):
            with self.subTest(change=change[:40]):
                body = json.loads(zlib.decompress(encode_page(self.page)))
                body["records"][QUOTE] = "@"
                data = json.dumps(body).replace('"@"', change).encode()
                self.assertTrue(self._apply(2 + number, data))
                self.assertEqual(self.table.classes["note"].tier, 3)
                self.assertEqual(self.table.classes["quote"].tier, 2)
                self.assertIn(QUOTE, list_unreadable_records(self.table))

    def test_write_keeps_the_unreadable_records_of_its_page(self) -> None:
        body = json.loads(zlib.decompress(encode_page(self.page)))
        body["records"]["class/other"] = {"schema_version": "new"}
        page = decode_page(json.dumps(body).encode())
        write(page, make_document("class", "quote", tier=3))
        result = write(page, make_document("class", "other", group="pool", tier=3))
        self.assertEqual(result.state, WriteState.REFUSED)
        stored = json.loads(zlib.decompress(encode_page(page)))["records"]
        self.assertEqual(stored["class/other"], {"schema_version": "new"})
        self.assertEqual(stored[QUOTE]["fields"]["tier"], 3)

    def test_accepted_record_does_not_go_back_to_the_version_of_a_restored_page(self) -> None:
        copied = encode_page(self.page)
        write(self.page, make_document("class", "quote", tier=3))
        write(self.page, make_document("class", "note", group="pool", tier=3))
        self._apply(extend_revision(1, 9), encode_page(self.page))
        self._apply(extend_revision(2, 4), copied)
        self.assertEqual(self.table.classes["quote"].tier, 3)
        self.assertIn("note", self.table.classes)
        self.assertEqual(self.table.pages[get_page_index(QUOTE)].record_revisions[QUOTE], 2)

    def test_record_written_after_a_restore_replaces_the_lost_one(self) -> None:
        restored = decode_page(encode_page(self.page))
        write(self.page, make_document("class", "quote", tier=3))
        write(self.page, make_document("class", "quote", tier=1))
        self._apply(extend_revision(1, 9), encode_page(self.page))
        self._apply(extend_revision(2, 4), encode_page(restored))
        write(restored, make_document("class", "note", group="pool", tier=3))
        self._apply(extend_revision(2, 5), encode_page(restored))
        self.assertEqual(self.table.classes["quote"].tier, 1)
        write(restored, make_document("class", "quote", tier=0))
        self._apply(extend_revision(2, 6), encode_page(restored))
        self.assertEqual(self.table.classes["quote"].tier, 0)

    def test_unreadable_page_after_a_restore_keeps_the_accepted_records(self) -> None:
        copied = encode_page(self.page)
        write(self.page, make_document("class", "quote", tier=3))
        self._apply(extend_revision(1, 9), encode_page(self.page))
        self._apply(extend_revision(2, 4), b"?")
        self._apply(extend_revision(2, 5), copied)
        self.assertEqual(self.table.classes["quote"].tier, 3)

    def test_record_of_newer_schema_keeps_the_last_readable_one(self) -> None:
        self._apply(1, encode_page(self.page))
        body = json.loads(zlib.decompress(encode_page(self.page)))
        body["records"][QUOTE] |= {"schema_version": 3, "fields": {"tier": {"level": 9}}}
        data = json.dumps(body).encode()
        self._apply(2, data)
        self.assertEqual(self.table.classes["quote"].tier, 2)
        self.assertIn("schema version 3", list_unreadable_records(self.table)[QUOTE])
        self.assertEqual([p.data for p in list_newer_pages(self.table, {})], [data])
        self._apply(3, encode_page(self.page))
        self.assertEqual(list_unreadable_records(self.table), {})

    def test_record_of_unknown_kind_is_kept_and_reported(self) -> None:
        body = json.loads(zlib.decompress(encode_page(self.page)))
        body["records"]["quota/x"] = body["records"][QUOTE]
        self._apply(1, json.dumps(body).encode())
        self.assertIn("quota/x", list_unreadable_records(self.table))
        self._apply(2, encode_page(self.page))
        self.assertEqual(list(self.table.classes), ["quote"])

    def test_invalid_record_keeps_the_last_valid_one(self) -> None:
        self._apply(1, encode_page(self.page))
        for revision, fields in enumerate(
            ({"tier": "high"}, {"tier": True}, {"tier": 9}, {"tier": [1]}, {"group": None}), 2
        ):
            self.page.records[QUOTE].fields |= fields
            self._apply(revision, encode_page(self.page))
            self.assertEqual(self.table.classes["quote"].tier, 2)
            self.assertIn(QUOTE, list_unreadable_records(self.table))

    def test_undecodable_page_keeps_its_records(self) -> None:
        self._apply(1, encode_page(self.page))
        oversized = zlib.compress(b" " * (MAX_PAGE_BYTES + 1))
        valid = encode_page(self.page)
        undecodable = (b"", b"{", b"[]", b"\xff", b'{"format":2}', valid[:-9], oversized)
        for revision, data in enumerate(undecodable, 2):
            self._apply(revision, data)
            self.assertEqual(list(self.table.classes), ["quote"])
            self.assertIn(
                f"config/{get_page_index(QUOTE):02d}", list_unreadable_records(self.table)
            )
        write(self.page, make_document("class", "quote", absent=True))
        self._apply(99, encode_page(self.page))
        self.assertEqual(self.table.classes, {})

    def test_missing_reference_and_shared_key_are_resolved_by_name_order(self) -> None:
        for name in ("zeta", "alfa"):
            document = make_document("customer", name, key_hashes=[KEY_HASH], classes=["none"])
            write(self.page, document)
        self._apply(1, encode_page(self.page))
        self.assertEqual(self.table.customers_by_key, {KEY_HASH: "alfa"})
        self.assertEqual(
            [str(problem) for problem in self.table.reference_problems],
            [
                "class/quote: group: no group pool",
                "customer/alfa: classes: no class none",
                "customer/zeta: classes: no class none",
                "customer/zeta: key_hashes: a key already belongs to customer alfa",
            ],
        )

    def test_indexes_are_built_when_ready_and_when_references_change(self) -> None:
        table = ConfigTable()
        write(self.page, make_document("customer", "alfa", key_hashes=[KEY_HASH]))
        update = PageUpdate(index=0, revision=1, data=encode_page(self.page))
        apply_pages(table, [update], now_ms=0)
        self.assertEqual(table.customers_by_key, {})
        mark_ready(table)
        self.assertEqual(table.customers_by_key, {KEY_HASH: "alfa"})
        self.assertEqual(len(table.reference_problems), 1)
        write(self.page, make_document("group", "pool"))
        write(self.page, make_document("customer", "alfa", key_hashes=["b" * 64]))
        update = PageUpdate(index=0, revision=2, data=encode_page(self.page))
        apply_pages(table, [update], now_ms=0)
        self.assertEqual(table.customers_by_key, {"b" * 64: "alfa"})
        self.assertEqual(table.reference_problems, ())

    def test_missing_and_newer_pages_are_listed(self) -> None:
        self._apply(4, encode_page(self.page))
        index = get_page_index(QUOTE)
        self.assertEqual(list_missing_pages(self.table, {index: 5, 63: 1}), sorted([index, 63]))
        self.assertEqual(list_missing_pages(self.table, {index: 4}), [])
        self.assertEqual(list_newer_pages(self.table, {index: 4}), [])

    def test_every_model_field_is_in_the_schema(self) -> None:
        for kind in RecordKind:
            names = {field.name for field in attrs.fields(MODELS[kind])} - {"name"}
            self.assertEqual({s.model_name for s in FIELDS[kind]} - {None}, names)

    def _apply(self, revision: int, data: bytes) -> Any:
        update = PageUpdate(index=get_page_index(QUOTE), revision=revision, data=data)
        return apply_pages(self.table, [update], now_ms=revision)


if __name__ == "__main__":
    unittest.main()
