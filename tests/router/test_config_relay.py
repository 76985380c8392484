"""Nodes that can't reach the store receive the configuration over the control exchange."""

from __future__ import annotations

import unittest

from bench.config_fleet import ConfigNode, apply_host_list_to_routers, new_unreachable_store
from boragetiller.clock import SystemClock
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.router.config_status import build_config_status, build_record_status
from boragetiller.settings import Role
from tests.cli.sample_writes import write_fields, write_fleet


class ConfigRelayTest(unittest.IsolatedAsyncioTestCase):
    """One router that reaches the store; a router and an agent that don't."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore(SystemClock())
        await write_fleet(self.store)
        self.connected_router = ConfigNode("router-1", Role.ROUTER, self.store, heartbeat_ms=100)
        self.cut_off_router = ConfigNode(
            "router-2", Role.ROUTER, new_unreachable_store(), heartbeat_ms=100
        )
        self.agent = ConfigNode("agent-1", Role.AGENT, new_unreachable_store(), heartbeat_ms=100)
        self.nodes = [self.connected_router, self.cut_off_router, self.agent]
        for node in self.nodes:
            await node.start()
            self.addAsyncCleanup(node.close)
        await self.connected_router.wait_until(lambda: self.connected_router.table.ready)
        self.assertFalse(self.cut_off_router.table.ready)
        apply_host_list_to_routers(self.nodes)

    async def test_start_in_an_outage_gets_all_pages_from_peers(self) -> None:
        for node in (self.cut_off_router, self.agent):
            await node.wait_until(lambda n=node: n.table.ready)
            self.assertEqual(node.table.page_revisions, self.connected_router.table.page_revisions)
            self.assertEqual(node.table.customers, self.connected_router.table.customers)
        status = build_config_status(self.cut_off_router.sync, self.cut_off_router.table)
        self.assertEqual((status.ready, status.store), (True, "unreachable"))

    async def test_change_reaches_nodes_without_a_store(self) -> None:
        for tier in (1, 2, 3):
            await write_fields(self.store, "class", "quote", tier=tier)
            for node in self.nodes:
                await node.wait_until(
                    lambda n=node, tier=tier: n.table.ready
                    and n.table.classes["quote"].tier == tier
                )
        status = build_record_status(
            self.connected_router.sync, self.connected_router.table, "class/quote", "router-1", 0
        )
        self.assertEqual(status.record_revision, 4)
        self.assertEqual(status.nodes[0].node, "router-1")
        self.assertGreater(len(status.nodes), 1)

    async def test_router_that_joins_after_a_restore_learns_the_lost_records(self) -> None:
        copy = self.store.copy()
        await write_fields(self.store, "class", "quote", tier=2)
        for node in self.nodes:
            await node.wait_until(
                lambda n=node: n.table.ready and n.table.classes["quote"].tier == 2
            )
        self.store.restore(copy)
        joined = ConfigNode("router-3", Role.ROUTER, self.store, heartbeat_ms=100)
        await joined.start()
        self.addAsyncCleanup(joined.close)
        await joined.wait_until(lambda: joined.table.ready)
        apply_host_list_to_routers([*self.nodes, joined])
        await joined.wait_until(lambda: joined.table.classes["quote"].tier == 2)
        await write_fields(self.store, "class", "quote", tier=1)
        for node in [*self.nodes, joined]:
            await node.wait_until(lambda n=node: n.table.classes["quote"].tier == 1)


if __name__ == "__main__":
    unittest.main()
