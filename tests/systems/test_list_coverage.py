"""Whether a router has seen each version that may have begun a stream."""

from __future__ import annotations

import unittest

from boragetiller.systems.list_coverage import MAX_GAP_MS, OBSERVE_INTERVAL_MS, ListCoverage
from boragetiller.systems.watcher_election import STORE_REPORT_TTL_MS, WatcherElection
from boragetiller.tables.stream_versions import STREAM_LIFETIME_MS

DRAIN_MS = 2_000


class ListCoverageTest(unittest.TestCase):
    """Routers that were started, cut off or frozen lately are not certain of anything."""

    def setUp(self) -> None:
        self.coverage = ListCoverage()

    def follow(self, start_ms: int, end_ms: int, *, is_current: bool = True) -> None:
        """Follow the list for a time, the end excluded."""
        for now_ms in range(start_ms, end_ms, OBSERVE_INTERVAL_MS):
            self.coverage.observe(now_ms, is_current=is_current)

    def test_list_that_was_current_for_the_lifetime_of_streams_is_enough(self) -> None:
        self.follow(0, STREAM_LIFETIME_MS)
        self.assertFalse(self.coverage.covers_streams(STREAM_LIFETIME_MS - 1))
        self.assertTrue(self.coverage.covers_streams(STREAM_LIFETIME_MS))

    def test_router_that_was_cut_off_starts_again(self) -> None:
        self.follow(0, STREAM_LIFETIME_MS)
        self.follow(STREAM_LIFETIME_MS, STREAM_LIFETIME_MS + 1, is_current=False)
        back_ms = STREAM_LIFETIME_MS + OBSERVE_INTERVAL_MS
        self.follow(back_ms, back_ms + STREAM_LIFETIME_MS)
        self.assertFalse(self.coverage.covers_streams(back_ms + STREAM_LIFETIME_MS - 1))
        self.assertTrue(self.coverage.covers_streams(back_ms + STREAM_LIFETIME_MS))

    def test_router_that_was_frozen_starts_again(self) -> None:
        self.follow(0, STREAM_LIFETIME_MS + 1)
        woken_ms = STREAM_LIFETIME_MS + MAX_GAP_MS + 1
        self.assertFalse(self.coverage.covers_streams(woken_ms))
        self.coverage.observe(woken_ms, is_current=True)
        self.assertFalse(self.coverage.covers_streams(woken_ms))

    def test_list_is_current_only_shortly_after_a_contact(self) -> None:
        # Guards against a router that was cut off and has not noticed since no call has failed.
        election = WatcherElection("own", DRAIN_MS, own_store_reachable=True)
        self.assertFalse(election.has_current_list(0))
        election.own_list_ms = 0
        self.assertTrue(election.has_current_list(DRAIN_MS))
        self.assertFalse(election.has_current_list(DRAIN_MS + 1))
        election.record_peer("other", 5_000, reaches_store=True)
        self.assertTrue(election.has_current_list(5_000 + STORE_REPORT_TTL_MS - 1))
        self.assertFalse(election.has_current_list(5_000 + STORE_REPORT_TTL_MS))


if __name__ == "__main__":
    unittest.main()
