"""Tests of the choice of control connections."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.settings import (
    ControlSettings,
    OperatorSettings,
    PlacementSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.systems.control_connections import choose_control_connections

SUBSET_SIZE = 4
SETTINGS = Settings(
    role=Role.ROUTER,
    name="router-0",
    failure_domain="a",
    control=ControlSettings(key="k"),
    operator=OperatorSettings(key="o"),
    platform=PlatformSettings(store_url="", host_list_url=""),
    placement=PlacementSettings(subset_size=SUBSET_SIZE),
)


def _build_host(name: str, role: str, group: str = "") -> Host:
    return Host(
        name=name,
        role=role,
        address="127.0.0.1",
        data_port=1,
        control_port=2,
        failure_domain="a",
        group=group,
    )


class ConnectionsTest(unittest.TestCase):
    """Two groups of ten agents and thirty routers."""

    def setUp(self) -> None:
        self.agents = [
            _build_host(f"{g}-{i}", "agent", g) for g in ("pool", "app") for i in range(10)
        ]
        self.routers = [_build_host(f"router-{i}", "router") for i in range(30)]

    def _choose(self, agents: list[Host]) -> set[str]:
        return choose_control_connections([*agents, *self.routers], SETTINGS)

    def test_chooses_a_subset_of_each_group_and_few_routers(self) -> None:
        chosen = self._choose(self.agents)
        for group in ("pool", "app"):
            self.assertEqual(sum(name.startswith(group) for name in chosen), SUBSET_SIZE)
        self.assertIn(sum(name.startswith("router") for name in chosen), range(2, 7))
        self.assertNotIn("router-0", chosen)

    def test_leaving_host_is_replaced(self) -> None:
        before = self._choose(self.agents)
        leaving = min(name for name in before if name.startswith("pool"))
        agents = [
            attrs.evolve(host, state=HostState.LEAVING) if host.name == leaving else host
            for host in self.agents
        ]
        after = self._choose(agents)
        self.assertNotIn(leaving, after)
        self.assertEqual(len(after), len(before))

    def test_group_whose_agents_all_leave_stays_connected(self) -> None:
        agents = [attrs.evolve(host, state=HostState.LEAVING) for host in self.agents]
        self.assertEqual(self._choose(agents), self._choose(self.agents))


if __name__ == "__main__":
    unittest.main()
