"""Tests of the retry budget and of customers' rate limits."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.records.model import Customer
from boragetiller.settings import PlacementSettings
from boragetiller.systems import rate_limits, retry_budget
from boragetiller.tables.rate_limits import RateLimitTable
from boragetiller.tables.retry_budget import RetryBudget
from boragetiller.verdict import Verdict


class RetryBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = PlacementSettings(retry_burst=5)
        self.budget = RetryBudget()

    def test_withdraw_is_refused_when_exhausted_and_counted_by_reason(self) -> None:
        sent = [
            retry_budget.withdraw(self.budget, "lost", self.settings, essential=True)
            for _ in range(7)
        ]
        self.assertEqual(sent, [True] * 5 + [False] * 2)
        self.assertEqual((self.budget.retried["lost"], self.budget.refused["lost"]), (5, 2))

    def test_withdraw_reserves_a_share_for_essential_retries(self) -> None:
        settings = PlacementSettings(retry_burst=10)
        sent = [retry_budget.withdraw(self.budget, "overloaded", settings) for _ in range(7)]
        self.assertEqual(sent, [True] * 5 + [False] * 2)
        self.assertTrue(retry_budget.withdraw(self.budget, "lost", settings, essential=True))

    def test_deposit_adds_the_retry_share(self) -> None:
        self.budget.tokens = 0.0
        for _ in range(95):
            retry_budget.deposit(self.budget, self.settings)
        self.assertAlmostEqual(self.budget.tokens, 5.0)

    def test_retry_delay_increases_to_its_maximum(self) -> None:
        delays = [retry_budget.retry_delay_ms(n, self.settings, Random(1)) for n in (1, 3, 20)]
        self.assertTrue(10 <= delays[0] <= 20 and 40 <= delays[1] <= 80)
        self.assertTrue(500 <= delays[2] <= 1_000)


class RateLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = PlacementSettings()
        self.customer = Customer(name="c", max_concurrent=30, requests_per_s=30.0)
        self.tables = [RateLimitTable(routers=3) for _ in range(3)]

    def admit(self, table: RateLimitTable, count: int, now_ms: int) -> int:
        admitted = 0
        for _ in range(count):
            error = rate_limits.admit(table, self.customer, self.settings, now_ms)
            admitted += error is None
        return admitted

    def shares(self, now_ms: int) -> float:
        return sum(
            rate_limits.compute_current_share(t, t.usage["c"], now_ms)
            for t in self.tables
            if t.usage
        )

    def test_admit_concurrency_holds_across_routers(self) -> None:
        self.assertEqual(sum(self.admit(table, 100, 0) for table in self.tables), 30)

    def test_admit_refusal_is_not_run_with_retry_after(self) -> None:
        self.admit(self.tables[0], 100, 0)
        error = rate_limits.admit(self.tables[0], self.customer, self.settings, 0)
        self.assertIs(error.verdict, Verdict.NOT_RUN)
        self.assertGreaterEqual(error.retry_after_s, 1)

    def test_admit_rate_holds_across_routers(self) -> None:
        self.customer = Customer(name="c", max_concurrent=10_000, requests_per_s=30.0)
        admitted = sum(self.admit(t, 100, s * 1_000) for t in self.tables for s in range(11))
        self.assertLessEqual(admitted, 30 * 10 + 30 * 2)

    def test_loan_moves_share_without_exceeding_the_limit(self) -> None:
        lender, borrower = self.tables[0], self.tables[1]
        for table in self.tables:
            self.admit(table, 1, 0)
        granted = rate_limits.lend_share(lender, self.customer, 0.3, self.settings, 100)
        self.assertGreater(granted, 0)
        rate_limits.borrow_share(borrower, "c", granted, 0, self.settings)
        self.assertAlmostEqual(self.shares(200), 1.0)
        self.assertGreater(self.admit(borrower, 100, 200), 9)
        self.assertTrue(all(self.shares(now_ms) <= 1.0 + 1e-9 for now_ms in range(0, 9_000, 50)))
        self.assertAlmostEqual(self.shares(7_000), 1.0)

    def test_release_frees_a_concurrent_request(self) -> None:
        self.admit(self.tables[0], 100, 0)
        rate_limits.release(self.tables[0], "c", self.settings, 0)
        self.assertEqual(self.admit(self.tables[0], 2, 1_000), 1)

    @settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),  # lender
                st.integers(1, 2),  # borrower, counted from the lender
                st.floats(0.01, 1.0),  # share requested
                st.integers(0, 2_500),  # delay of the request in ms
                st.integers(0, 8_000),  # delay of the response in ms
                st.integers(0, 4_000),  # time until the next request in ms
                st.integers(0, 12),  # requests that the lender admits before
            ),
            max_size=12,
        )
    )
    def test_shares_never_add_up_to_more_under_any_delay(
        self, loans: list[tuple[int, int, float, int, int, int, int]]
    ) -> None:
        self.setUp()
        now_ms = 0
        arrivals: list[tuple[int, int, float, int]] = []
        for lender, step, share, request_ms, response_ms, pause_ms, running in loans:
            borrower = (lender + step) % 3
            self.admit(self.tables[lender], running, now_ms)
            granted_ms = now_ms + request_ms
            granted = rate_limits.lend_share(
                self.tables[lender], self.customer, share, self.settings, granted_ms
            )
            arrivals.append((granted_ms + response_ms, borrower, granted, now_ms))
            end_ms = granted_ms + pause_ms
            for _, to, amount, requested_ms in sorted(a for a in arrivals if a[0] <= end_ms):
                rate_limits.borrow_share(self.tables[to], "c", amount, requested_ms, self.settings)
            arrivals = [a for a in arrivals if a[0] > end_ms]
            now_ms = end_ms
            held = [
                (
                    rate_limits.compute_current_share(t, t.usage["c"], now_ms)
                    if "c" in t.usage
                    else 1 / 3
                )
                for t in self.tables
            ]
            self.assertLessEqual(sum(held), 1.0 + 1e-9)
            self.assertGreaterEqual(min(held), 0.0)


if __name__ == "__main__":
    unittest.main()
