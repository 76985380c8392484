"""Tests that docs/RECORDS.md agrees with the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from boragetiller.records.documents import parse_documents
from boragetiller.records.schema import FIELDS, RecordKind, get_field_default
from tests.records.samples import make_document

PAGE = (Path(__file__).parents[2] / "docs" / "RECORDS.md").read_text(encoding="utf-8")
ROW = re.compile(r"^\| `(\w+)` \|[^|]*\|[^|]*\| ([^|]+) \| (\d)( only)? \| ", re.MULTILINE)


class RecordsPageTest(unittest.TestCase):
    """Tables of fields, and examples."""

    def test_each_field_has_a_row_with_default_and_version(self) -> None:
        for kind in RecordKind:
            section = PAGE.split(f"\n## {kind.value}\n")[1].split("\n## ")[0]
            rows = {name: (default, int(since)) for name, default, since, _ in ROW.findall(section)}
            specs = {
                spec.get_document_name(1 if spec.removed_in_version else 2): spec
                for spec in FIELDS[kind]
            }
            self.assertEqual(set(rows), set(specs))
            for name, (default, since) in rows.items():
                with self.subTest(f"{kind.value}.{name}"):
                    self.assertEqual(default, _format_default(get_field_default(kind, specs[name])))
                    self.assertEqual(since, specs[name].since_version)

    def test_examples_are_valid(self) -> None:
        blocks = re.findall(r"```yaml\n(.*?)```", PAGE, re.DOTALL)
        self.assertEqual([len(parse_documents(block)) for block in blocks], [6, 5, 1])

    def test_documented_field_rename_holds(self) -> None:
        old = make_document("class", "c", 1, first_token_ms=500)
        new = make_document("class", "c", 2, first_token_target_ms=500)
        self.assertEqual(old.fields, new.fields)


def _format_default(default: object) -> str:
    if default is None:
        return "required"
    if default in ("", []):
        return "empty"
    if isinstance(default, bool):
        return str(default).lower()
    return ", ".join(default) if isinstance(default, list) else str(default)


if __name__ == "__main__":
    unittest.main()
