"""Tests of usage reports over several routers in virtual time, with failures between each step."""

from __future__ import annotations

import unittest
from collections import Counter

from bench.usage_fleet import EPOCH_MS, SETTINGS, Fleet
from boragetiller.systems.duties.usage_reports import WINDOWS_PREFIX
from boragetiller.tables.direct_attempts import CallProgress
from boragetiller.tables.usage import ClosedWindow, RouterStart, UsageCursor


class UsageReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()

    def assert_exact(self, windows: range) -> None:
        """Check that each window was reported in time, once, and with the true counts."""
        self.assertEqual(self.fleet.api.conflicts, [])
        for number in windows:
            truth = dict(self.fleet.truth.get(number, Counter()))
            self.assertEqual(self.fleet.reported(number), truth, f"window {number}")
            self.assertLess(self.fleet.received_after_ms(number), SETTINGS.late_ms)

    def test_each_window_is_exact_for_each_customer(self) -> None:
        self.fleet.run(62)
        self.assert_exact(range(12))
        after_ms = [self.fleet.received_after_ms(number) for number in range(11)]
        self.assertLessEqual(max(after_ms), 1_800)  # not late, since all routers reported
        self.assertEqual(self.fleet.api.repeats, 0)

    def test_old_windows_are_removed_from_the_store(self) -> None:
        self.fleet.run(40)
        self.fleet.elect("b")
        self.fleet.run(60)
        stored = [key for key in self.fleet.store.items if key.startswith(WINDOWS_PREFIX)]
        self.assertLessEqual(len(stored), SETTINGS.kept_windows + 2)

    def test_window_without_requests_is_reported(self) -> None:
        self.fleet.rates_per_s = {}
        self.fleet.run(12)
        self.assertEqual(self.fleet.reported(0), {})

    def test_request_counts_once_over_retries_and_hedges(self) -> None:
        self.fleet.rates_per_s = {}
        progress = CallProgress(repeatable=True, max_servers=2)
        for _ in range(3):
            self.fleet.routers["b"].serve("small", progress)
        self.fleet.run(8)
        self.assertEqual(self.fleet.reported(0), {"small": 1})

    def test_successor_sends_the_counts_that_a_killed_holder_stored(self) -> None:
        # Guards against two reports of a window with different counts.
        self.fleet.run_to(3, 0)
        self.fleet.api.mode = "silent"
        self.fleet.run_to(3, 1_900)  # window 2 is stored and not sent
        self.fleet.kill("a")
        self.fleet.run(3)
        self.fleet.api.mode = "ok"
        self.fleet.elect("b")
        self.fleet.run_to(6, 0)
        self.assert_exact(range(3))

    def test_successor_repeats_the_last_report_of_a_killed_holder(self) -> None:
        self.fleet.run_to(3, 0)
        self.fleet.api.mode = "lost"
        self.fleet.run_to(3, 1_700)  # the report has arrived, its answer was lost
        self.fleet.kill("a")
        self.fleet.api.mode = "ok"
        self.fleet.elect("b")
        self.fleet.run(2)
        self.assertGreaterEqual(self.fleet.api.repeats, 1)
        self.assert_exact(range(3))

    def test_lost_answer_to_a_transaction(self) -> None:
        # Guards against a window that is never sent since its key exists.
        self.fleet.run_to(2, 0)
        self.fleet.store.lost_answers = 2
        self.fleet.run_to(5, 0)
        self.assert_exact(range(4))

    def test_deposed_holder_stores_nothing(self) -> None:
        self.fleet.run_to(2, 0)
        old = self.fleet.routers["a"]
        holding = old.holding
        self.fleet.elect("b")
        self.fleet.routers["b"].holding = None
        old.holding = holding  # it has not noticed yet
        self.fleet.run_to(4, 0)
        stored = [key for key in self.fleet.store.items if key.startswith(WINDOWS_PREFIX)]
        self.assertEqual(stored, [f"{WINDOWS_PREFIX}{self.number(0)}"])
        self.assertIsNone(self.fleet.reported(1))

    def test_counts_after_the_close_are_dropped_and_counted(self) -> None:
        self.fleet.run_to(2, 0)
        self.fleet.cut.add("c")
        self.fleet.run_to(3, 5_200)  # window 2 closes without the counts of c
        self.fleet.heal()
        self.fleet.run(12)
        reported = self.fleet.reported(2)
        assert reported is not None
        missing = self.fleet.truth[2]["large"] - reported["large"]
        self.assertGreater(missing, 0)
        dropped = self.fleet.routers["a"].metrics.dropped
        self.assertGreaterEqual(dropped._value.get(), missing)
        self.assertEqual(self.fleet.api.conflicts, [])

    def test_short_cut_of_a_router_costs_no_counts(self) -> None:
        self.fleet.run_to(2, 4_000)
        self.fleet.cut.add("c")
        self.fleet.run_to(3, 3_000)
        self.fleet.heal()
        self.fleet.run_to(6, 0)
        self.assert_exact(range(4))

    def test_wall_clock_of_one_of_three_jumps(self) -> None:
        # Guards against requests in another window at one router, also at the reporting one.
        for name, error_ms in (("a", 4_000), ("b", -7_000)):
            with self.subTest(name):
                self.setUp()
                self.fleet.run_to(2, 2_000)
                self.fleet.routers[name].wall.error_ms = error_ms
                self.fleet.run_to(8, 0)
                self.assert_exact(range(6))

    def test_wall_clock_of_a_single_router_jumps(self) -> None:
        self.fleet = Fleet(("a",))
        self.fleet.run_to(2, 2_000)
        self.fleet.routers["a"].wall.error_ms = -3_000
        self.fleet.run_to(6, 0)
        self.assert_exact(range(4))

    def test_store_away_for_ten_seconds(self) -> None:
        # Only the window whose report was due in that time may be lost, and none if it is shorter.
        for away_s, lost in ((8, set()), (10, {2})):
            with self.subTest(away_s=away_s):
                self.setUp()
                self.fleet.run_to(3, 0)
                self.fleet.store.is_down = True
                self.fleet.run(away_s)
                self.fleet.store.is_down = False
                self.fleet.run(12)
                found = {number for number in range(5) if self.fleet.reported(number) is None}
                self.assertEqual(found, lost)
                for number in set(range(5)) - lost:
                    self.assert_exact(range(number, number + 1))

    def test_last_counts_of_a_killed_router_are_used(self) -> None:
        self.fleet.run_to(2, 3_000)
        self.fleet.kill("c")
        self.fleet.run_to(5, 0)
        reported = self.fleet.reported(2)
        assert reported is not None
        lost = self.fleet.truth[2]["large"] - reported["large"]
        self.assertLessEqual(lost, 12)  # of 40 requests per second, what c counted in 0.6 s
        self.assertGreater(reported["large"], 150)

    def test_router_that_stops_in_order_hands_over_all_counts(self) -> None:
        self.fleet.run_to(2, 3_040)
        self.fleet.stop("c")
        self.fleet.run_to(5, 0)
        self.assert_exact(range(4))
        self.assertLess(self.fleet.received_after_ms(2), 1_900)  # nobody waits for it

    def test_counts_of_a_killed_router_reach_one_that_starts_later(self) -> None:
        self.fleet.run_to(2, 3_000)
        self.fleet.rates_per_s = {}
        self.fleet.run(1)
        self.fleet.kill("c")
        self.fleet.add("d")
        self.fleet.run(0.2)
        self.fleet.elect("d")
        self.fleet.run_to(5, 0)
        self.assert_exact(range(4))

    def test_successor_that_starts_after_the_window_has_ended(self) -> None:
        # Guards against the loss of a window that the killed holder had not stored.
        self.fleet.run_to(3, 400)
        self.fleet.kill("a")
        self.fleet.rates_per_s = {}
        self.fleet.add("d")
        self.fleet.run(0.1)
        self.fleet.elect("d")
        self.fleet.run_to(5, 0)
        self.assert_exact(range(3))
        dropped = self.fleet.routers["d"].metrics.dropped
        self.assertEqual(dropped._value.get(), 0)

    def test_restarted_single_router_does_not_report_what_it_has_not_counted(self) -> None:
        self.fleet = Fleet(("a",))
        self.fleet.run_to(2, 3_000)
        self.fleet.kill("a")
        self.fleet.add("a")
        self.fleet.elect("a")
        self.fleet.run_to(6, 0)
        self.assertIsNone(self.fleet.reported(2))
        self.assert_exact(range(3, 4))
        lost = self.fleet.routers["a"].metrics.windows.labels("not_counted")
        self.assertGreaterEqual(lost._value.get(), 1)

    def test_busy_and_silent_api(self) -> None:
        for mode in ("busy", "silent", "lost"):
            with self.subTest(mode):
                self.setUp()
                self.fleet.run_to(2, 0)
                self.fleet.api.mode = mode
                calls = self.fleet.api.calls
                self.fleet.run(7)
                self.assertLessEqual(self.fleet.api.calls - calls, 14)  # not one each 200 ms
                self.fleet.api.mode = "ok"
                self.fleet.run_to(6, 0)
                self.assert_exact(range(4))

    def test_window_that_is_too_late_is_logged_and_not_sent(self) -> None:
        self.fleet.run_to(2, 0)
        self.fleet.api.mode = "silent"
        self.fleet.run(17)
        self.fleet.api.mode = "ok"
        self.fleet.run(6)
        self.assertIsNone(self.fleet.reported(1))
        late = self.fleet.routers["a"].metrics.windows.labels("too_late")
        self.assertGreaterEqual(late._value.get(), 1)

    def test_restored_store_changes_no_report(self) -> None:
        # Guards against another sum for a window that a restored copy of the store lacks.
        self.fleet.run_to(3, 2_000)
        window = self.fleet.routers["b"].counter.windows.windows[self.number(2)]
        window.closed = ClosedWindow(window_no=self.number(2), counts={"large": 1})
        self.fleet.elect("b")
        self.fleet.run(0.4)
        for key in [key for key in self.fleet.store.items if key.startswith(WINDOWS_PREFIX)]:
            del self.fleet.store.items[key]
        self.fleet.elect("b")
        self.fleet.run_to(6, 0)
        self.assert_exact(range(4))
        self.assertGreater(self.fleet.api.repeats, 1)

    def test_unreadable_entry_blocks_no_later_window(self) -> None:
        self.fleet.run_to(2, 0)
        self.fleet.store.put(f"{WINDOWS_PREFIX}{self.number(2)}", b"[]")
        self.fleet.run_to(6, 0)
        self.assertIsNone(self.fleet.reported(2))
        self.assert_exact(range(3, 5))

    def test_stored_window_of_the_future_blocks_no_report(self) -> None:
        # Guards against reports that end when windows become longer, so that their numbers fall.
        key = f"{WINDOWS_PREFIX}{self.number(1_000_000)}"
        self.fleet.store.put(key, b'{"counts": {"small": 1}, "sent": []}')
        self.fleet.run_to(4, 0)
        self.assert_exact(range(3))
        self.assertIsNone(self.fleet.reported(1_000_000))

    def test_counts_of_a_restarted_router_reach_one_that_starts_after_it(self) -> None:
        # Guards against a sum without the counts of an earlier incarnation.
        self.fleet.run(2)
        before = self.fleet.routers["c"].counter.windows.own
        self.fleet.kill("c")
        self.fleet.add("c")
        self.fleet.run(1)
        entries = self.fleet.routers["a"].counter.build_entries(UsageCursor())
        sent = [RouterStart(entry.router, entry.incarnation) for entry in entries]
        self.assertIn(before, sent)
        self.assertNotIn(self.fleet.routers["c"].counter.windows.own, sent)

    def number(self, window_no: int) -> int:
        """:return: number of a window since 1970"""
        return window_no + EPOCH_MS // SETTINGS.window_ms


if __name__ == "__main__":
    unittest.main()
