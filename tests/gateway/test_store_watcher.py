"""Updates from a faulty store, from the caches of engines, and from the settings file."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest.mock import patch

import aiohttp

from boragetiller.errors import SettingsInvalid
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.settings_reloader import SettingsReloader
from boragetiller.tables.server_table import ServerTable
from tests.gateway.harness import (
    FakeStore,
    RouterHarness,
    build_config,
    build_settings,
    wait_until,
)
from tests.gateway.scripted_engine import ScriptedEngine, build_response
from tests.platform_adapter.messages import SERVER
from tests.unusable_values import UNUSABLE_VALUES


class StoreWatcherTest(unittest.IsolatedAsyncioTestCase):
    """One router with its store and one backend server."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(
            lambda r, w: asyncio.sleep(0, w.write(build_response(r.request_id)))
        )
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness()
        self.store: FakeStore = self.harness.store
        self.store.register("a", self.engine, "shop")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)
        self.registry = self.harness.router.registry

    async def test_new_configuration_is_applied(self) -> None:
        self.store.put("op/config", build_config(2))
        await wait_until(lambda: self.registry.config.version == 2)

    async def test_older_configuration_is_ignored(self) -> None:
        self.store.put("op/config", build_config(5))
        await wait_until(lambda: self.registry.config.version == 5)
        self.store.put("op/config", build_config(4))
        self.store.put("servers/z", b"{}")
        await wait_until(lambda: "servers/z" in self.registry.store_entries.view.items)
        self.assertEqual(self.registry.config.version, 5)

    async def test_unreadable_configuration_is_ignored(self) -> None:
        self.store.put("op/config", b"{")
        self.store.put("op/config", build_config(3))
        await wait_until(lambda: self.registry.config.version == 3)

    async def test_compacted_history_is_replaced_by_a_listing(self) -> None:
        self.store.watches_stalled = True
        self.store.put("op/config", build_config(2))
        self.store.remove("servers/a")
        self.store.compact()
        await wait_until(lambda: self.registry.config.version == 2)
        await wait_until(lambda: not self.registry.servers.by_name)

    async def test_poll_finds_changes_that_a_watch_misses(self) -> None:
        with patch("boragetiller.systems.store_polling.POLL_INTERVAL_MS", 50):
            self.store.watches_stalled = True
            self.store.put("op/config", build_config(2))
            await wait_until(lambda: self.registry.config.version == 2)

    async def test_router_serves_calls_during_a_store_outage_and_recovers(self) -> None:
        self.store.down = True
        self.store.put("servers/z", b"{}")
        async with self.harness.call("/stock/") as response:
            self.assertEqual(response.status, 200)
        self.store.put("op/config", build_config(2))
        self.store.down = False
        await wait_until(lambda: self.registry.config.version == 2)

    async def test_unexpected_error_in_a_task_restarts_it(self) -> None:
        broken = patch.object(
            self.registry, "apply_changes", side_effect=RuntimeError("unexpected")
        )
        no_reread = patch("boragetiller.systems.store_polling.POLL_INTERVAL_MS", 60_000)
        with no_reread, patch("boragetiller.gateway.supervisor.RESTART_DELAY_MS", 5):
            with broken as apply_changes:
                self.store.put("op/config", build_config(2))
                await wait_until(lambda: apply_changes.called)
            self.store.put("op/config", build_config(3))
            await wait_until(lambda: self.registry.config.version == 3)

    async def test_failed_task_is_counted_and_logged_with_its_origin(self) -> None:
        failing = patch.object(self.registry, "apply_changes", side_effect=RuntimeError("no"))
        with patch("boragetiller.gateway.supervisor.log_event") as log, failing:
            self.store.put("servers/z", b"{}")
            await wait_until(lambda: log.called)
        fields = log.call_args.kwargs
        self.assertEqual(
            (fields["task"], fields["reason"]), ("follow servers/", repr(RuntimeError("no")))
        )
        self.assertRegex(fields["raised_at"], r"^mock\.py:\d+ ")
        counter = self.harness.router.metrics.task_failures.labels("follow servers/")
        self.assertGreaterEqual(counter._value.get(), 1)

    async def test_draining_server_gets_no_new_calls(self) -> None:
        self.store.register("a", self.engine, "shop", state="draining")
        await wait_until(lambda: not self.registry.servers.find_accepting("shop").servers)
        async with self.harness.call("/reserve/") as response:
            self.assertEqual(response.status, 503)
        self.assertFalse(self.engine.requests)

    async def test_delayed_older_entry_does_not_bring_a_draining_server_back(self) -> None:
        self.store.register("a", self.engine, "shop", born=12, seq=8, state="draining")
        await wait_until(lambda: not self.registry.servers.find_accepting("shop").servers)
        self.store.register("a", self.engine, "shop", born=12, seq=7)
        revision = self.store.revision
        view = self.registry.store_entries.view
        await wait_until(lambda: view.items["servers/a"].revision == revision)
        self.assertFalse(self.registry.servers.find_accepting("shop").servers)
        self.store.register("a", self.engine, "shop", born=12, seq=9)
        await wait_until(lambda: self.registry.servers.find_accepting("shop").servers)

    async def test_server_that_changes_its_group_leaves_the_old_one(self) -> None:
        self.store.register("a", self.engine, "engines")
        await wait_until(lambda: not self.registry.servers.find_accepting("shop").servers)

    async def test_restarted_server_starts_with_fresh_health(self) -> None:
        self.registry.servers.by_name["a"].health.failures = 1
        self.store.register("a", self.engine, "shop", born=12)
        await wait_until(lambda: self.registry.servers.by_name["a"].record.started_ms == 12)
        self.assertEqual(self.registry.servers.by_name["a"].health.failures, 0)

    async def test_unreadable_server_entries_are_ignored(self) -> None:
        for number, value in enumerate((b"", b"[]", b"{}", b"\xff", b'{"service": 1}')):
            self.store.put(f"servers/bad{number}", value)
        self.store.register("unknown-state", self.engine, "shop", state="resting")
        self.store.register("unknown-service", self.engine, "no-such-service")
        await wait_until(
            lambda: "servers/unknown-service" in self.registry.store_entries.view.items
        )
        self.assertEqual(set(self.registry.servers.by_name), {"a"})
        self.assertEqual(self.harness.router.metrics.unreadable_servers._value.get(), 6)

    async def test_foreign_entry_with_unusable_values_does_not_stop_the_list(self) -> None:
        # Guards against calls to draining servers after a decoding error has stopped the list.
        for number, text in enumerate(UNUSABLE_VALUES):
            for field in ("address", "born", "cold-left-ms", "service", "slots", "zone"):
                document = json.dumps(SERVER | {"service": "unknown", field: "@"})
                value = document.replace('"@"', text).encode()
                self.store.put(f"servers/foreign-{number}-{field}", value)
        self.store.register("a", self.engine, "shop", state="draining")
        await wait_until(lambda: not self.registry.servers.find_accepting("shop").servers)
        self.assertEqual(set(self.registry.servers.by_name), {"a"})
        started = RouterHarness(self.store, name="router-2")
        await started.start()
        self.addAsyncCleanup(started.close)
        await wait_until(lambda: started.router.registry.is_ready)
        self.store.register("a", self.engine, "shop")
        await wait_until(lambda: started.router.registry.servers.find_accepting("shop").servers)
        async with started.call("/stock/") as response:
            self.assertEqual(response.status, 200)


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    """Readiness of a router whose list of backend servers cannot be applied."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.store.put("op/config", build_config())
        self.harness = RouterHarness(self.store)
        self.registry = self.harness.router.registry

    async def start(self) -> None:
        await self.harness.router.start()
        self.harness.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.harness.close)

    async def get_readiness(self) -> int:
        port = self.harness.router.readiness_listener.port
        async with self.harness.session.get(f"http://127.0.0.1:{port}/ready") as response:
            return response.status

    async def test_router_is_not_ready_until_the_list_is_applied(self) -> None:
        # Guards against a router that is ready and serves no call, since its list is not applied.
        failing = patch.object(ServerTable, "replace", side_effect=RuntimeError("unexpected"))
        with failing as replace:
            await self.start()
            await wait_until(lambda: replace.call_count > 1)
            self.assertEqual(await self.get_readiness(), 503)
        await wait_until(lambda: self.registry.is_ready)
        self.assertEqual(await self.get_readiness(), 200)

    async def test_list_without_a_readable_entry_does_not_make_a_router_ready(self) -> None:
        self.store.put("servers/a", b"{")
        await self.start()
        await wait_until(lambda: "servers/a" in self.registry.store_entries.view.items)
        self.assertEqual(await self.get_readiness(), 503)
        self.store.put("servers/b", json.dumps(SERVER).encode())
        await wait_until(lambda: self.registry.is_ready)
        self.assertEqual(await self.get_readiness(), 200)


class PrefixCacheReaderTest(unittest.IsolatedAsyncioTestCase):
    """Reads of the prefix cache of engines that are added to the list."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(
            lambda r, w: asyncio.sleep(0, w.write(build_response(r.request_id)))
        )
        self.engine.cached_parts = [("aa", 800), ("bb", 100)]
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness()
        self.store = self.harness.store
        self.store.register("e", self.engine, "engines")
        self.store.register("s", self.engine, "shop")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)
        self.servers = self.harness.router.registry.servers.by_name
        await wait_until(lambda: self.engine.cache_reads == 1)

    async def test_started_router_reads_the_cache_of_an_engine(self) -> None:
        await wait_until(lambda: self.servers["e"].cached_tokens == 900)
        self.assertEqual(set(self.servers["e"].cached_parts), {"aa", "bb"})
        self.assertEqual(self.servers["s"].cached_tokens, 0)

    async def test_cache_of_a_relisted_engine_is_read_again(self) -> None:
        self.store.remove("servers/e")
        await wait_until(lambda: "e" not in self.servers)
        self.store.register("e", self.engine, "engines")
        await wait_until(lambda: "e" in self.servers and self.servers["e"].cached_tokens == 900)

    async def test_engine_with_unreadable_cache_is_assumed_empty_and_used(self) -> None:
        with patch(
            "tests.gateway.scripted_engine.build_cache_list",
            return_value=b"HTTP/1.1 404 No\r\n\r\n",
        ):
            self.store.register("f", self.engine, "engines")
            await wait_until(lambda: self.engine.cache_reads == 2)
        self.assertEqual(self.servers["f"].cached_tokens, 0)
        self.assertIn(
            "f",
            [
                s.name
                for s in self.harness.router.registry.servers.find_accepting("engines").servers
            ],
        )


class SettingsReloaderTest(unittest.IsolatedAsyncioTestCase):
    """Changes of the settings file while the process runs."""

    def setUp(self) -> None:
        self.current = build_settings()
        self.applied: list[object] = []
        self.metrics = GatewayMetrics()
        self.reloader = SettingsReloader(
            build_settings(), self.load, self.applied.append, self.metrics
        )

    def load(self) -> object:
        if isinstance(self.current, Exception):
            raise self.current
        return self.current

    def test_check_applies_a_change_once(self) -> None:
        self.current = build_settings(seeds=(build_settings().peers,))
        self.reloader.check()
        self.reloader.check()
        self.assertEqual(self.applied, [self.current])

    def test_check_ignores_an_invalid_file(self) -> None:
        self.current = SettingsInvalid("half written")
        self.reloader.check()
        self.assertEqual(self.applied, [])
        self.current = build_settings(grace_ms=1)
        self.reloader.check()
        self.assertEqual(len(self.applied), 1)

    async def test_unexpected_error_does_not_end_the_periodic_checks(self) -> None:
        # Guards against a task that ends unseen, so that no later change of the file is read.
        self.current = RuntimeError("unexpected")
        quick = patch("boragetiller.gateway.settings_reloader.CHECK_INTERVAL_MS", 1)
        with quick, patch("boragetiller.gateway.supervisor.RESTART_DELAY_MS", 1):
            self.reloader.start()
            failures = self.metrics.task_failures.labels("reload settings")
            await wait_until(lambda: failures._value.get() > 0)
            self.current = build_settings(grace_ms=1)
            await wait_until(lambda: self.applied)
            await self.reloader.close()


if __name__ == "__main__":
    unittest.main()
