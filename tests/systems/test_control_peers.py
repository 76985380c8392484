"""Tests of the choice of control peers in a fleet of the largest supported size."""

from __future__ import annotations

import unittest
from collections import deque
from random import Random

from boragetiller.platform_clients.hosts import Host
from boragetiller.systems.control_peers import choose_control_peers

ROUTERS = 400
REGIONS = 6
DOMAINS = 21
FAILURES = 13
TARGET_MS = 4_000
AGENT_HOP = 1
HOP_MS = 400  # announcement interval, three one-way delays between regions and a pause


def _build_fleet(count: int = ROUTERS) -> list[Host]:
    return [
        Host(
            name=f"router-{i}",
            role="router",
            address="127.0.0.1",
            data_port=1,
            control_port=2,
            failure_domain=f"domain-{i % DOMAINS}",
            region=f"region-{i % DOMAINS % REGIONS}",
        )
        for i in range(count)
    ]


def _build_overlay(fleet: list[Host]) -> dict[str, set[str]]:
    edges: dict[str, set[str]] = {host.name: set() for host in fleet}
    for host in fleet:
        for peer in choose_control_peers(host.name, host.region, fleet):
            edges[host.name].add(peer)
            edges[peer].add(host.name)
    return edges


def _count_hops(edges: dict[str, set[str]], start: str, alive: set[str]) -> dict[str, int]:
    hops = {start: 0}
    queue = deque([start])
    while queue:
        name = queue.popleft()
        for peer in edges[name] & alive:
            if peer not in hops:
                hops[peer] = hops[name] + 1
                queue.append(peer)
    return hops


class PeersTest(unittest.TestCase):
    """The overlay network formed by the control peers of all routers."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = _build_fleet()
        cls.edges = _build_overlay(cls.fleet)
        cls.names = {host.name for host in cls.fleet}

    def _assert_relayed_in_time(self, alive: set[str], starts: int = 20) -> None:
        for start in Random(3).sample(sorted(alive), starts):
            hops = _count_hops(self.edges, start, alive)
            self.assertEqual(set(hops), alive)
            self.assertLess((max(hops.values()) + AGENT_HOP) * HOP_MS, TARGET_MS)

    def test_peers_are_few_and_mutual(self) -> None:
        for host in self.fleet:
            peers = choose_control_peers(host.name, host.region, self.fleet)
            self.assertEqual(peers, self.edges[host.name])
            self.assertLessEqual(len(peers), 6)

    def test_page_reaches_all_routers_in_time(self) -> None:
        self._assert_relayed_in_time(self.names)

    def test_overlay_stays_connected_after_random_failures(self) -> None:
        for seed in range(50):
            gone = Random(seed).sample(sorted(self.names), FAILURES)
            self._assert_relayed_in_time(self.names - set(gone), starts=2)

    def test_overlay_stays_connected_without_any_one_failure_domain(self) -> None:
        for number in range(DOMAINS):
            domain = f"domain-{number}"
            alive = {host.name for host in self.fleet if host.failure_domain != domain}
            self._assert_relayed_in_time(alive, starts=2)

    def test_partitioned_region_stays_connected_internally(self) -> None:
        for number in range(REGIONS):
            alive = {host.name for host in self.fleet if host.region == f"region-{number}"}
            start = min(alive)
            self.assertEqual(set(_count_hops(self.edges, start, alive)), alive)

    def test_replacing_a_router_changes_only_its_neighbours(self) -> None:
        replaced = [host for host in self.fleet if host.name != "router-7"]
        replaced.append(_build_fleet(ROUTERS + 1)[-1])
        after = _build_overlay(replaced)
        unmoved = self.names - {"router-7"}
        changed = [name for name in unmoved if after[name] != self.edges[name]]
        self.assertLessEqual(len(changed), 12)

    def test_fleets_of_one_to_three_routers_are_connected(self) -> None:
        for count in (1, 2, 3):
            edges = _build_overlay(_build_fleet(count))
            self.assertEqual(len(_count_hops(edges, "router-0", set(edges))), count)


if __name__ == "__main__":
    unittest.main()
