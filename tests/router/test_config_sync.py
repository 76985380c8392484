"""Tests of the synchronization of a node's configuration with the store and with peers."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import attrs

from boragetiller.clock import ManualClock
from boragetiller.platform_clients.faults import CallKind
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.records.pages import build_page_key, get_page_index
from boragetiller.router.config_sync import ConfigSync
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ConfigSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.tables.config import ConfigTable
from tests.cli.sample_writes import write_fields, write_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS = Settings(
    role=Role.ROUTER,
    name="router-1",
    failure_domain="vl-a",
    control=ControlSettings(key="k"),
    operator=OperatorSettings(key="k"),
    platform=PlatformSettings(store_url="http://127.0.0.1:1", host_list_url="http://127.0.0.1:1"),
    config=ConfigSettings(retry_base_ms=1, retry_max_ms=2, watch_restart_ms=50, peer_wait_ms=1),
    seed=1,
)
TEST_TIMEOUT_S = 30
QUOTE_PAGE = get_page_index("class/quote")


class Node:
    """A node with its configuration table."""

    def __init__(self, store: MemoryStore, settings: Settings = SETTINGS) -> None:
        """:param store: store of the node, which other nodes may share"""
        self.table = ConfigTable()
        self.changed = asyncio.Event()
        self.sync = ConfigSync(store, self.table, settings, ManualClock(), self.changed.set)

    async def wait_until(self, condition: Callable[[ConfigTable], bool]) -> None:
        """Wait for a condition on the table, checked after each change."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition(self.table):
                self.changed.clear()
                await self.changed.wait()


class ConfigSyncTest(unittest.IsolatedAsyncioTestCase):
    """A store that is up, stale or down; watches that repeat, skip or end; pages from peers."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore(ManualClock())
        self.node = Node(self.store)
        self.addAsyncCleanup(self.node.sync.close)

    async def test_empty_store_is_a_complete_configuration(self) -> None:
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        self.assertEqual(self.node.sync.get_not_ready_reason(), "")

    async def test_records_follow_a_store_that_was_restored_from_an_older_copy(self) -> None:
        await write_fleet(self.store)
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        copy = self.store.copy()
        await write_fields(self.store, "class", "quote", tier=2)
        await self.node.wait_until(lambda t: t.classes["quote"].tier == 2)
        lost_revision = self.node.table.pages[QUOTE_PAGE].revision
        self.store.restore(copy)
        await self.node.wait_until(lambda t: t.pages[QUOTE_PAGE].revision > lost_revision)
        self.assertEqual(self.node.table.classes["quote"].tier, 2)
        await write_fields(self.store, "class", "quote", tier=1)
        await self.node.wait_until(lambda t: t.classes["quote"].tier == 1)

    async def test_reachable_store_is_listed_once_and_watched(self) -> None:
        await write_fleet(self.store)
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        self.assertEqual(list(self.node.table.customers_by_key.values()), ["morgun"])
        self.assertEqual(self.store.counts[CallKind.LIST], 2)  # by the writer and by the node
        await write_fields(self.store, "class", "quote", tier=2)
        await self.node.wait_until(lambda t: t.classes["quote"].tier == 2)

    async def test_watch_faults_never_decrease_a_page_revision(self) -> None:
        await write_fleet(self.store)
        self.store.inject_faults(watch_repeat=True, watch_skip=True, watch_end=True, delay_ms=1)
        await self.node.sync.start()
        seen = []
        for tier in (1, 2, 3, 1, 2, 3):
            await write_fields(self.store, "class", "quote", tier=tier)
            await self.node.wait_until(
                lambda t, tier=tier: t.ready and t.classes["quote"].tier == tier
            )
            seen.append(self.node.table.page_revisions[build_page_key(QUOTE_PAGE)])
        self.assertEqual(seen, sorted(set(seen)))

    async def test_stale_read_is_corrected_by_the_watch(self) -> None:
        await write_fleet(self.store)
        self.store.inject_faults(stale_reads=True)
        stale = Node(self.store)
        self.store.inject_faults(stale_reads=False)
        await write_fields(self.store, "class", "quote", tier=3)
        self.store.inject_faults(stale_reads=True)
        await stale.sync.start()
        self.addAsyncCleanup(stale.sync.close)
        await stale.wait_until(lambda t: t.ready and t.classes["quote"].tier == 3)

    async def test_configuration_stays_ready_in_an_outage_and_catches_up(self) -> None:
        await write_fleet(self.store)
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        self.store.inject_faults(outage=True)
        await asyncio.sleep(0.01)
        self.assertTrue(self.node.table.ready)
        self.store.inject_faults(outage=False)
        await write_fields(self.store, "class", "quote", tier=3)
        await self.node.wait_until(lambda t: t.classes["quote"].tier == 3)

    async def test_store_down_without_peers_is_not_ready_with_reason(self) -> None:
        self.store.inject_faults(outage=True)
        await self.node.sync.start()
        await asyncio.sleep(0.01)
        self.assertFalse(self.node.sync.ready)
        self.assertIn("store does not answer and no peer", self.node.sync.get_not_ready_reason())

    async def test_store_down_becomes_ready_from_peers(self) -> None:
        await write_fleet(self.store)
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        down = MemoryStore(ManualClock())
        down.inject_faults(outage=True)
        booting = Node(down, attrs.evolve(SETTINGS, name="router-2"))
        await booting.sync.start()
        self.addAsyncCleanup(booting.sync.close)
        versions = self.node.sync.get_page_revisions()
        wanted = booting.sync.record_peer_revisions("router-1", versions, complete=True)
        self.assertEqual(wanted, sorted(versions))
        for page in self.node.sync.list_newer_pages(booting.sync.get_page_revisions()):
            self.assertFalse(booting.sync.ready)
            booting.sync.apply_page(page.index, page.revision, page.data)
        self.assertTrue(booting.sync.ready)
        self.assertEqual(booting.table.classes, self.node.table.classes)

    async def test_incomplete_peer_does_not_make_ready(self) -> None:
        self.node.sync.record_peer_revisions("router-9", {}, complete=False)
        self.assertFalse(self.node.sync.ready)

    async def test_older_page_from_peer_is_refused(self) -> None:
        await write_fleet(self.store)
        old = await self.store.get(build_page_key(QUOTE_PAGE))
        await write_fields(self.store, "class", "quote", tier=3)
        await self.node.sync.start()
        await self.node.wait_until(lambda t: t.ready)
        assert old is not None
        self.assertFalse(self.node.sync.apply_page(QUOTE_PAGE, old.revision, old.value))
        self.assertEqual(self.node.table.classes["quote"].tier, 3)

    async def test_agent_does_not_call_the_store_while_peers_send_heartbeats(self) -> None:
        backend = BackendSettings(name="e", group="g", kind=BackendKind.ENGINE, url="http://x")
        settings = attrs.evolve(SETTINGS, name="agent-1", role=Role.AGENT, backend=backend)
        agent = Node(self.store, settings)
        agent.sync.record_peer_revisions("router-1", {}, complete=True)
        await agent.sync.start()
        self.addAsyncCleanup(agent.sync.close)
        await asyncio.sleep(0.02)
        self.assertTrue(agent.sync.ready)
        self.assertEqual(sum(self.store.counts.values()), 0)


if __name__ == "__main__":
    unittest.main()
