"""Tests of writes: schema versions, merge, conflicts and lost replies."""

from __future__ import annotations

import json
import unittest
import zlib
from typing import Any

from boragetiller.records.pages import (
    MAX_RECENT_WRITES,
    MAX_RECORD_HISTORY,
    Page,
    decode_page,
    encode_page,
)
from boragetiller.records.writes import (
    WriteState,
    apply_write,
    is_write_outcome_known,
    prepare_write,
    was_accepted,
)
from tests.records.samples import make_document, write

NORTH, WEST = "kalisz", "vesturland"


class WriteTest(unittest.TestCase):
    """Writes of two offices to one page."""

    def setUp(self) -> None:
        self.page = Page()
        document = make_document("class", "quote", group="pool", between_tokens_target_ms=30)
        self.assertEqual(write(self.page, document, WEST).state, WriteState.ACCEPTED)

    def test_create_stores_defaults_of_its_version(self) -> None:
        self.assertEqual(self._get_fields()["deadline_ms"], 30_000)
        write(self.page, make_document("class", "old", 1, group="pool"))
        self.assertNotIn("weight", self.page.records["class/old"].fields)

    def test_create_without_required_field_is_refused(self) -> None:
        result = write(self.page, make_document("class", "bare"))
        self.assertEqual(result.state, WriteState.REFUSED)
        self.assertIn("group", result.message)
        self.assertNotIn("class/bare", self.page.records)

    def test_old_version_keeps_newer_fields(self) -> None:
        result = self._write(NORTH, version=1, base_revision=1, first_token_ms=900)
        self.assertEqual(result.state, WriteState.ACCEPTED)
        self.assertEqual(self._get_fields()["between_tokens_target_ms"], 30)
        self.assertEqual(self._get_fields()["first_token_ms"], 900)
        self.assertEqual(self.page.records["class/quote"].schema_version, 2)

    def test_edit_of_a_revision_lost_in_a_restore_conflicts_with_the_one_written_since(
        self,
    ) -> None:
        copied = encode_page(self.page)
        self._write(NORTH, base_revision=1, tier=2)
        lost_write = self.page.records["class/quote"].history[-1].write_id
        self.page = decode_page(copied)
        self._write(WEST, base_revision=1, tier=3)
        edit = {"base_revision": 2, "tier": 3, "deadline_ms": 9_000}
        result = self._write(NORTH, **edit, base_write=lost_write)
        self.assertEqual(result.state, WriteState.CONFLICT)
        self.assertIn(lost_write, result.message)
        self.assertEqual(self._get_fields()["deadline_ms"], 30_000)
        known_write = self.page.records["class/quote"].history[-1].write_id
        result = self._write(NORTH, **edit, base_write=known_write)
        self.assertEqual(result.state, WriteState.ACCEPTED)

    def test_different_fields_merge(self) -> None:
        tier = self._prepare_write(WEST, base_revision=1, tier=2)
        deadline = self._prepare_write(NORTH, base_revision=1, deadline_ms=9_000)
        for pending in (tier, deadline):
            self.assertEqual(apply_write(self.page, pending).state, WriteState.ACCEPTED)
        self.assertEqual(
            (self._get_fields()["tier"], self._get_fields()["deadline_ms"]), (2, 9_000)
        )

    def test_same_field_conflict_shows_three_values(self) -> None:
        self._write(NORTH, base_revision=1, tier=2)
        result = self._write(WEST, tier=3)
        self.assertEqual(result.state, WriteState.CONFLICT)
        conflict = result.conflicts[0]
        self.assertEqual(
            (conflict.field, conflict.base, conflict.theirs, conflict.yours), ("tier", 1, 2, 3)
        )
        self.assertEqual(self._get_fields()["tier"], 2)

    def test_repeated_file_does_not_revert_other_office(self) -> None:
        self._write(NORTH, base_revision=1, tier=2)
        result = self._write(WEST, tier=1)
        self.assertEqual(result.state, WriteState.UNCHANGED)
        self.assertEqual([(k.field, k.theirs) for k in result.kept], [("tier", 2)])

    def test_unknown_base_is_a_conflict(self) -> None:
        self.assertEqual(self._write(NORTH, tier=2).state, WriteState.CONFLICT)
        for tier in [0, 2, 3] * MAX_RECORD_HISTORY:
            self._write(WEST, tier=tier)
        self.assertEqual(self._write(NORTH, base_revision=1, tier=2).state, WriteState.CONFLICT)

    def test_creation_race_conflicts(self) -> None:
        page = Page()
        west = make_document("class", "note", group="pool", tier=3)
        north = make_document("class", "note", group="lager")
        pending = prepare_write(page, north, NORTH, at_ms=1)
        write(page, west, WEST)
        result = apply_write(page, pending)
        self.assertEqual([c.field for c in result.conflicts], ["group"])

    def test_removal_against_edit_conflicts(self) -> None:
        removal = self._prepare_write(NORTH, base_revision=1, absent=True)
        self._write(WEST, tier=3)
        self.assertEqual(apply_write(self.page, removal).state, WriteState.CONFLICT)
        edit = self._prepare_write(NORTH, base_revision=2, tier=0)
        self._write(WEST, absent=True)
        self.assertEqual(apply_write(self.page, edit).state, WriteState.CONFLICT)

    def test_recreated_record_starts_from_defaults(self) -> None:
        self._write(WEST, absent=True)
        self.assertTrue(self.page.records["class/quote"].absent)
        result = self._write(WEST, group="pool", tier=3)
        self.assertEqual(result.state, WriteState.ACCEPTED)
        self.assertEqual(self._get_fields()["between_tokens_target_ms"], 45)

    def test_lost_reply_is_resolved_after_later_writes(self) -> None:
        pending = self._prepare_write(WEST, base_revision=1, tier=2)
        apply_write(self.page, pending)
        self._write(NORTH, base_revision=2, tier=3)
        result = apply_write(self.page, pending)
        self.assertEqual((result.state, result.changes), (WriteState.ACCEPTED, {}))
        self.assertEqual(self._get_fields()["tier"], 3)

    def test_write_outcome_is_unknown_once_identifiers_are_dropped(self) -> None:
        pending = self._prepare_write(WEST, base_revision=1, tier=2)
        sent_write_count = self.page.write_count
        apply_write(self.page, pending)
        for count in range(MAX_RECENT_WRITES):
            write(self.page, make_document("class", f"c{count}", group="pool"))
            self.assertTrue(is_write_outcome_known(self.page, pending, sent_write_count))
        self.assertNotIn(pending.write_id, self.page.recent_writes)
        self.assertTrue(was_accepted(self.page, pending))  # found in the history
        for tier in [0, 3] * MAX_RECORD_HISTORY:
            self._write(WEST, tier=tier)
        self.assertFalse(is_write_outcome_known(self.page, pending, sent_write_count))

    def test_history_shows_that_a_write_never_took_effect(self) -> None:
        pending = self._prepare_write(WEST, base_revision=1, tier=2)
        sent_write_count = self.page.write_count
        for count in range(MAX_RECENT_WRITES + 1):
            write(self.page, make_document("class", f"c{count}", group="pool"))
        self.assertTrue(is_write_outcome_known(self.page, pending, sent_write_count))
        self.assertFalse(was_accepted(self.page, pending))

    def test_newer_stored_version_is_refused(self) -> None:
        self.page.records["class/quote"].schema_version = 3
        result = self._write(WEST, tier=3)
        self.assertEqual(result.state, WriteState.REFUSED)
        self.assertIn("newer boragetiller", result.message)

    def test_unknown_keys_are_preserved_by_a_write(self) -> None:
        body = json.loads(zlib.decompress(encode_page(self.page)))
        body["later"] = {"a": 1}
        body["records"]["class/quote"]["later"] = [1]
        body["records"]["class/quote"]["fields"]["later_field"] = 7
        body["records"]["quota/x"] = {
            "schema_version": 9,
            "revision": 1,
            "fields": {"a": None},
            "history": [],
            "n": 1,
        }
        page = decode_page(json.dumps(body).encode())
        write(page, make_document("class", "note", group="pool"))
        after = json.loads(zlib.decompress(encode_page(page)))
        for key in ("later",):
            self.assertEqual(after[key], body[key])
        for record_id in ("class/quote", "quota/x"):
            self.assertEqual(after["records"][record_id], body["records"][record_id])

    def _get_fields(self) -> dict[str, Any]:
        return self.page.records["class/quote"].fields

    def _prepare_write(self, office: str, version: int = 2, **fields: Any) -> Any:
        document = make_document("class", "quote", version, **fields)
        return prepare_write(self.page, document, office, at_ms=2_000)

    def _write(self, office: str, version: int = 2, **fields: Any) -> Any:
        return apply_write(self.page, self._prepare_write(office, version, **fields))


if __name__ == "__main__":
    unittest.main()
