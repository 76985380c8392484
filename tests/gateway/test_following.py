"""A router that follows the store through its faults, and its own settings file."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from boragetiller.errors import SettingsInvalid
from boragetiller.gateway.settings_reloader import SettingsReloader
from tests.gateway.harness import MemoryStore, RouterHarness, config, settings, wait_until
from tests.gateway.scripted_engine import ScriptedEngine, answer


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    """One router, its store and one server."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(lambda r, w: asyncio.sleep(0, w.write(answer(r.request_id))))
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness()
        self.store: MemoryStore = self.harness.store
        self.store.register("a", self.engine, "shop")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)
        self.registry = self.harness.router.registry

    async def test_new_version_is_in_force_at_once(self) -> None:
        self.store.put("op/config", config(2))
        await wait_until(lambda: self.registry.config.version == 2)

    async def test_older_version_never_comes_back(self) -> None:
        self.store.put("op/config", config(5))
        await wait_until(lambda: self.registry.config.version == 5)
        self.store.put("op/config", config(4))
        self.store.put("servers/z", b"{}")
        await wait_until(lambda: "servers/z" in self.registry.store_view.items)
        self.assertEqual(self.registry.config.version, 5)

    async def test_unreadable_configuration_leaves_the_last_one_in_force(self) -> None:
        self.store.put("op/config", b"{")
        self.store.put("op/config", config(3))
        await wait_until(lambda: self.registry.config.version == 3)

    async def test_lost_history_is_made_up_by_a_listing(self) -> None:
        self.store.watches_stalled = True
        self.store.put("op/config", config(2))
        self.store.remove("servers/a")
        self.store.compact()
        await wait_until(lambda: self.registry.config.version == 2)
        await wait_until(lambda: not self.registry.servers.by_name)

    async def test_deaf_watch_is_made_up_by_a_plain_read(self) -> None:
        with patch("boragetiller.systems.store_polling.POLL_INTERVAL_MS", 50):
            self.store.watches_stalled = True
            self.store.put("op/config", config(2))
            await wait_until(lambda: self.registry.config.version == 2)

    async def test_outage_leaves_all_in_force_and_ends(self) -> None:
        self.store.down = True
        self.store.put("servers/z", b"{}")
        async with self.harness.call("/stock/") as got:
            self.assertEqual(got.status, 200)
        self.store.put("op/config", config(2))
        self.store.down = False
        await wait_until(lambda: self.registry.config.version == 2)

    async def test_unforeseen_error_in_a_task_does_not_end_it(self) -> None:
        broken = patch.object(self.registry, "apply_changes", side_effect=RuntimeError("odd"))
        no_reread = patch("boragetiller.systems.store_polling.POLL_INTERVAL_MS", 60_000)
        with no_reread, patch("boragetiller.gateway.supervisor.RESTART_MS", 5):
            with broken as taken:
                self.store.put("op/config", config(2))
                await wait_until(lambda: taken.called)
            self.store.put("op/config", config(3))
            await wait_until(lambda: self.registry.config.version == 3)

    async def test_draining_server_gets_no_new_work(self) -> None:
        self.store.register("a", self.engine, "shop", state="draining")
        await wait_until(lambda: not self.registry.servers.accepting("shop").servers)
        async with self.harness.call("/reserve/") as got:
            self.assertEqual(got.status, 503)
        self.assertFalse(self.engine.requests)

    async def test_address_that_now_serves_another_group_is_not_used_for_the_old_one(self) -> None:
        self.store.register("a", self.engine, "engines")
        await wait_until(lambda: not self.registry.servers.accepting("shop").servers)

    async def test_same_name_born_again_begins_with_nothing(self) -> None:
        self.registry.servers.by_name["a"].health.failures = 1
        self.store.register("a", self.engine, "shop", born=12)
        await wait_until(lambda: self.registry.servers.by_name["a"].record.started_ms == 12)
        self.assertEqual(self.registry.servers.by_name["a"].health.failures, 0)

    async def test_unreadable_entries_leave_the_others_in_use(self) -> None:
        for number, value in enumerate((b"", b"[]", b"{}", b"\xff", b'{"service": 1}')):
            self.store.put(f"servers/bad{number}", value)
        self.store.register("odd", self.engine, "shop", state="resting")
        self.store.register("none", self.engine, "no-such-service")
        await wait_until(lambda: "servers/none" in self.registry.store_view.items)
        self.assertEqual(set(self.registry.servers.by_name), {"a"})


class CacheReadingTest(unittest.IsolatedAsyncioTestCase):
    """What routers learn of engines that come onto the list."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(lambda r, w: asyncio.sleep(0, w.write(answer(r.request_id))))
        self.engine.held = [("aa", 800), ("bb", 100)]
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

    async def test_router_that_starts_learns_what_an_engine_holds(self) -> None:
        await wait_until(lambda: self.servers["e"].cached_tokens == 900)
        self.assertEqual(set(self.servers["e"].cached_parts), {"aa", "bb"})
        self.assertEqual(self.servers["s"].cached_tokens, 0)

    async def test_engine_that_was_lost_from_the_list_is_asked_again(self) -> None:
        self.store.remove("servers/e")
        await wait_until(lambda: "e" not in self.servers)
        self.store.register("e", self.engine, "engines")
        await wait_until(lambda: "e" in self.servers and self.servers["e"].cached_tokens == 900)

    async def test_engine_that_does_not_tell_counts_as_empty_and_is_used(self) -> None:
        with patch(
            "tests.gateway.scripted_engine.cache_list", return_value=b"HTTP/1.1 404 No\r\n\r\n"
        ):
            self.store.register("f", self.engine, "engines")
            await wait_until(lambda: self.engine.cache_reads == 2)
        self.assertEqual(self.servers["f"].cached_tokens, 0)
        self.assertIn(
            "f", [s.name for s in self.harness.router.registry.servers.accepting("engines").servers]
        )


class ReloadTest(unittest.TestCase):
    """Settings that change while the process runs."""

    def setUp(self) -> None:
        self.current = settings()
        self.applied: list[object] = []
        self.reloader = SettingsReloader(settings(), self.load, self.applied.append)

    def load(self) -> object:
        if isinstance(self.current, Exception):
            raise self.current
        return self.current

    def test_check_applies_a_change_once(self) -> None:
        self.current = settings(seeds=(settings().peers,))
        self.reloader.check()
        self.reloader.check()
        self.assertEqual(self.applied, [self.current])

    def test_check_keeps_the_settings_when_the_file_is_bad(self) -> None:
        self.current = SettingsInvalid("half written")
        self.reloader.check()
        self.assertEqual(self.applied, [])
        self.current = settings(grace_ms=1)
        self.reloader.check()
        self.assertEqual(len(self.applied), 1)


if __name__ == "__main__":
    unittest.main()
