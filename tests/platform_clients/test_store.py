"""Tests of the store, in memory and over HTTP."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from boragetiller.clock import ManualClock
from boragetiller.errors import RevisionConflict, StoreUnavailable, ValueTooLarge
from boragetiller.platform_clients.faults import CallKind
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.platform_clients.memory_store import (
    MAX_CHANGE_LOG_ENTRIES,
    MAX_VALUE_BYTES,
    MemoryStore,
)
from boragetiller.settings import PlatformSettings
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings

if TYPE_CHECKING:
    from boragetiller.platform_clients.store import Entry, Store


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    """Compare-and-swap, watches, leases and faults of the in-memory store."""

    store: Store
    memory: MemoryStore

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = self.memory

    async def test_put_creates_and_replaces(self) -> None:
        first = await self.store.put("a/1", b"x\n\x00", expected_revision=0)
        second = await self.store.put("a/2", b"y", expected_revision=0)
        third = await self.store.put("a/1", b"z", expected_revision=first)
        self.assertLess(first, second)
        self.assertLess(second, third)
        entries = await self.store.list("a/")
        self.assertEqual([(e.key, e.value) for e in entries], [("a/1", b"z"), ("a/2", b"y")])
        self.assertIsNone(await self.store.get("a"))

    async def test_put_with_wrong_revision_conflicts(self) -> None:
        revision = await self.store.put("k", b"1", expected_revision=0)
        for expected in (0, revision + 1):
            with self.assertRaises(RevisionConflict):
                await self.store.put("k", b"2", expected_revision=expected)
        entry = await self.store.get("k")
        self.assertEqual(entry and entry.value, b"1")

    async def test_value_over_the_size_limit_is_refused(self) -> None:
        value = bytes(range(256)) * (MAX_VALUE_BYTES // 256)
        await self.store.put("k", value, expected_revision=0)
        self.assertEqual((await self.store.list("k"))[0].value, value)
        with self.assertRaises(ValueTooLarge):
            await self.store.put("large", value + b"x", expected_revision=0)

    async def test_key_created_after_deletion_has_a_higher_revision(self) -> None:
        revision = await self.store.put("k", b"1", expected_revision=0)
        with self.assertRaises(RevisionConflict):
            await self.store.delete("k", expected_revision=revision + 1)
        await self.store.delete("k", expected_revision=revision)
        self.assertIsNone(await self.store.get("k"))
        self.assertGreater(await self.store.put("k", b"2", expected_revision=0), revision + 1)

    async def test_put_with_lost_reply_takes_effect_once(self) -> None:
        self.memory.drop_next_reply()
        with self.assertRaises(StoreUnavailable):
            await self.store.put("k", b"1", expected_revision=0)
        entry = await self.store.get("k")
        self.assertEqual(entry and entry.value, b"1")
        self.assertEqual(self.memory.counts[CallKind.PUT], 1)

    async def test_put_with_lost_request_has_no_effect(self) -> None:
        self.memory.inject_faults(lose_requests=1)
        with self.assertRaises(StoreUnavailable):
            await self.store.put("k", b"1", expected_revision=0)
        self.assertIsNone(await self.store.get("k"))

    async def test_outage_fails_calls_and_watches(self) -> None:
        watch = self.store.watch("k", after_revision=0)
        await self.store.put("k", b"1", expected_revision=0)
        await anext(watch)
        self.memory.inject_faults(outage=True)
        with self.assertRaises(StoreUnavailable):
            await anext(watch)
        with self.assertRaises(StoreUnavailable):
            await self.store.get("k")
        self.memory.inject_faults(outage=False)
        self.assertIsNotNone(await self.store.get("k"))

    async def test_stale_reads_return_old_values(self) -> None:
        await self.store.put("k", b"1", expected_revision=0)
        self.memory.inject_faults(stale_reads=True)
        await self.store.put("l", b"2", expected_revision=0)
        self.assertEqual([entry.key for entry in await self.store.list("")], ["k"])

    async def test_watch_sends_changes_and_deletions(self) -> None:
        first = await self.store.put("a/1", b"1", expected_revision=0)
        await self.store.put("b/1", b"1", expected_revision=0)
        second = await self.store.put("a/1", b"2", expected_revision=first)
        await self.store.delete("a/1", expected_revision=second)
        seen = await self._read_changes(count=2, after_revision=first)
        self.assertEqual([entry.value for entry in seen], [b"2", b""])
        self.assertEqual(self.memory.counts[CallKind.WATCH], 1)

    async def test_watch_may_repeat_skip_and_end(self) -> None:
        first = await self.store.put("a/1", b"1", expected_revision=0)
        await self.store.put("a/1", b"2", expected_revision=first)
        self.memory.inject_faults(watch_skip=True, watch_repeat=True)
        self.assertEqual([e.value for e in await self._read_changes(2)], [b"2", b"2"])
        self.memory.inject_faults(watch_end=True)
        self.assertEqual([e.value async for e in self.store.watch("a/", after_revision=0)], [b"2"])

    async def test_lease_excludes_until_expired(self) -> None:
        first = await self.store.acquire_lease("l", "one", 100)
        self.assertIsNone(await self.store.acquire_lease("l", "two", 100))
        assert first is not None
        self.clock.advance(99)
        self.assertTrue(await self.store.renew_lease(first))
        self.clock.advance(100)
        self.assertFalse(await self.store.renew_lease(first))
        second = await self.store.acquire_lease("l", "two", 100)
        assert second is not None
        self.assertGreater(second.token, first.token)
        await self.store.release_lease(first)
        self.assertIsNone(await self.store.acquire_lease("l", "one", 100))
        await self.store.release_lease(second)
        self.assertIsNotNone(await self.store.acquire_lease("l", "one", 100))

    async def _read_changes(self, count: int, after_revision: int = 0) -> list[Entry]:
        watch = self.store.watch("a/", after_revision=after_revision)
        return [await anext(watch) for _ in range(count)]


class ChangeLogCompactionTest(unittest.IsolatedAsyncioTestCase):
    """Compaction keeps the log of changes bounded."""

    async def test_watch_after_compaction_sends_newest_entries(self) -> None:
        store = MemoryStore(ManualClock())
        revision = await store.put("k", b"0", expected_revision=0)
        other = await store.put("other", b"1", expected_revision=0)
        await store.delete("other", expected_revision=other)
        for number in range(MAX_CHANGE_LOG_ENTRIES):
            revision = await store.put("k", b"%d" % number, expected_revision=revision)
        watch = store.watch("", after_revision=0)
        deleted, newest = await anext(watch), await anext(watch)
        self.assertEqual((deleted.key, deleted.value), ("other", b""))
        self.assertGreater(newest.revision, deleted.revision)
        self.assertLess(len(store._change_log), MAX_CHANGE_LOG_ENTRIES)


class HttpStoreTest(MemoryStoreTest):
    """The same tests through the HTTP client and the stand-in of the platform."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.server = PlatformServer(PlatformServerSettings(), self.clock)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.memory = self.server.store
        url = self.server.url
        client = HttpStore(PlatformSettings(store_url=url, host_list_url=url))
        await client.start()
        self.addAsyncCleanup(client.close)
        self.store = client

    async def test_closed_server_is_unavailable(self) -> None:
        await self.server.close()
        with self.assertRaises(StoreUnavailable):
            await self.store.get("k")

    async def test_slow_server_is_unavailable(self) -> None:
        url = self.server.url
        client = HttpStore(PlatformSettings(store_url=url, host_list_url=url, timeout_ms=50))
        await client.start()
        self.addAsyncCleanup(client.close)
        self.memory.inject_faults(delay_ms=5_000)
        with self.assertRaises(StoreUnavailable):
            await client.get("k")


if __name__ == "__main__":
    unittest.main()
