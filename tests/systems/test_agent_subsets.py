"""Tests of the choice of agents to which a router connects."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings, strategies

from boragetiller.settings import PlacementSettings
from boragetiller.systems.agent_subsets import HostLocation, choose_subset

HOSTS = strategies.lists(strategies.integers(0, 5), min_size=1, max_size=30)  # failure domains


def members(kind: str, domains: list[int]) -> list[HostLocation]:
    return [
        HostLocation(f"{kind}-{n}", f"d{domain}", f"g{domain // 2}")
        for n, domain in enumerate(domains)
    ]


class SubsetsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = PlacementSettings(subset_size=8)
        self.routers = [HostLocation(f"r{n}", f"fd{n % 3}", f"reg{n % 3 // 2}") for n in range(30)]
        self.agents = [HostLocation(f"a{n}", f"fd{n % 3}", f"reg{n % 3 // 2}") for n in range(90)]

    def subsets(self) -> dict[str, list[str]]:
        return {
            r.name: choose_subset(r, self.routers, self.agents, self.settings) for r in self.routers
        }

    def domain(self, name: str) -> str:
        return next(a.failure_domain for a in self.agents if a.name == name)

    def test_small_group_is_chosen_entirely(self) -> None:
        chosen = choose_subset(self.routers[0], self.routers, self.agents[:5], self.settings)
        self.assertEqual(sorted(chosen), [f"a{n}" for n in range(5)])
        self.assertEqual(chosen[:2], ["a0", "a3"])

    def test_subset_prefers_own_domain_and_includes_others(self) -> None:
        for router in self.routers:
            domains = [self.domain(name) for name in self.subsets()[router.name]]
            self.assertEqual(len(set(self.subsets()[router.name])), 8)
            self.assertEqual(domains[:6], [router.failure_domain] * 6)
            self.assertNotIn(router.failure_domain, domains[6:])

    def test_own_domain_part_is_balanced(self) -> None:
        counts = Counter(name for chosen in self.subsets().values() for name in chosen[:6])
        self.assertEqual({counts[agent.name] for agent in self.agents}, {2})

    def test_whole_subsets_are_balanced(self) -> None:
        counts = Counter(name for chosen in self.subsets().values() for name in chosen)
        held = [counts[agent.name] for agent in self.agents]
        self.assertLessEqual(max(held) - min(held), 2, held)

    def test_few_routers_with_small_subsets_cover_all_agents(self) -> None:
        routers = [HostLocation(f"router-{n}", f"d{n % 3}") for n in range(10)]
        agents = [HostLocation(f"agent-{n}", f"d{n % 3}") for n in range(40)]
        chosen = {
            name
            for router in routers
            for name in choose_subset(router, routers, agents, self.settings)
        }
        self.assertEqual(sorted(a.name for a in agents if a.name not in chosen), [])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(router_domains=HOSTS, agent_domains=HOSTS, size=strategies.integers(1, 12))
    def test_no_agent_is_left_out_whatever_the_hosts(
        self, router_domains: list[int], agent_domains: list[int], size: int
    ) -> None:
        routers = members("router", router_domains)
        agents = members("agent", agent_domains)
        bound = PlacementSettings(subset_size=size)
        subsets = [choose_subset(router, routers, agents, bound) for router in routers]
        self.assertEqual({name for chosen in subsets for name in chosen}, {a.name for a in agents})
        for chosen in subsets:
            self.assertEqual(len(chosen), len(set(chosen)))
            self.assertGreaterEqual(len(chosen), min(size, len(agents)))

    def test_subsets_stay_full_without_one_domain(self) -> None:
        self.agents = [agent for agent in self.agents if agent.failure_domain != "fd1"]
        for chosen in self.subsets().values():
            self.assertEqual(len(set(chosen)), 8)

    def test_replacing_an_agent_changes_few_subsets(self) -> None:
        before = self.subsets()
        self.agents[4] = HostLocation("new", "fd1", "reg0")
        after = self.subsets()
        moved = sum(len(set(before[name]) - set(after[name])) for name in before)
        self.assertLess(moved, 0.05 * 30 * 8)

    def test_order_of_lists_does_not_matter(self) -> None:
        before = self.subsets()
        self.agents.reverse()
        self.routers.reverse()
        self.assertEqual(self.subsets(), before)


if __name__ == "__main__":
    unittest.main()
