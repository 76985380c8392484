"""Routers whose store comes back from an older copy, over the platform's protocol."""

from __future__ import annotations

import asyncio
import base64
import json
import unittest
from typing import Any
from unittest.mock import patch

import attrs

import tests.platform_path  # noqa: F401
from boragetiller.errors import StoreUnavailable
from boragetiller.gateway.item_relay import LOST_ITEMS_DELAY_MS
from boragetiller.gateway.state_sync import StoreRevisions
from boragetiller.store_eras import MAX_REVISION, extend_revision
from boragetiller.tables.store_view import StoredItem
from kv_store import KvStoreClient
from tests.gateway.harness import KEY, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ScriptedEngine, build_response
from tests.platform_adapter.store_server import PlatformStoreServer


class CuttableStoreClient(KvStoreClient):
    """Client whose calls fail while its router is cut off from the store."""

    cut = False

    async def _get(self, *args: Any) -> Any:
        if not self.cut:
            response = await super()._get(*args)
        if self.cut:
            raise StoreUnavailable("cut off")
        return response


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """One store, one backend server and one or two routers."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(_respond)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.store = PlatformStoreServer()
        self.endpoint = await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put("op/config", build_config(1))
        self.store.register("a", self.engine, "shop")
        self.first = await self.start_router("router-1")

    async def start_router(self, name: str, *, cut: bool = False, **changes: Any) -> RouterHarness:
        client = CuttableStoreClient(self.endpoint)
        client.cut = cut
        harness = RouterHarness(client, name=name, **changes)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def start_peer(self, **changes: Any) -> RouterHarness:
        seeds = (self.first.router.peer_exchange.endpoint,)
        return await self.start_router("router-2", seeds=seeds, **changes)

    async def restore(self, copy: Any) -> None:
        """Restore the store during an outage, and wait until the first router has reached it."""
        self.store.set_down(True)
        self.store.restore(copy)
        await wait_until(lambda: self.first.store.cut or self.get_reachable() == 0)
        self.store.set_down(False)
        await wait_until(lambda: self.first.store.cut or self.get_reachable() == 1)

    def get_reachable(self) -> float:
        return self.first.router.metrics.store_reachable._value.get()

    def list_accepting(self, harness: RouterHarness | None = None) -> list[str]:
        registry = (harness or self.first).router.registry
        return sorted(s.name for s in registry.servers.find_accepting("shop").servers)

    async def wait_for_version(self, version: int, harness: RouterHarness | None = None) -> None:
        registry = (harness or self.first).router.registry
        await wait_until(lambda: registry.config and registry.config.version == version)

    async def wait_for_marker(self, harness: RouterHarness | None = None) -> None:
        """Wait until a router has read what the store has now."""
        self.store.put("servers/marker", b"{}")
        value = self.store.items["servers/marker"]["revision"]
        view = (harness or self.first).router.registry.store_entries.view
        await wait_until(
            lambda: "servers/marker" in view.items
            and view.items["servers/marker"].revision & 0xFFFFFFFF == value
        )

    async def test_change_that_reuses_a_lost_revision_is_applied(self) -> None:
        copy = self.store.copy()
        lost = self.store.put("op/config", build_config(2))
        await self.wait_for_version(2)
        await self.restore(copy)
        self.assertEqual(self.store.put("op/config", build_config(3)), lost)
        await self.wait_for_version(3)

    async def test_changes_are_applied_after_new_revisions_passed_the_lost_ones(self) -> None:
        copy = self.store.copy()
        self.store.put("op/config", build_config(2))
        for _ in range(5):
            self.store.put("servers/z", b"{}")
        await self.wait_for_version(2)
        self.store.set_down(True)
        self.store.restore(copy)
        self.store.put("op/config", build_config(3))
        for _ in range(9):
            self.store.put("servers/y", b"{}")
        await wait_until(lambda: self.get_reachable() == 0)
        self.store.set_down(False)
        await self.wait_for_version(3)

    async def test_older_copy_does_not_bring_a_revoked_key_back(self) -> None:
        copy = self.store.copy()
        self.store.put("op/config", build_config(2, tenants=[{"name": "n", "api-keys": ["key-2"]}]))
        await self.wait_for_version(2)
        await self.restore(copy)
        await self.wait_for_marker()
        async with self.first.call("/stock/", method="GET") as response:
            self.assertEqual(response.status, 401)
        async with self.first.call(
            "/stock/", method="GET", Authorization="Token key-2"
        ) as response:
            self.assertEqual(response.status, 200)

    async def test_key_revoked_after_the_restore_is_refused(self) -> None:
        copy = self.store.copy()
        for version in (2, 3, 4):
            self.store.put("op/config", build_config(version))
        await self.wait_for_version(4)
        await self.restore(copy)
        self.store.put("op/config", build_config(5, tenants=[]))
        await self.wait_for_version(5)
        async with self.first.call("/stock/", Authorization=f"Token {KEY}") as response:
            self.assertEqual(response.status, 401)

    async def test_draining_server_that_the_copy_shows_as_ready_gets_no_calls(self) -> None:
        copy = self.store.copy()
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        await wait_until(lambda: not self.list_accepting())
        await self.restore(copy)
        await self.wait_for_marker()
        self.assertEqual(self.list_accepting(), [])
        self.store.register("a", self.engine, "shop", state="draining", seq=8)
        await self.wait_for_marker()
        self.assertEqual(self.list_accepting(), [])
        self.store.register("a", self.engine, "shop", born=2_000)
        await wait_until(lambda: self.list_accepting() == ["a"])

    async def test_removed_server_that_the_copy_still_has_gets_no_calls(self) -> None:
        copy = self.store.copy()
        self.store.register("a", self.engine, "shop", seq=7)
        self.store.remove("servers/a")
        await wait_until(lambda: not self.list_accepting())
        await self.restore(copy)
        await self.wait_for_marker()
        self.assertEqual(self.list_accepting(), [])
        self.store.register("a", self.engine, "shop", seq=9)
        await wait_until(lambda: self.list_accepting() == ["a"])

    async def test_server_that_the_copy_lacks_keeps_its_calls_until_it_is_surely_gone(self) -> None:
        copy = self.store.copy()
        self.store.register("b", self.engine, "shop")
        self.store.register("c", self.engine, "shop")
        await wait_until(lambda: self.list_accepting() == ["a", "b", "c"])
        with patch("boragetiller.systems.store_restores.MISSING_GRACE_MS", 600):
            await self.restore(copy)
            await self.wait_for_marker()
            self.assertEqual(self.list_accepting(), ["a", "b", "c"])
            self.store.register("b", self.engine, "shop", seq=5)
            await wait_until(lambda: self.list_accepting() == ["a", "b"])

    async def test_second_restore_before_the_first_is_over(self) -> None:
        first_copy = self.store.copy()
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        second_copy = self.store.copy()
        for version in (2, 3):
            self.store.put("op/config", build_config(version))
        await self.wait_for_version(3)
        await self.restore(second_copy)
        await self.restore(first_copy)
        await self.wait_for_marker()
        self.assertEqual(self.list_accepting(), [])
        self.assertEqual(self.first.router.registry.config.version, 3)
        self.store.put("op/config", build_config(4))
        await self.wait_for_version(4)

    async def test_router_cut_off_from_the_store_learns_changes_of_the_new_era(self) -> None:
        second = await self.start_peer()
        copy = self.store.copy()
        self.store.put("op/config", build_config(2))
        self.store.register("b", self.engine, "shop")
        await self.wait_for_version(2, second)
        await wait_until(lambda: self.list_accepting(second) == ["a", "b"])
        second.store.cut = True
        await self.restore(copy)
        self.store.put("op/config", build_config(3))
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        await self.wait_for_version(3, second)
        await wait_until(lambda: self.list_accepting(second) == ["b"])

    async def test_router_that_joins_after_a_restore_learns_what_the_copy_lacks(self) -> None:
        copy = self.store.copy()
        self.store.put("op/config", build_config(2))
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        self.store.register("b", self.engine, "shop")
        await self.wait_for_version(2)
        await wait_until(lambda: self.list_accepting() == ["b"])
        await self.restore(copy)
        second = await self.start_peer()
        await self.wait_for_version(2, second)
        await wait_until(lambda: self.list_accepting(second) == ["b"])

    async def test_router_that_joins_learns_it_from_peers_that_do_not_reach_the_store(self) -> None:
        copy = self.store.copy()
        self.store.put("op/config", build_config(2))
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        await wait_until(lambda: not self.list_accepting())
        self.first.store.cut = True
        await self.restore(copy)
        second = await self.start_peer()
        await self.wait_for_version(2, second)
        await wait_until(lambda: not self.list_accepting(second))

    async def test_server_removed_after_the_grace_leaves_a_router_without_store_access(
        self,
    ) -> None:
        second = await self.start_peer()
        copy = self.store.copy()
        self.store.register("b", self.engine, "shop")
        await wait_until(lambda: self.list_accepting(second) == ["a", "b"])
        second.store.cut = True
        with patch("boragetiller.systems.store_restores.MISSING_GRACE_MS", 600):
            await self.restore(copy)
            await wait_until(lambda: self.list_accepting() == ["a"])
            await wait_until(lambda: self.list_accepting(second) == ["a"])

    async def test_lost_servers_are_sent_also_when_they_are_listed_after_the_configuration(
        self,
    ) -> None:
        copied = self.store.items["servers/a"]
        self.store.register("a", self.engine, "shop", state="draining", seq=7)
        await wait_until(lambda: not self.list_accepting())
        await self.start_peer(cut=True)
        registry = self.first.router.registry
        draining = registry.store_entries.view.items["servers/a"]
        config = registry.store_entries.view.items["op/config"]
        sent: list[StoredItem] = []
        exchange = self.first.router.peer_exchange

        def record(_writer: object, items: list[StoredItem], *, compact: bool = False) -> None:
            sent.extend(items)

        with patch.object(exchange._item_relay, "send_items", record):
            registry.apply_changes([attrs.evolve(config, revision=extend_revision(2, 2))], "test")
            await asyncio.sleep(3 * LOST_ITEMS_DELAY_MS / 1_000)
            revision = extend_revision(2, copied["revision"])
            value = base64.b64decode(copied["value"])
            registry.apply_changes([StoredItem("servers/a", value, revision)], "test")
            await wait_until(lambda: draining in sent)

    async def test_responses_without_an_era_are_applied(self) -> None:
        for header in ("", "garbled", "99999999"):
            self.store.era_header = header
            version = self.store.revision
            self.store.put("op/config", build_config(version))
            await self.wait_for_version(version)

    async def test_router_of_the_last_release_gets_changes_by_the_stores_own_revision(self) -> None:
        sync = self.first.router.state_sync
        revisions = sync.get_revisions()
        without_era = StoreRevisions(revisions.config & MAX_REVISION, 0)
        self.assertEqual(
            [item.key for item in sync.list_items_newer_than(without_era)], ["servers/a"]
        )
        self.assertFalse(revisions.is_eras_ahead_of(without_era))
        sync.apply_items((StoredItem("op/config", json.dumps(build_config(8)).encode(), 3),), "old")
        await self.wait_for_version(8)


async def _respond(request: Any, writer: Any) -> None:
    writer.write(build_response(request.request_id))


if __name__ == "__main__":
    unittest.main()
