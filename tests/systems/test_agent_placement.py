"""Tests of the placement of requests on agents and of outlier ejection."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.settings import PlacementSettings
from boragetiller.systems import agent_outliers
from boragetiller.systems.agent_placement import AgentPlacementRequest, choose_agent
from boragetiller.tables.agents import AgentEntry, LoadReport


def make_agents(count: int, **load: object) -> list[AgentEntry]:
    agents = []
    for number in range(count):
        agent = AgentEntry(name=f"e{number}", group="g", address="127.0.0.1", data_port=1)
        agent.load = LoadReport(received_ms=0, max_running=10, service_ms=1_000.0, **load)
        agents.append(agent)
    return agents


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = PlacementSettings(choices=5)
        self.rng = Random(1)
        self.agents = make_agents(5)

    def choose(self, now_ms: int = 0, **fields: object) -> str:
        request = AgentPlacementRequest(group="g", **{"tier": 0, **fields})
        agent = choose_agent(self.agents, request, self.settings, self.rng, now_ms)
        return agent.name if agent else ""

    def load(self, name: str, **values: object) -> None:
        agent = next(a for a in self.agents if a.name == name)
        fields = {"received_ms": 0, "max_running": 10, "service_ms": 1_000.0, **values}
        agent.update_load(LoadReport(**fields))

    def test_choose_none_when_all_agents_drain(self) -> None:
        for agent in self.agents:
            agent.draining = True
        self.assertEqual(self.choose(), "")

    def test_choose_skips_excluded(self) -> None:
        self.assertEqual(self.choose(excluded=frozenset({"e0", "e1", "e2", "e3"})), "e4")

    def test_choose_counts_queue_of_own_and_upper_tiers_only(self) -> None:
        for name in ("e0", "e1", "e2", "e3"):
            self.load(name, running=10, queued=(9, 0, 0, 0))
        self.load("e4", running=10, queued=(0, 0, 0, 90))
        self.assertEqual(self.choose(tier=0), "e4")
        self.assertNotEqual(self.choose(tier=3), "e4")

    def test_choose_counts_own_requests_sent_since_report(self) -> None:
        for agent in self.agents:
            agent.in_flight = 30
        self.agents[2].in_flight = 0
        self.assertEqual(self.choose(), "e2")

    def test_choose_counts_queue_of_old_report_less(self) -> None:
        for name in ("e0", "e1", "e2", "e3"):
            self.load(name, running=10, queued=(2, 0, 0, 0))
        self.load("e4", running=10, queued=(9, 0, 0, 0))
        names = {self.choose(now_ms=60_000) for _ in range(50)}
        self.assertIn("e4", names)

    def test_choose_without_reports_spreads_by_own_requests(self) -> None:
        for agent in self.agents:
            agent.load = None
        for _ in range(50):
            name = self.choose()
            next(a for a in self.agents if a.name == name).in_flight += 1
        self.assertEqual([a.in_flight for a in self.agents], [10] * 5)

    def test_choose_same_agent_for_prefix_until_it_is_loaded(self) -> None:
        preferred = self.choose(prefix_hash=77)
        self.assertEqual({self.choose(prefix_hash=77) for _ in range(20)}, {preferred})
        self.load(preferred, running=10, queued=(5, 0, 0, 0))
        self.assertNotEqual(self.choose(prefix_hash=77), preferred)

    def test_choose_same_agent_for_fingerprint_at_every_router(self) -> None:
        chosen = set()
        for seed in range(20):
            self.rng = Random(seed)
            chosen.add(self.choose(fingerprint="a1b2c3d4e5f60718" * 4))
        self.assertEqual(len(chosen), 1)

    def test_only_prefixes_of_leaving_agent_move(self) -> None:
        before = {key: self.choose(prefix_hash=key) for key in range(1, 200)}
        self.agents[0].leaving = True
        moved = [k for k, name in before.items() if self.choose(prefix_hash=k) != name]
        self.assertTrue(all(before[key] == "e0" for key in moved))


class ReportsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(
        running=st.lists(st.integers(0, 200), min_size=5, max_size=5),
        queued=st.lists(st.integers(0, 5_000), min_size=5, max_size=5),
        received_ms=st.integers(-(10**9), -2_000),
        tier=st.integers(0, 3),
    )
    def test_old_reports_do_not_affect_placement(
        self, running: list[int], queued: list[int], received_ms: int, tier: int
    ) -> None:
        agents = make_agents(5)
        for agent, run, wait in zip(agents, running, queued, strict=True):
            agent.load = LoadReport(
                received_ms=received_ms,
                max_running=10,
                service_ms=1_000.0,
                running=run,
                queued=(wait, 0, 0, 0),
            )
        request = AgentPlacementRequest(group="g", tier=tier, router_count=3)
        rng = Random(1)
        for agent in agents:
            agent.add_in_flight(tier)
        for _ in range(500):
            chosen = choose_agent(agents, request, PlacementSettings(), rng, 0)
            self.assertIsNotNone(chosen)
            chosen.add_in_flight(tier)
        counts = [agent.in_flight for agent in agents]
        self.assertLessEqual(max(counts) - min(counts), 10, counts)


class OutliersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = PlacementSettings(choices=5)
        self.agents = make_agents(5)

    def fail(self, agent: AgentEntry, now_ms: int) -> bool:
        return any(
            agent_outliers.record_failure(agent, self.agents, self.settings, now_ms)
            for _ in range(3)
        )

    def test_record_failure_keeps_minimum_healthy_share(self) -> None:
        self.assertEqual([self.fail(a, 0) for a in self.agents], [True, True, False, False, False])

    def test_record_failure_doubles_the_ejection_time(self) -> None:
        self.fail(self.agents[0], 0)
        self.assertEqual(self.agents[0].health.ejected_until_ms, 5_000)
        self.fail(self.agents[0], 5_000)
        self.assertEqual(self.agents[0].health.ejected_until_ms, 15_000)

    def test_protected_request_avoids_slow_agent(self) -> None:
        for agent in self.agents:
            agent_outliers.record_token_gap(agent, 150.0 if agent.name == "e1" else 30.0, 0)
        self.assertEqual(agent_outliers.mark_slow(self.agents, self.settings, 0), ["e1"])
        for name in ("e0", "e2", "e3", "e4"):
            next(a for a in self.agents if a.name == name).in_flight = 100
        rng = Random(1)
        for protected, expected in ((True, False), (False, True)):
            request = AgentPlacementRequest(group="g", tier=0, protected=protected)
            chosen = choose_agent(self.agents, request, self.settings, rng, 0)
            self.assertEqual(chosen is self.agents[1], expected)

    def test_mark_slow_ignores_outdated_gaps(self) -> None:
        for agent in self.agents:
            agent_outliers.record_token_gap(agent, 150.0 if agent.name == "e1" else 30.0, 0)
        self.assertEqual(agent_outliers.mark_slow(self.agents, self.settings, 60_000), [])


if __name__ == "__main__":
    unittest.main()
