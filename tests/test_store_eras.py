"""Extended revisions, and the era that the store's responses name."""

from __future__ import annotations

import unittest

from boragetiller.errors import StoreUnavailable
from boragetiller.store_eras import (
    MAX_ERA,
    MAX_REVISION,
    StoreEraTracker,
    extend_revision,
    get_era,
    get_store_revision,
)


class ExtendedRevisionTest(unittest.TestCase):
    def test_revision_of_a_later_era_is_higher_than_all_earlier_ones(self) -> None:
        self.assertGreater(extend_revision(2, 0), extend_revision(1, MAX_REVISION))
        self.assertEqual(extend_revision(0, 7), 7)
        extended = extend_revision(3, 12)
        self.assertEqual((get_era(extended), get_store_revision(extended)), (3, 12))
        self.assertLess(extend_revision(MAX_ERA, MAX_REVISION), 1 << 63)

    def test_values_out_of_range_are_refused(self) -> None:
        for era, revision in ((0, -1), (0, MAX_REVISION + 1), (-1, 0), (MAX_ERA + 1, 0)):
            with self.subTest(era=era, revision=revision), self.assertRaises(ValueError):
                extend_revision(era, revision)


class StoreEraTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = StoreEraTracker()
        self.reasons: list[str] = []
        self.tracker.on_invalid = self.reasons.append

    def test_era_follows_the_responses(self) -> None:
        self.assertEqual(
            [self.tracker.observe(text) for text in ("4", "4", "5", "9")], [4, 4, 5, 9]
        )
        self.assertEqual(self.reasons, [])

    def test_store_without_eras_has_era_0(self) -> None:
        self.assertEqual([self.tracker.observe(None), self.tracker.observe(None)], [0, 0])
        self.assertEqual(self.reasons, [])

    def test_missing_and_malformed_headers_count_as_the_known_era(self) -> None:
        self.tracker.observe("4")
        malformed = ("", "x", "-1", "0", "5.0", " 5", "5, 5", "٥", "99999999999999999999", "5000")
        for text in (None, *malformed):
            with self.subTest(text=text):
                self.assertEqual(self.tracker.observe(text), 4)
        self.assertEqual(self.reasons, ["missing"] + ["malformed"] * len(malformed))
        self.assertEqual(self.tracker.observe("5"), 5)

    def test_response_from_before_a_restore_is_refused(self) -> None:
        self.tracker.observe("5")
        with self.assertRaises(StoreUnavailable):
            self.tracker.observe("4")
        self.assertEqual(self.reasons, ["earlier"])
        self.assertEqual(self.tracker.observe("5"), 5)


if __name__ == "__main__":
    unittest.main()
