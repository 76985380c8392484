"""Tests of the clocks."""

from __future__ import annotations

import unittest

from boragetiller.clock import ManualClock, SystemClock


class ClockTest(unittest.TestCase):
    """The manual and the system clock."""

    def test_manual_clock_advances(self) -> None:
        clock = ManualClock(5)
        clock.advance(10)
        self.assertEqual(clock.now_ms(), 15)

    def test_system_clock_is_monotonic(self) -> None:
        clock = SystemClock()
        self.assertLessEqual(clock.now_ms(), clock.now_ms())


if __name__ == "__main__":
    unittest.main()
