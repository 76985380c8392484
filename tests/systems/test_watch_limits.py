"""Tests of the time limits of watches."""

from __future__ import annotations

import unittest

from boragetiller.systems.watch_limits import WATCH_MARGIN_MS, compute_watch_wait_ms


class WatchLimitTest(unittest.TestCase):
    def test_watch_that_is_never_answered_fails_by_the_deadline(self) -> None:
        for deadline_ms in (1_000, 2_000, 4_000):
            for jitter in (0.0, 0.5, 1.0):
                wait_ms = compute_watch_wait_ms(deadline_ms, jitter)
                self.assertLessEqual(wait_ms + WATCH_MARGIN_MS, deadline_ms)

    def test_watches_that_begin_together_end_apart(self) -> None:
        self.assertLess(compute_watch_wait_ms(2_000, 1.0), compute_watch_wait_ms(2_000, 0.0))

    def test_shortest_deadline_still_leaves_a_wait(self) -> None:
        self.assertGreater(compute_watch_wait_ms(100, 1.0), 0)


if __name__ == "__main__":
    unittest.main()
