"""Tests that docs/EVENTS.md matches the events in the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from boragetiller.events import Event

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "EVENTS.md"
SOURCES = ROOT / "src" / "boragetiller"
ROW = re.compile(r"^\| (\d+) \| (\w+) \|(.*)\|$", re.MULTILINE)
LOG_CALL = r"(?:log_event|_build_line)"  # the second one writes lines without loguru
CELLS_AFTER_NAME = 3


class EventsPageTest(unittest.TestCase):
    """Events and their fields on the page and in the code."""

    def setUp(self) -> None:
        self.rows = ROW.findall(PAGE.read_text(encoding="utf-8"))

    def test_page_has_a_row_for_each_event_and_no_other(self) -> None:
        named = [(int(number), name) for number, name, _ in self.rows]
        self.assertEqual(named, sorted((event.value, event.name.lower()) for event in Event))

    def test_rows_have_a_cause_and_an_action(self) -> None:
        for number, _, rest in self.rows:
            cells = [cell.strip() for cell in re.split(r"(?<!\\)\|", rest)]
            with self.subTest(event=number):
                self.assertEqual(len(cells), CELLS_AFTER_NAME)
                self.assertTrue(cells[0])
                self.assertTrue(cells[2])

    def test_each_event_is_logged_somewhere(self) -> None:
        paths = [path for path in SOURCES.rglob("*.py") if path.name != "events.py"]
        text = "\n".join(path.read_text(encoding="utf-8") for path in paths)
        logged = set(re.findall(LOG_CALL + r"\(\s*Event\.(\w+)", text))
        self.assertEqual(logged, {event.name for event in Event})

    def test_fields_on_the_page_are_those_logged(self) -> None:
        fields = {name: set(_parse_field_names(rest)) for _, name, rest in self.rows}
        for path in SOURCES.rglob("*.py"):
            for name, logged in _find_logged_fields(path.read_text(encoding="utf-8")):
                with self.subTest(event=name, path=path.name):
                    self.assertLessEqual(logged, fields[name.lower()])


def _parse_field_names(rest: str) -> list[str]:
    return re.findall(r"\w+", rest.split("|")[1])


def _find_logged_fields(source: str) -> list[tuple[str, set[str]]]:
    found = re.findall(LOG_CALL + r"\(\s*Event\.(\w+)((?:[^()]|\([^()]*\))*)\)", source)
    return [(name, set(re.findall(r"(\w+)=", arguments))) for name, arguments in found]


if __name__ == "__main__":
    unittest.main()
