"""The true time while some of the clocks of the routers are wrong."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.systems.duties.true_time import (
    JUMP_HOLD_MS,
    PEER_CLOCK_TTL_MS,
    TOLERANCE_MS,
    compute_true_time,
    record_peer_clock,
)
from boragetiller.tables.usage import TrueTime

if TYPE_CHECKING:
    import random

EPOCH_MS = 1_800_000_000_000


class TrueTimeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.time = TrueTime()

    def hear(self, now_ms: int, **errors_ms: int) -> None:
        for peer, error_ms in errors_ms.items():
            record_peer_clock(self.time, peer, EPOCH_MS + now_ms + error_ms, now_ms)

    def error_ms(self, now_ms: int, own_error_ms: int) -> int:
        wall_ms = EPOCH_MS + now_ms + own_error_ms
        return compute_true_time(self.time, wall_ms, now_ms) - EPOCH_MS - now_ms

    def test_delay_of_reports_does_not_move_the_time(self) -> None:
        self.hear(1_000, b=-40, c=-60)
        self.assertEqual(self.error_ms(1_000, 0), 0)
        self.assertEqual(self.error_ms(1_100, 5_000), 0)  # the own clock has jumped

    def test_one_of_two_clocks_jumps(self) -> None:
        self.hear(1_000, b=0)
        self.error_ms(1_000, 0)
        self.assertEqual(self.error_ms(1_500, 5_000), 0)
        for now_ms in range(2_000, 6_000, 500):
            self.hear(now_ms, b=-9_000)
            self.assertEqual(self.error_ms(now_ms, 0), 0)

    def test_jump_of_the_only_clock_is_followed_late(self) -> None:
        self.error_ms(0, 0)
        self.assertEqual(self.error_ms(1_000, 3_000), 0)
        self.assertEqual(self.error_ms(1_000 + JUMP_HOLD_MS, 3_000), 3_000)

    def test_silent_peers_do_not_vote(self) -> None:
        self.hear(0, b=-4_000, c=-4_000)
        self.assertEqual(self.error_ms(0, 0), -4_000)
        later_ms = PEER_CLOCK_TTL_MS + 1
        self.hear(later_ms, d=0)
        self.error_ms(later_ms, 0)
        self.assertEqual(self.time.peers.keys(), {"d"})

    @given(st.integers(3, 40), st.randoms(use_true_random=False))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_minority_of_wrong_clocks_moves_no_window(
        self, routers: int, rng: random.Random
    ) -> None:
        # Guards against windows that differ between routers while more than half are right.
        self.time = TrueTime()
        wrong = set(rng.sample(range(routers), (routers - 1) // 2))
        errors = [rng.randint(-9_000, 9_000) if i in wrong else 0 for i in range(routers)]
        self.hear(1_000, **{f"p{i}": -rng.randint(0, 50) for i in range(1, routers)})
        self.error_ms(1_000, 0)
        for now_ms in range(1_500, 5_000, 500):
            for i in range(1, routers):
                self.hear(now_ms, **{f"p{i}": errors[i] - rng.randint(0, 50)})
            self.error_ms(now_ms, errors[0])
        self.assertLessEqual(abs(self.error_ms(5_000, errors[0])), TOLERANCE_MS)


if __name__ == "__main__":
    unittest.main()
