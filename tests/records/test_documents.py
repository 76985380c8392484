"""Tests of record documents."""

from __future__ import annotations

import unittest

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.errors import SettingsInvalid
from boragetiller.records.documents import build_document, format_document, parse_documents
from boragetiller.records.pages import HistoryEntry, StoredRecord
from boragetiller.records.schema import FIELDS, RecordKind
from tests.records.samples import FLEET, make_document

HISTORY_ENTRY = HistoryEntry(
    write_id="w4", office="kalisz", at_ms=1, schema_version=2, revision=4, changes={}
)


class DocumentTest(unittest.TestCase):
    """Parsing and formatting of documents."""

    def test_parse_returns_each_document_with_its_line(self) -> None:
        documents = parse_documents(FLEET)
        self.assertEqual(
            [d.record_id for d in documents],
            ["group/tiller-pool", "class/quote", "customer/morgun"],
        )
        self.assertEqual([d.line for d in documents], [2, 9, 16])

    def test_parse_names_line_and_allowed_keys(self) -> None:
        cases = {
            FLEET.replace("tier: 0", "tire: 0"): r"f:13: tire: unknown key; allowed: .*tier",
            FLEET.replace("tier: 0", "tier: 9"): r"f:13: tier: .*must be <= 3",
            FLEET.replace("tier: 0", "tier: high"): r"f:13: tier.*must be of type int",
            FLEET.replace("backend: engine", "backend: gpu"): r"f:5: backend.*engine, service",
            FLEET.replace("kind: class", "kind: klass"): r"f:9: kind.*customer, class, group",
            FLEET.replace("name: quote", "name: Quote!"): r"f:10: name: must match",
            FLEET.replace("name: quote\n", ""): r"f:9: missing keys: name",
            FLEET
            + "---\nkind: class\nname: quote\nschema_version: 2\n": r"f:22: .*first on line 9",
            "kind: class\nkind: class\n": r"f:2: kind: key given twice",
            "a: [": r"f: not YAML",
            "": r"f: contains no record",
        }
        for text, message in cases.items():
            with self.subTest(message), self.assertRaisesRegex(SettingsInvalid, message):
                parse_documents(text, source="f")

    def test_parse_newer_version_is_refused(self) -> None:
        with self.assertRaisesRegex(SettingsInvalid, "must be 1 to 2; .*newer boragetiller"):
            make_document("class", "quote", version=3)

    def test_parse_key_must_be_a_hash(self) -> None:
        with self.assertRaisesRegex(SettingsInvalid, "key_hashes"):
            make_document("customer", "morgun", key_hashes=["secret"])

    def test_schema_versions_rename_add_and_remove_fields(self) -> None:
        old = make_document("class", "quote", version=1, first_token_ms=500)
        new = make_document("class", "quote", version=2, first_token_target_ms=500)
        self.assertEqual(old.fields, new.fields)
        with self.assertRaisesRegex(SettingsInvalid, "between_tokens_target_ms: unknown key"):
            make_document("class", "quote", version=1, between_tokens_target_ms=40)
        with self.assertRaisesRegex(SettingsInvalid, "contact: unknown key"):
            make_document("customer", "morgun", version=2, contact="x")

    def test_build_document_round_trip_in_both_versions(self) -> None:
        for kind in RecordKind:
            for version in (1, 2):
                document = make_document(kind.value, "x", version, **_build_required_fields(kind))
                record = StoredRecord(
                    schema_version=version,
                    revision=4,
                    fields=document.fields,
                    history=[HISTORY_ENTRY],
                )
                shown = build_document(kind, "x", record, schema_version=version)
                again = parse_documents(format_document(shown))[0]
                self.assertEqual((again.base_revision, again.base_write), (4, "w4"))
                self.assertLessEqual(document.fields.items(), again.fields.items())
                names = {s.stored_name for s in FIELDS[kind] if s.in_version(version)}
                self.assertEqual(set(again.fields), {*names, "absent"})

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.text(max_size=80))
    def test_parse_of_any_text_raises_only_settings_invalid(self, text: str) -> None:
        _parse_or_check_code(text)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from(["kind", "name", "schema_version", "tier", "group", "members", "x"]),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.floats()
                | st.sampled_from(["class", "group", "customer", "a"]),
                lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
                max_leaves=5,
            ),
        )
    )
    def test_parse_of_any_mapping_raises_only_settings_invalid(
        self, body: dict[str, object]
    ) -> None:
        _parse_or_check_code(yaml.safe_dump(body))


def _parse_or_check_code(text: str) -> None:
    try:
        parse_documents(text)
    except SettingsInvalid as error:
        assert error.code == "settings_invalid"


def _build_required_fields(kind: RecordKind) -> dict[str, str]:
    return {"group": "tiller-pool"} if kind is RecordKind.CLASS else {}


class UnusableValuesTest(unittest.TestCase):
    """Values that YAML can write and that could not be calculated with, stored or sent."""

    def test_parse_refuses_unusable_values(self) -> None:
        # Guards against an OverflowError without line and key, and against infinity in force.
        values = ("9" * 400, "9" * 5_000, ".inf", ".nan", '"a\\ud800"', "1000000001")
        for value in values:
            for field in ("weight", "deadline_ms", "group"):
                text = f"kind: class\nname: q\nschema_version: 2\n{field}: {value}\n"
                case = self.subTest(field=field, value=value[:20])
                with case, self.assertRaises(SettingsInvalid):
                    parse_documents(text)
        shards = "kind: group\nname: q\nschema_version: 2\nshards: 65537\n"
        with self.assertRaises(SettingsInvalid):
            parse_documents(shards)


if __name__ == "__main__":
    unittest.main()
