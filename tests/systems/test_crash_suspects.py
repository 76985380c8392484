"""Which requests can have crashed their engine."""

from __future__ import annotations

import unittest

from boragetiller.systems.crash_suspects import (
    START_MS,
    WEAK_WEIGHT,
    find_suspect,
    has_survived_start,
)
from boragetiller.tables.direct_attempts import ResponseProgress
from tests.systems.test_part_quarantine import make_prompt, make_suspect


class FindSuspectTest(unittest.TestCase):
    def test_request_without_a_response_header_is_no_suspect(self) -> None:
        self.assertIsNone(find_suspect(make_prompt("a"), ResponseProgress(), 5_000))

    def test_request_that_has_been_written_for_long_is_no_suspect(self) -> None:
        progress = ResponseProgress(started_ms=1_000, events=3)
        self.assertIsNone(find_suspect(make_prompt("a"), progress, 1_000 + START_MS))
        self.assertTrue(has_survived_start(progress, 1_000 + START_MS))

    def test_each_running_request_is_a_suspect_or_has_survived_its_start(self) -> None:
        for age_ms in (0, START_MS - 1, START_MS, 5 * START_MS):
            for events in (0, 1):
                progress = ResponseProgress(started_ms=0, events=events)
                suspect = find_suspect(make_prompt("a"), progress, age_ms)
                self.assertNotEqual(suspect is None, not has_survived_start(progress, age_ms))

    def test_last_part_is_never_suspected(self) -> None:
        progress = ResponseProgress(started_ms=0)
        self.assertEqual(find_suspect(make_prompt("a", "b"), progress, 10), make_suspect("a", "b"))
        self.assertIsNone(find_suspect(make_prompt(), progress, 10))

    def test_request_with_events_is_suspected_less(self) -> None:
        suspect = find_suspect(make_prompt("a"), ResponseProgress(started_ms=0, events=1), 10)
        self.assertEqual(suspect, make_suspect("a", weight=WEAK_WEIGHT))


if __name__ == "__main__":
    unittest.main()
