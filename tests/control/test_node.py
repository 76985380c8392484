"""Tests of router and agent nodes that are connected on the loopback address."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import attrs

from boragetiller.clock import SystemClock
from boragetiller.control.messages import CrashReport, CrashReportList, ShareGrant
from boragetiller.control.node import AgentNode
from boragetiller.control.router_node import RouterDependencies, RouterNode
from boragetiller.metrics import Metrics
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.settings import Role
from boragetiller.tables.agents import AgentTable
from tests.control.fakes import FakeAgentState, FakeConfig, make_settings, wait_until

if TYPE_CHECKING:
    from boragetiller.control.node import ControlNode

CRASH_REPORT = CrashReport(fingerprint=bytes(range(16)), backend_server="engine-1", age_ms=40)


class RecordingDependencies:
    """Dependencies of a node that record its calls."""

    def __init__(self) -> None:
        self.crash_reports: list[CrashReport] = []
        self.shards: dict[str, tuple[int, ...]] = {}
        self.wanted_shares: tuple[tuple[str, float], ...] = ()
        self.borrowed: list[tuple[str, float]] = []
        self.lent = 0.0

    def handle_crash_report(self, report: CrashReport, now_ms: int) -> None:  # noqa: ARG002
        self.crash_reports.append(report)

    def update_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:  # noqa: ARG002
        self.shards[agent] = shards

    def remove_agent(self, agent: str) -> None:
        self.shards.pop(agent, None)

    def list_wanted_shares(self, now_ms: int) -> tuple[tuple[str, float], ...]:  # noqa: ARG002
        wanted_shares, self.wanted_shares = self.wanted_shares, ()
        return wanted_shares

    def lend_share(self, customer: str, share: float, now_ms: int) -> float:  # noqa: ARG002
        granted = min(share, 0.25 - self.lent)
        self.lent += granted
        return granted

    def borrow_share(self, customer: str, share: float, requested_ms: int) -> None:  # noqa: ARG002
        self.borrowed.append((customer, share))


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """Two routers and three agents."""

    async def asyncSetUp(self) -> None:
        self.nodes: dict[str, ControlNode] = {}
        self.configs: dict[str, FakeConfig] = {}
        self.states: dict[str, FakeAgentState] = {}
        self.tables: dict[str, AgentTable] = {}
        self.recorded: dict[str, RecordingDependencies] = {}
        self.groups: dict[str, frozenset[str]] = {}
        for name in ("agent-0", "agent-1", "agent-2"):
            await self._start_agent(name)
        for name in ("router-0", "router-1"):
            await self._start_router(name)
        self.hosts = [self._build_host(name) for name in self.nodes]
        self._apply_host_list()
        await wait_until(lambda: all(len(self._list_usable_agents(r)) == 3 for r in self.tables))
        await wait_until(lambda: all(node.exchange.connected_peers for node in self.nodes.values()))

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(node.close() for node in self.nodes.values()))

    async def _start_agent(self, name: str, incarnation: int = 1) -> None:
        config, state, recorded = FakeConfig(), FakeAgentState(), RecordingDependencies()
        settings = make_settings(name, Role.AGENT, heartbeat_ms=25, suspect_after_ms=60_000)
        node = AgentNode(settings, incarnation, state, config, SystemClock(), Metrics(), recorded)
        await self._start_node(name, node, config, recorded)
        self.states[name] = state

    async def _start_router(self, name: str) -> None:
        config, recorded, table = FakeConfig(), RecordingDependencies(), AgentTable()
        dependencies = RouterDependencies(
            shard_owners=recorded,
            crash_report_handler=recorded,
            share_lender=recorded,
            get_group_members=lambda: self.groups,
        )
        settings = make_settings(name, heartbeat_ms=25, suspect_after_ms=60_000)
        node = RouterNode(settings, 1, table, config, SystemClock(), Metrics(), dependencies)
        await self._start_node(name, node, config, recorded)
        self.tables[name] = table

    async def _start_node(
        self, name: str, node: ControlNode, config: FakeConfig, recorded: RecordingDependencies
    ) -> None:
        await node.start()
        self.nodes[name], self.configs[name], self.recorded[name] = node, config, recorded

    def _build_host(self, name: str, state: HostState = HostState.LIVE) -> Host:
        role = name.split("-", maxsplit=1)[0]
        return Host(
            name=name,
            role=role,
            address="127.0.0.1",
            data_port=1,
            control_port=self.nodes[name].port,
            failure_domain="a",
            group="g" if role == "agent" else "",
            state=state,
        )

    def _apply_host_list(self) -> None:
        for name in self.tables:
            self.nodes[name].apply_host_list(self.hosts)  # type: ignore[attr-defined]

    def _list_usable_agents(self, router: str) -> set[str]:
        entries = self.tables[router].entries.values()
        return {e.name for e in entries if e.accepts_work() and e.incarnation and e.load}

    async def _wait_until_unused(self, agent: str) -> None:
        await wait_until(lambda: all(agent not in self._list_usable_agents(r) for r in self.tables))
        for router in self.tables:
            self.assertEqual(len(self._list_usable_agents(router)), 2)

    async def test_reported_load_is_stored_in_the_agent_table(self) -> None:
        self.states["agent-0"].load = attrs.evolve(self.states["agent-0"].load, running=7)
        entry = self.tables["router-0"].entries["agent-0"]
        await wait_until(lambda: entry.load and entry.load.running == 7)
        self.assertEqual(entry.load.queued, (0, 1, 0, 0))  # type: ignore[union-attr]

    async def test_draining_agent_gets_no_new_work(self) -> None:
        self.states["agent-0"].draining = True
        self.nodes["agent-0"].send_report()  # type: ignore[attr-defined]
        await self._wait_until_unused("agent-0")

    async def test_stopped_agent_gets_no_new_work(self) -> None:
        await self.nodes["agent-0"].close()
        await self._wait_until_unused("agent-0")
        self.assertTrue(self.tables["router-0"].entries["agent-0"].leaving)

    async def test_crashed_agent_gets_no_new_work(self) -> None:
        exchange = self.nodes["agent-0"].exchange
        await exchange._server.close()
        for router in self.tables:
            exchange.get_connection(router).abort_as_replaced()  # type: ignore[union-attr]
        await self._wait_until_unused("agent-0")
        self.assertTrue(self.tables["router-0"].entries["agent-0"].suspected)

    async def test_agent_listed_as_leaving_gets_no_new_work(self) -> None:
        self.hosts[0] = self._build_host("agent-0", HostState.LEAVING)
        self._apply_host_list()
        await self._wait_until_unused("agent-0")

    async def test_agent_removed_from_the_records_gets_no_new_work(self) -> None:
        self.groups = {"g": frozenset({"agent-1", "agent-2"})}
        for router in self.tables:
            self.nodes[router].handle_config_change()
        await self._wait_until_unused("agent-0")

    async def test_entry_is_kept_until_its_requests_end(self) -> None:
        table = self.tables["router-0"]
        table.entries["agent-0"].in_flight = 1
        self.hosts = self.hosts[1:]
        await self.nodes["agent-0"].close()
        self._apply_host_list()
        await self._wait_until_unused("agent-0")
        self.assertIn("agent-0", table.entries)
        table.entries["agent-0"].in_flight = 0
        await wait_until(lambda: "agent-0" not in table.entries)

    async def test_restarted_agent_is_used_again(self) -> None:
        await self.nodes["agent-0"].close()
        await self._wait_until_unused("agent-0")
        await self._start_agent("agent-0", incarnation=2)
        self.hosts[0] = self._build_host("agent-0")
        self._apply_host_list()
        await wait_until(lambda: all(len(self._list_usable_agents(r)) == 3 for r in self.tables))
        self.assertEqual(self.tables["router-1"].entries["agent-0"].incarnation, 2)

    async def test_page_is_relayed_to_all_nodes(self) -> None:
        self.configs["agent-0"].put(3, 9, b"x" * 20_000)  # the other agents are two hops away
        self.configs["agent-0"].ready = True
        self.nodes["agent-0"].handle_config_change()
        await wait_until(
            lambda: all(c.get_page_revisions() == {3: 9} for c in self.configs.values())
        )

    async def test_crash_report_reaches_each_other_node_once(self) -> None:
        self.nodes["agent-0"].report_crashes([CRASH_REPORT])
        others = [recorded for name, recorded in self.recorded.items() if name != "agent-0"]
        await wait_until(lambda: all(recorded.crash_reports for recorded in others))
        self.nodes["agent-1"].report_crashes([CRASH_REPORT])
        await asyncio.sleep(0.1)
        for recorded in others:
            keys = [
                (report.fingerprint, report.backend_server) for report in recorded.crash_reports
            ]
            self.assertEqual(keys, [(CRASH_REPORT.fingerprint, "engine-1")])
        self.assertEqual(self.recorded["agent-0"].crash_reports, [])

    async def test_late_router_receives_crash_reports_and_shards(self) -> None:
        self.nodes["agent-0"].report_crashes([CRASH_REPORT])
        self.states["agent-1"].shards = (2, 5)
        await wait_until(lambda: self.recorded["router-0"].shards.get("agent-1") == (2, 5))
        await self._start_router("router-2")
        self._apply_host_list()
        await wait_until(lambda: self.recorded["router-2"].crash_reports)
        await wait_until(lambda: self.recorded["router-2"].shards.get("agent-1") == (2, 5))

    async def test_share_is_lent_between_routers(self) -> None:
        for _ in range(2):
            self.recorded["router-0"].wanted_shares = (("kalisz", 0.2),)
            await wait_until(lambda: not self.recorded["router-0"].wanted_shares)
            await wait_until(lambda: self.recorded["router-0"].borrowed)
        await wait_until(lambda: len(self.recorded["router-0"].borrowed) == 2)
        lent = sum(share for _, share in self.recorded["router-0"].borrowed)
        self.assertAlmostEqual(lent, self.recorded["router-1"].lent, places=5)
        self.assertLessEqual(lent, 0.25)

    async def test_unrequested_share_is_ignored(self) -> None:
        node = self.nodes["router-0"]
        node.exchange.send("router-1", ShareGrant(customer="kalisz", share=0.5))
        node.exchange.send("router-1", CrashReportList(crash_reports=(CRASH_REPORT,)))
        await wait_until(lambda: self.recorded["router-1"].crash_reports)
        self.assertEqual(self.recorded["router-1"].borrowed, [])


if __name__ == "__main__":
    unittest.main()
