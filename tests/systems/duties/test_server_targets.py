"""Decisions on the number of servers, under loads that tempt a rule to go up and down."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import attrs

from bench.server_targets import LOADS, Replay, build_product_rule
from boragetiller.systems.duties.server_targets import (
    AWAY_MS,
    LOW_BEFORE_REMOVAL_MS,
    REMOVAL_INTERVAL_MS,
    REPEAT_MS,
    decide_servers,
    observe,
    record_call,
)
from boragetiller.tables.routes import ScalingPolicy
from boragetiller.tables.server_targets import DomainLoad, ScalingConditions, ServerTarget

if TYPE_CHECKING:
    from collections.abc import Callable

STEP_MS = 200
POLICY = ScalingPolicy(min_servers=1, max_servers=20, boot_ms=20_000)


class ServerTargetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.target = ServerTarget(ordered=6, sent_ms=0, is_confirmed=True)
        self.now_ms = 0
        self.conditions = ScalingConditions()
        self.orders: list[tuple[int, int]] = []

    def run_for(self, seconds: float, use: float, ready: int = 6, **fields: Any) -> None:
        """Decide at each step; orders are confirmed and have no effect on the load."""
        load = DomainLoad(ready=ready, slots=use, **fields)
        for _ in range(round(seconds * 1_000 / STEP_MS)):
            self.now_ms += STEP_MS
            observe(self.target, load, self.now_ms)
            decision = decide_servers(self.target, load, POLICY, self.conditions, self.now_ms)
            if decision.is_due:
                self.orders.append((self.now_ms, decision.servers))
                record_call(self.target, decision.servers, self.now_ms, is_confirmed=True)

    def test_more_servers_at_once_and_all_of_them_after_the_load_lasted(self) -> None:
        self.run_for(5, 0.5)
        self.run_for(1, 0.9)
        self.assertEqual([servers for _, servers in self.orders], [7])
        self.run_for(30, 0.9)
        self.assertEqual(self.target.ordered, 8)  # 5.4 / 0.75

    def test_more_servers_for_late_callers_and_for_refusals(self) -> None:
        for field in ("late", "refused"):
            with self.subTest(field):
                self.setUp()
                self.run_for(5, 0.6)
                self.run_for(STEP_MS / 1_000, 0.6, **{field: 1})
                self.assertEqual(self.target.ordered, 7)

    def test_no_more_while_the_ordered_ones_start(self) -> None:
        # Guards against an order that grows with each decision until the first server is ready.
        self.run_for(5, 0.6)
        self.run_for(15, 0.6, late=1)
        self.assertEqual(self.target.ordered, 7)

    def test_no_change_of_direction_under_wave_and_bursts(self) -> None:
        for name in ("wave", "bursts"):
            replay = run_replay(LOADS[name])
            with self.subTest(name):
                self.assertEqual(replay.count_turns(), 0)

    def test_single_burst_adds_one_server(self) -> None:
        replay = run_replay(lambda second: 15.0 if 100 <= second < 103 else 6.0, seconds=150)
        self.assertEqual([servers for _, servers in replay.orders], [10])

    def test_lasting_rise_is_met_without_overload(self) -> None:
        overloaded = 0

        def load(second: float) -> float:
            return LOADS["rise"](second)

        replay = run_replay(load, seconds=400)
        overloaded = sum(load(second) > 0.95 * replay.ready for second in (300, 399))
        self.assertEqual(overloaded, 0)
        self.assertGreaterEqual(replay.ordered, 16)

    def test_fewer_servers_one_at_a_time_and_only_after_a_while(self) -> None:
        self.run_for(100, 0.2)
        self.assertGreaterEqual(self.orders[0][0], LOW_BEFORE_REMOVAL_MS)
        self.assertEqual([servers for _, servers in self.orders], [5, 4, 3])
        times = [time_ms for time_ms, _ in self.orders]
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(pauses), REMOVAL_INTERVAL_MS)

    def test_what_remains_suffices_without_one_server_or_domain(self) -> None:
        self.run_for(100, 0.3)  # 1.8 servers' worth: three and one more
        self.assertEqual(self.target.ordered, 4)
        self.setUp()
        self.conditions = ScalingConditions(other_domains=(DomainLoad(ready=6, slots=0.45),))
        self.run_for(100, 0.45)  # 5.4 in all, if the other domain is lost: eight
        self.assertEqual(self.target.ordered, 6)

    def test_never_fewer_on_partial_or_old_information(self) -> None:
        cases: dict[str, tuple[ScalingConditions, dict[str, int]]] = {
            "partition": (ScalingConditions(is_partitioned=True), {}),
            "away": (ScalingConditions(away_ms=AWAY_MS - 1), {}),
            "ejected": (ScalingConditions(), {"ejected": 1}),
            "stale": (ScalingConditions(), {"age_ms": 2_001}),
            "other domain": (
                ScalingConditions(other_domains=(DomainLoad(ready=6, slots=0.0, age_ms=2_001),)),
                {},
            ),
        }
        for name, (conditions, fields) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.conditions = conditions
                self.run_for(100, 0.1, **fields)
                self.assertEqual([n for _, n in self.orders if n != 6], [])

    def test_loss_of_a_server_is_answered_while_the_load_is_high(self) -> None:
        self.run_for(60, 0.7)
        self.run_for(10, 0.7 * 6 / 4, ready=4)
        self.assertEqual([servers for _, servers in self.orders], [6])  # the platform replaces two
        self.run_for(35, 0.7 * 6 / 4, ready=4)
        self.assertEqual([servers for _, servers in self.orders], [6, 6])

    def test_same_order_is_repeated_only_after_an_absence(self) -> None:
        self.run_for(60, 0.6)
        self.assertEqual(self.orders, [])
        self.conditions = attrs.evolve(self.conditions, away_ms=0)
        self.run_for(25, 0.6)
        self.assertEqual([servers for _, servers in self.orders], [6, 6, 6])
        times = [time_ms for time_ms, _ in self.orders]
        self.assertGreaterEqual(times[1] - times[0], REPEAT_MS)

    def test_order_that_was_not_confirmed_is_repeated(self) -> None:
        self.target.is_confirmed = False
        self.run_for(30, 0.6)
        self.assertEqual(self.orders, [(REPEAT_MS, 6)])

    def test_limits_of_the_policy(self) -> None:
        self.run_for(30, 5.0)
        self.assertEqual(self.target.ordered, POLICY.max_servers)
        self.target = ServerTarget()
        self.orders = []
        self.run_for(1, 0.0, ready=0)
        self.assertEqual(self.orders[0][1], POLICY.min_servers)

    def test_successor_starts_from_the_order_and_not_from_the_ready_servers(self) -> None:
        # Guards against an order that stops servers which are still starting.
        self.target = ServerTarget(ordered=9)
        self.run_for(5, 0.5)
        self.assertEqual(self.orders, [(STEP_MS, 9)])


def run_replay(load: Callable[[float], float], seconds: int = 600) -> Replay:
    """
    Replay a load with the rule of the product.

    :param load: maps time to work
    :param seconds: duration
    :return: the servers and orders at the end
    """
    replay, rule = Replay(), build_product_rule()
    for step in range(seconds * 5):
        second = step / 5
        replay.start_due(second)
        replay.order(second, rule(second, load(second), replay.ready))
    return replay


if __name__ == "__main__":
    unittest.main()
