"""Tests of router and agent nodes together on loopback."""

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
from tests.control.fakes import FakeAgentState, FakeConfig, make_settings, until

if TYPE_CHECKING:
    from boragetiller.control.node import ControlNode

STRIKE = CrashReport(fingerprint=bytes(range(16)), backend_server="engine-1", age_ms=40)


class Notes:
    """Keeps what a node hands to its ports."""

    def __init__(self) -> None:
        self.crash_reports: list[CrashReport] = []
        self.shards: dict[str, tuple[int, ...]] = {}
        self.wishes: tuple[tuple[str, float], ...] = ()
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
        wishes, self.wishes = self.wishes, ()
        return wishes

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
        self.notes: dict[str, Notes] = {}
        self.groups: dict[str, frozenset[str]] = {}
        for name in ("agent-0", "agent-1", "agent-2"):
            await self._start_agent(name)
        for name in ("router-0", "router-1"):
            await self._start_router(name)
        self.hosts = [self._host(name) for name in self.nodes]
        self._list_hosts()
        await until(lambda: all(len(self._usable(r)) == 3 for r in self.tables))
        await until(lambda: all(node.exchange.connected_peers for node in self.nodes.values()))

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(node.close() for node in self.nodes.values()))

    async def _start_agent(self, name: str, incarnation: int = 1) -> None:
        config, state, notes = FakeConfig(), FakeAgentState(), Notes()
        settings = make_settings(name, Role.AGENT, heartbeat_ms=25, suspect_after_ms=60_000)
        node = AgentNode(settings, incarnation, state, config, SystemClock(), Metrics(), notes)
        await self._keep(name, node, config, notes)
        self.states[name] = state

    async def _start_router(self, name: str) -> None:
        config, notes, table = FakeConfig(), Notes(), AgentTable()
        dependencies = RouterDependencies(
            shard_owners=notes,
            crash_report_handler=notes,
            share_lender=notes,
            get_group_members=lambda: self.groups,
        )
        settings = make_settings(name, heartbeat_ms=25, suspect_after_ms=60_000)
        node = RouterNode(settings, 1, table, config, SystemClock(), Metrics(), dependencies)
        await self._keep(name, node, config, notes)
        self.tables[name] = table

    async def _keep(self, name: str, node: ControlNode, config: FakeConfig, notes: Notes) -> None:
        await node.start()
        self.nodes[name], self.configs[name], self.notes[name] = node, config, notes

    def _host(self, name: str, state: HostState = HostState.LIVE) -> Host:
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

    def _list_hosts(self) -> None:
        for name in self.tables:
            self.nodes[name].apply_host_list(self.hosts)  # type: ignore[attr-defined]

    def _usable(self, router: str) -> set[str]:
        entries = self.tables[router].entries.values()
        return {e.name for e in entries if e.accepts_work() and e.incarnation and e.load}

    async def _until_unused(self, agent: str) -> None:
        await until(lambda: all(agent not in self._usable(r) for r in self.tables))
        for router in self.tables:
            self.assertEqual(len(self._usable(router)), 2)

    async def test_load_reaches_the_table(self) -> None:
        self.states["agent-0"].load = attrs.evolve(self.states["agent-0"].load, running=7)
        load = self.tables["router-0"].entries["agent-0"]
        await until(lambda: load.load and load.load.running == 7)
        self.assertEqual(load.load.queued, (0, 1, 0, 0))  # type: ignore[union-attr]

    async def test_draining_agent_gets_nothing_new(self) -> None:
        self.states["agent-0"].draining = True
        self.nodes["agent-0"].send_report()  # type: ignore[attr-defined]
        await self._until_unused("agent-0")

    async def test_stopped_agent_gets_nothing_new(self) -> None:
        await self.nodes["agent-0"].close()
        await self._until_unused("agent-0")
        self.assertTrue(self.tables["router-0"].entries["agent-0"].leaving)

    async def test_crashed_agent_gets_nothing_new(self) -> None:
        exchange = self.nodes["agent-0"].exchange
        await exchange._server.close()
        for router in self.tables:
            exchange.get_connection(router).abort_as_replaced()  # type: ignore[union-attr]
        await self._until_unused("agent-0")
        self.assertTrue(self.tables["router-0"].entries["agent-0"].suspected)

    async def test_listed_as_leaving_gets_nothing_new(self) -> None:
        self.hosts[0] = self._host("agent-0", HostState.LEAVING)
        self._list_hosts()
        await self._until_unused("agent-0")

    async def test_dropped_from_records_gets_nothing_new(self) -> None:
        self.groups = {"g": frozenset({"agent-1", "agent-2"})}
        for router in self.tables:
            self.nodes[router].handle_config_change()
        await self._until_unused("agent-0")

    async def test_entry_with_requests_stays_until_they_end(self) -> None:
        table = self.tables["router-0"]
        table.entries["agent-0"].in_flight = 1
        self.hosts = self.hosts[1:]
        await self.nodes["agent-0"].close()
        self._list_hosts()
        await self._until_unused("agent-0")
        self.assertIn("agent-0", table.entries)
        table.entries["agent-0"].in_flight = 0
        await until(lambda: "agent-0" not in table.entries)

    async def test_restarted_agent_is_used_again(self) -> None:
        await self.nodes["agent-0"].close()
        await self._until_unused("agent-0")
        await self._start_agent("agent-0", incarnation=2)
        self.hosts[0] = self._host("agent-0")
        self._list_hosts()
        await until(lambda: all(len(self._usable(r)) == 3 for r in self.tables))
        self.assertEqual(self.tables["router-1"].entries["agent-0"].incarnation, 2)

    async def test_page_reaches_all_nodes_by_relay(self) -> None:
        self.configs["agent-0"].put(3, 9, b"x" * 20_000)  # other agents are two hops away
        self.configs["agent-0"].ready = True
        self.nodes["agent-0"].handle_config_change()
        await until(lambda: all(c.get_page_revisions() == {3: 9} for c in self.configs.values()))

    async def test_strike_floods_to_every_other_node_once(self) -> None:
        self.nodes["agent-0"].report_crashes([STRIKE])
        others = [notes for name, notes in self.notes.items() if name != "agent-0"]
        await until(lambda: all(notes.crash_reports for notes in others))
        self.nodes["agent-1"].report_crashes([STRIKE])
        await asyncio.sleep(0.1)
        for notes in others:
            keys = [(report.fingerprint, report.backend_server) for report in notes.crash_reports]
            self.assertEqual(keys, [(STRIKE.fingerprint, "engine-1")])
        self.assertEqual(self.notes["agent-0"].crash_reports, [])

    async def test_late_router_learns_strikes_and_shards(self) -> None:
        self.nodes["agent-0"].report_crashes([STRIKE])
        self.states["agent-1"].shards = (2, 5)
        await until(lambda: self.notes["router-0"].shards.get("agent-1") == (2, 5))
        await self._start_router("router-2")
        self._list_hosts()
        await until(lambda: self.notes["router-2"].crash_reports)
        await until(lambda: self.notes["router-2"].shards.get("agent-1") == (2, 5))

    async def test_share_is_lent_between_routers(self) -> None:
        for _ in range(2):
            self.notes["router-0"].wishes = (("kalisz", 0.2),)
            await until(lambda: not self.notes["router-0"].wishes)
            await until(lambda: self.notes["router-0"].borrowed)
        await until(lambda: len(self.notes["router-0"].borrowed) == 2)
        lent = sum(share for _, share in self.notes["router-0"].borrowed)
        self.assertAlmostEqual(lent, self.notes["router-1"].lent, places=5)
        self.assertLessEqual(lent, 0.25)

    async def test_share_that_was_not_asked_for_is_not_used(self) -> None:
        node = self.nodes["router-0"]
        node.exchange.send("router-1", ShareGrant(customer="kalisz", share=0.5))
        node.exchange.send("router-1", CrashReportList(crash_reports=(STRIKE,)))
        await until(lambda: self.notes["router-1"].crash_reports)
        self.assertEqual(self.notes["router-1"].borrowed, [])


if __name__ == "__main__":
    unittest.main()
