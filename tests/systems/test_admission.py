"""Tests of admission: order, limits, refusal, aging and preemption."""

from __future__ import annotations

import unittest

from boragetiller.settings import AdmissionSettings
from boragetiller.systems import admission
from boragetiller.tables.admission_actions import RefuseWork
from boragetiller.tables.agent_work import WorkItem, WorkTable
from boragetiller.verdict import Verdict
from tests.systems.work_items import make_item, preempted, refused, started


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = WorkTable()
        self.settings = AdmissionSettings(
            initial_running=2,
            max_running=4,
            max_queued=4,
            aging_interval_ms=1_000,
            preempt_slack_ms=250,
        )
        self.now_ms = 0

    def submit(self, item: WorkItem) -> list:
        item.arrived_ms = self.now_ms
        return admission.submit(self.table, item, self.settings, self.now_ms)

    def finish(self, request_id: str) -> list:
        return admission.finish(self.table, request_id, self.settings, self.now_ms)

    def fill(self, **fields: object) -> list[str]:
        items = [make_item(2, **fields) for _ in range(2)]
        for item in items:
            self.submit(item)
        return [item.request_id for item in items]

    def test_submit_starts_up_to_limit(self) -> None:
        items = [make_item() for _ in range(3)]
        actions = [started(self.submit(item)) for item in items]
        self.assertEqual(actions, [[items[0].request_id], [items[1].request_id], []])

    def test_submit_upper_tier_starts_first(self) -> None:
        running = self.fill()
        self.submit(make_item(3))
        upper = make_item(0)
        self.submit(upper)
        self.assertEqual(started(self.finish(running[0])), [upper.request_id])

    def test_submit_burst_of_one_customer_does_not_delay_another(self) -> None:
        running = self.fill(customer="big")
        for _ in range(3):
            self.submit(make_item(1, "big"))
        first = started(self.finish(running[0]))[0]
        admission.record_tokens(self.table, first, self.now_ms, count=2_000)
        other = make_item(1, "small")
        self.submit(other)
        self.assertEqual(started(self.finish(first)), [other.request_id])

    def test_submit_at_bound_refuses_not_run_with_retry_after(self) -> None:
        self.fill()
        for _ in range(5):
            self.submit(make_item(2))
        (action,) = self.submit(make_item(2))
        self.assertIsInstance(action, RefuseWork)
        self.assertIs(action.error.verdict, Verdict.NOT_RUN)
        self.assertGreaterEqual(action.error.retry_after_s, 1)

    def test_submit_at_bound_drops_newest_of_lowest_tier(self) -> None:
        self.fill()
        low = [make_item(3) for _ in range(3)]
        for item in [*low, make_item(2), make_item(2), make_item(2)]:
            self.submit(item)
        self.assertEqual(refused(self.submit(make_item(0))), [])
        self.assertEqual(refused(self.submit(make_item(0))), [low[2].request_id])

    def test_submit_at_bound_drops_longest_queue_of_same_tier(self) -> None:
        self.fill()
        burst = [make_item(2, "big") for _ in range(5)]
        for item in burst:
            self.submit(item)
        self.assertEqual(refused(self.submit(make_item(2, "small"))), [burst[4].request_id])

    def test_submit_protected_at_bound_preempts_running_lower_tier(self) -> None:
        running = self.fill(preemptible=True)
        for _ in range(5):
            self.submit(make_item(0))
        actions = self.submit(make_item(0))
        self.assertEqual((preempted(actions), refused(actions)), ([running[1]], []))

    def test_submit_protected_at_bound_preempts_before_it_drops_protected(self) -> None:
        running = self.fill(preemptible=True)
        for item in [*(make_item(1, protected=True) for _ in range(5)), make_item(0)]:
            self.submit(item)
        actions = self.submit(make_item(0))
        self.assertEqual((preempted(actions), refused(actions)), ([running[1]], []))

    def test_submit_refuses_lower_tier_that_would_miss_deadline(self) -> None:
        running = self.fill()
        self.now_ms = 20_000
        self.finish(running[0])
        self.submit(make_item(2))
        self.submit(make_item(2))
        infeasible = make_item(2, deadline_ms=self.now_ms + 5_000)
        self.assertEqual(refused(self.submit(infeasible)), [infeasible.request_id])
        protected = make_item(0, deadline_ms=self.now_ms + 5_000)
        self.submit(protected)
        second = make_item(0, deadline_ms=self.now_ms + 5_000)
        self.assertEqual(refused(self.submit(second)), [])

    def test_run_tick_refuses_only_unprotected_past_deadline(self) -> None:
        self.fill()
        low = make_item(2, deadline_ms=500)
        self.submit(low)
        self.submit(make_item(0, deadline_ms=500))
        actions = admission.run_tick(self.table, self.settings, 500)
        self.assertEqual(refused(actions), [low.request_id])

    def test_run_tick_ages_lowest_tier_beyond_limit(self) -> None:
        for _ in range(4):
            self.submit(make_item(0))
        low = make_item(3)
        self.submit(low)
        self.now_ms = 999
        self.assertEqual(started(admission.run_tick(self.table, self.settings, 999)), [])
        self.submit(make_item(0))
        started_ids = []
        for now_ms in (1_000, 2_000):
            started_ids += started(admission.run_tick(self.table, self.settings, now_ms))
        self.assertIn(low.request_id, started_ids)

    def test_run_tick_preempts_newest_of_lowest_tier_when_protected_is_urgent(self) -> None:
        running = self.fill(preemptible=True)
        self.submit(make_item(0))
        self.assertEqual(admission.run_tick(self.table, self.settings, 400), [])
        actions = admission.run_tick(self.table, self.settings, 500)
        self.assertEqual(preempted(actions), [running[1]])
        self.assertEqual(preempted(admission.run_tick(self.table, self.settings, 550)), [])

    def test_run_tick_preempts_neither_protected_nor_nonpreemptible(self) -> None:
        self.submit(make_item(2, protected=True, preemptible=True))
        self.submit(make_item(3, preemptible=False))
        self.submit(make_item(0))
        self.assertEqual(preempted(admission.run_tick(self.table, self.settings, 600)), [])

    def test_nonpreemptible_lower_tier_leaves_slots_for_protected(self) -> None:
        self.settings = AdmissionSettings(initial_running=4)
        self.submit(make_item(0))
        has_started = [bool(started(self.submit(make_item(3)))) for _ in range(4)]
        self.assertEqual(has_started, [True, True, True, False])

    def test_finish_of_queued_request_clears_table(self) -> None:
        running = self.fill()
        item = make_item(1)
        self.submit(item)
        self.finish(item.request_id)
        for request_id in running:
            self.finish(request_id)
        self.assertEqual((self.table.queued, self.table.running), ({}, {}))
        self.assertEqual(self.table.backlogged_classes, 0)

    def test_cancelled_requests_do_not_accumulate_in_queues(self) -> None:
        self.fill()
        self.submit(make_item(2, deadline_ms=10**9))
        for _ in range(500):
            item = make_item(2, deadline_ms=10**9)
            self.submit(item)
            self.finish(item.request_id)
        queue = self.table.tiers[2].classes["t2"]
        kept = (
            len(queue.order_heap) + len(queue.customers["c1"].items) + len(self.table.expiry_heap)
        )
        self.assertLess(kept, 100)

    def test_overdue_requests_start_after_on_time_ones_but_keep_a_share(self) -> None:
        running = self.fill()
        overdue = [make_item(1) for _ in range(2)]
        for item in overdue:
            self.submit(item)
        self.now_ms = 900
        on_time = make_item(1)
        self.submit(on_time)
        self.assertEqual(started(self.finish(running[0])), [on_time.request_id])
        self.assertEqual(started(self.finish(running[1])), [overdue[0].request_id])


class ConcurrencyTest(unittest.TestCase):
    def run_windows(self, gap_ms: int, windows: int) -> float:
        table = WorkTable()
        settings = AdmissionSettings(initial_running=8, max_running=16, limit_min_gaps=4)
        items = [make_item(1, preemptible=True) for _ in range(20)]
        for item in items:
            admission.submit(table, item, settings, 0)
        for now_ms in range(0, windows * 250 + 1, gap_ms):
            for request_id in list(table.running):
                admission.record_tokens(table, request_id, now_ms)
            admission.run_tick(table, settings, now_ms)
        return table.max_running

    def test_limit_grows_while_gaps_are_short(self) -> None:
        self.assertEqual(self.run_windows(gap_ms=20, windows=20), 16)

    def test_limit_shrinks_when_gaps_are_long(self) -> None:
        self.assertEqual(self.run_windows(gap_ms=120, windows=40), 2)


if __name__ == "__main__":
    unittest.main()
