"""Tests of routing, retry policy, retry budget, server health and response timeouts."""

from __future__ import annotations

import unittest

import attrs
from multidict import CIMultiDict

from boragetiller.errors import NotFound, Unauthorized
from boragetiller.systems.direct_retry_policy import (
    MAX_REFUSED_ATTEMPTS,
    GiveUp,
    GiveUpReason,
    Retry,
    ReturnResponse,
    decide_next_step,
    record_attempt,
)
from boragetiller.systems.response_timeouts import (
    MIN_EVENT_TIMEOUT_MS,
    compute_hedge_delay_ms,
    compute_stream_timeouts,
)
from boragetiller.systems.routing import (
    LEAST_URGENT,
    choose_group,
    compute_urgency,
    find_customer,
    find_route,
)
from boragetiller.systems.server_health import record_outcome
from boragetiller.systems.windowed_retry_budget import WindowedRetryBudget
from boragetiller.tables.direct_attempts import (
    CallProgress,
    CompleteResponse,
    DirectAttemptOutcome,
    DirectAttemptResult,
)
from boragetiller.tables.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RouteConfig,
    RouteCustomer,
    WeightedGroup,
)
from boragetiller.verdict import Verdict
from tests.systems.test_server_placement import make_server

RESPONSE = CompleteResponse(server="s", status=200, headers=CIMultiDict(), body=b"")
ERROR_RESPONSE = CompleteResponse(server="s", status=500, headers=CIMultiDict(), body=b"")
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/a/",
    kind=RequestKind.IDEMPOTENT,
    timeout_ms=1_000,
    target_ms=200,
    gap_target_ms=0,
    tier=2,
    weighted_groups=(WeightedGroup(group="g", weight=1),),
    max_attempts=2,
    public=False,
    resumable=False,
    for_engine=False,
)
NORTH = RouteCustomer(name="north", tier=0)


def make_config(*routes: Route) -> RouteConfig:
    limits = CallerLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout_ms=1, idle_timeout_ms=1
    )
    return RouteConfig(
        version=1, routes=routes, groups={}, limits=limits, customers_by_key={"k": NORTH}
    )


class RoutingTest(unittest.TestCase):
    def test_find_route_takes_the_longest_prefix_of_the_host(self) -> None:
        longer = attrs.evolve(ROUTE, name="deep", path_prefix="/a/b/")
        other_host = attrs.evolve(ROUTE, name="other", host="o", path_prefix="/a/b/c/")
        config = make_config(ROUTE, longer, other_host)
        self.assertEqual(find_route(config, "h", "/a/b/c/d").name, "deep")
        self.assertEqual(find_route(config, "h", "/a/bc").name, "r")
        with self.assertRaises(NotFound):
            find_route(config, "h", "/a")

    def test_find_customer_requires_a_known_key_unless_the_route_is_public(self) -> None:
        config = make_config(ROUTE)
        self.assertIs(find_customer(config, ROUTE, "k"), NORTH)
        for key in (None, "", "other"):
            with self.assertRaises(Unauthorized):
                find_customer(config, ROUTE, key)
        public = attrs.evolve(ROUTE, public=True)
        self.assertIsNone(find_customer(config, public, "other"))

    def test_choose_group_follows_the_weights(self) -> None:
        shares = (WeightedGroup(group="a", weight=90), WeightedGroup(group="b", weight=10))
        route = attrs.evolve(ROUTE, weighted_groups=shares)
        chosen = [choose_group(route, f"id{number}") for number in range(2_000)]
        self.assertAlmostEqual(chosen.count("b") / len(chosen), 0.1, delta=0.03)

    def test_tier_of_the_customer_takes_precedence_over_that_of_the_route(self) -> None:
        urgent_route = attrs.evolve(ROUTE, tier=0)
        second = RouteCustomer(name="second", tier=1)
        self.assertLess(compute_urgency(ROUTE, NORTH), compute_urgency(urgent_route, second))
        south = RouteCustomer(name="south")
        self.assertEqual(compute_urgency(ROUTE, south), compute_urgency(ROUTE, None))
        self.assertLess(compute_urgency(ROUTE, NORTH), compute_urgency(ROUTE, south))

    def test_tier_of_the_route_decides_between_customers_of_one_tier(self) -> None:
        urgent_route = attrs.evolve(ROUTE, tier=0)
        self.assertLess(compute_urgency(urgent_route, NORTH), compute_urgency(ROUTE, NORTH))

    def test_urgency_is_within_its_range_for_any_tier(self) -> None:
        for tier in (-3, 0, 7, 10**6):
            route = attrs.evolve(ROUTE, tier=tier)
            for customer in (None, RouteCustomer(name="south", tier=tier)):
                self.assertIn(compute_urgency(route, customer), range(LEAST_URGENT + 1))


class DecideNextStepTest(unittest.TestCase):
    def decide(
        self,
        *outcomes: DirectAttemptOutcome,
        repeatable: bool,
        time_left_ms: float = 900,
        budget: bool = True,
    ) -> ReturnResponse | Retry | GiveUp:
        self.progress = CallProgress(repeatable=repeatable, max_servers=2)
        for number, outcome in enumerate(outcomes):
            response = {
                DirectAttemptOutcome.ANSWERED: RESPONSE,
                DirectAttemptOutcome.SERVER_ERROR: ERROR_RESPONSE,
            }.get(outcome)
            result = DirectAttemptResult(outcome, response)
            record_attempt(self.progress, f"s{number}", result)
        return decide_next_step(result, self.progress, time_left_ms, 200, budget_left=budget)

    def test_request_that_did_not_run_is_always_retried(self) -> None:
        for outcome in (
            DirectAttemptOutcome.UNREACHABLE,
            DirectAttemptOutcome.FULL,
            DirectAttemptOutcome.MISDIRECTED,
        ):
            with self.subTest(outcome=outcome):
                self.assertIsInstance(self.decide(outcome, repeatable=False), Retry)

    def test_request_that_may_have_run_is_retried_only_if_repeatable(self) -> None:
        for outcome in (
            DirectAttemptOutcome.LOST,
            DirectAttemptOutcome.GARBLED,
            DirectAttemptOutcome.SILENT,
            DirectAttemptOutcome.SERVER_ERROR,
        ):
            with self.subTest(outcome=outcome):
                self.assertIsInstance(self.decide(outcome, repeatable=True), Retry)
                self.assertNotIsInstance(self.decide(outcome, repeatable=False), Retry)

    def test_no_more_servers_run_a_request_than_the_route_allows(self) -> None:
        step = self.decide(DirectAttemptOutcome.LOST, DirectAttemptOutcome.LOST, repeatable=True)
        self.assertEqual(
            step, GiveUp(GiveUpReason.ATTEMPTS, DirectAttemptOutcome.LOST, Verdict.MAY_HAVE_RUN)
        )

    def test_verdict_after_a_lost_attempt_and_refusals_is_may_have_run(self) -> None:
        outcomes = [DirectAttemptOutcome.LOST, *[DirectAttemptOutcome.FULL] * MAX_REFUSED_ATTEMPTS]
        step = self.decide(*outcomes, repeatable=True)
        assert isinstance(step, GiveUp)
        self.assertIs(step.verdict, Verdict.MAY_HAVE_RUN)

    def test_server_error_is_returned_when_no_later_attempt_succeeds(self) -> None:
        step = self.decide(
            DirectAttemptOutcome.SERVER_ERROR, DirectAttemptOutcome.LOST, repeatable=True
        )
        self.assertEqual(step, ReturnResponse(ERROR_RESPONSE))

    def test_exhausted_budget_stops_retries_except_after_unreachable(self) -> None:
        step = self.decide(DirectAttemptOutcome.FULL, repeatable=True, budget=False)
        self.assertIsInstance(step, GiveUp)
        step = self.decide(DirectAttemptOutcome.UNREACHABLE, repeatable=True, budget=False)
        self.assertIsInstance(step, Retry)

    def test_no_retry_when_no_time_is_left(self) -> None:
        step = self.decide(DirectAttemptOutcome.FULL, repeatable=True, time_left_ms=10)
        self.assertEqual(
            step, GiveUp(GiveUpReason.DEADLINE, DirectAttemptOutcome.FULL, Verdict.NOT_RUN)
        )


class WindowedRetryBudgetTest(unittest.TestCase):
    def test_all_routers_together_stay_within_the_budget_of_the_fleet(self) -> None:
        """Without the budget each router would retry each of its 500 failing requests."""
        routers = [WindowedRetryBudget(ratio=0.2, slack=56 / 8, window_ms=10_000) for _ in range(8)]
        sent = 0
        for now_ms in range(0, 10_000, 20):
            for budget in routers:
                budget.record_request(now_ms)
                if budget.allows(now_ms):
                    budget.record_retry(now_ms)
                    sent += 1
        self.assertLessEqual(sent, 0.2 * 8 * 500 + 56)

    def test_retries_before_the_window_do_not_count(self) -> None:
        budget = WindowedRetryBudget(ratio=0, slack=1, window_ms=1_000)
        budget.record_retry(0)
        self.assertFalse(budget.allows(999))
        self.assertTrue(budget.allows(1_001))


class ServerHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.group = [make_server(f"e{number}") for number in range(3)]

    def fail(self, number: int, times: int = 2) -> bool:  # type: ignore[override]
        ejected = [
            record_outcome(self.group[number], self.group, DirectAttemptOutcome.LOST, 0)
            for _ in range(times)
        ]
        return ejected[-1]

    def test_consecutive_failures_eject(self) -> None:
        self.assertFalse(self.fail(0, times=1))
        record_outcome(self.group[0], self.group, DirectAttemptOutcome.ANSWERED, 0)
        self.assertFalse(self.fail(0, times=1))
        self.assertTrue(self.fail(0, times=1))
        self.assertTrue(self.group[0].health.is_ejected(500))

    def test_at_least_half_of_a_group_stays(self) -> None:
        self.assertEqual([self.fail(number) for number in range(3)], [True, False, False])

    def test_error_responses_do_not_eject(self) -> None:
        for _ in range(9):
            self.assertFalse(
                record_outcome(self.group[0], self.group, DirectAttemptOutcome.SERVER_ERROR, 0)
            )

    def test_full_server_gets_no_new_requests_for_a_while(self) -> None:
        record_outcome(self.group[0], self.group, DirectAttemptOutcome.FULL, 100)
        self.assertGreater(self.group[0].full_until_ms, 100)


class ResponseTimeoutsTest(unittest.TestCase):
    def test_hedging_delay_is_shorter_than_the_target(self) -> None:
        self.assertLess(compute_hedge_delay_ms(200), 200)

    def test_first_event_timeout_grows_with_the_expected_time(self) -> None:
        short = compute_stream_timeouts(600, 300, 100)
        long = compute_stream_timeouts(600, 300, 2_000)
        self.assertLess(short.first_event_ms, long.first_event_ms)
        self.assertGreaterEqual(short.between_events_ms, MIN_EVENT_TIMEOUT_MS)


if __name__ == "__main__":
    unittest.main()
