"""Clients of a store that comes back from an older copy."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from boragetiller.clock import ManualClock
from boragetiller.errors import HistoryLost, RevisionConflict, StoreUnavailable
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.settings import PlatformSettings
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings

if TYPE_CHECKING:
    from boragetiller.platform_clients.store import Store


class RestoredStoreTests:
    """Cases for each implementation of the store."""

    client: Store
    memory: MemoryStore

    async def test_revision_of_a_change_after_a_restore_is_higher_than_all_lost_ones(self) -> None:
        copy = self.memory.copy()
        lost = [await self.client.put(f"k{n}", b"lost", expected_revision=0) for n in range(3)]
        self.memory.restore(copy)
        self.assertIsNone(await self.client.get("k0"))
        again = await self.client.put("k0", b"new", expected_revision=0)
        self.assertGreater(again, max(lost))
        self.assertEqual((await self.client.get("k0")).revision, again)
        self.assertEqual([e.revision for e in await self.client.list("k")], [again])

    async def test_write_based_on_a_lost_revision_that_is_given_out_again_conflicts(self) -> None:
        copy = self.memory.copy()
        lost = await self.client.put("k", b"lost", expected_revision=0)
        self.memory.restore(copy)
        await self.memory.put("k", b"other", expected_revision=0)
        await self.client.get("k")
        with self.assertRaises(RevisionConflict):
            await self.client.put("k", b"mine", expected_revision=lost)
        with self.assertRaises(RevisionConflict):
            await self.client.delete("k", expected_revision=lost)
        self.assertEqual((await self.client.get("k")).value, b"other")

    async def test_entry_that_the_copy_has_can_be_written_after_it_was_read_again(self) -> None:
        before = await self.client.put("k", b"1", expected_revision=0)
        self.memory.restore(self.memory.copy())
        entry = await self.client.get("k")
        self.assertGreater(entry.revision, before)
        await self.client.put("k", b"2", expected_revision=entry.revision)

    async def test_watch_after_a_lost_revision_reports_lost_history(self) -> None:
        copy = self.memory.copy()
        lost = await self.client.put("k", b"lost", expected_revision=0)
        self.memory.restore(copy)
        for passed in (False, True):
            if passed:
                for number in range(3):
                    await self.memory.put(f"x{number}", b"", expected_revision=0)
            with self.subTest(passed=passed), self.assertRaises(HistoryLost):
                await anext(self.client.watch("k", after_revision=lost))

    async def test_running_watch_ends_at_a_restore(self) -> None:
        copy = self.memory.copy()
        changes = self.client.watch("k", after_revision=0)
        await self.client.put("k", b"lost", expected_revision=0)
        self.assertEqual((await anext(changes)).value, b"lost")
        self.memory.restore(copy)
        with self.assertRaises((StoreUnavailable, StopAsyncIteration)):
            await anext(changes)

    async def test_fencing_token_after_a_restore_is_higher_than_all_lost_ones(self) -> None:
        copy = self.memory.copy()
        for number in range(3):
            lost = await self.client.acquire_lease(f"other{number}", "a", 9_000)
        lost = await self.client.acquire_lease("engine", "a", 9_000)
        self.memory.restore(copy)
        self.assertFalse(await self.client.renew_lease(lost))
        again = await self.client.acquire_lease("engine", "b", 9_000)
        self.assertGreater(again.token, lost.token)
        self.assertTrue(await self.client.renew_lease(again))

    async def test_lost_lease_does_not_release_another_one_with_the_same_token(self) -> None:
        for known in (True, False):
            copy = self.memory.copy()
            lost = await self.client.acquire_lease("engine", "a", 9_000)
            self.memory.restore(copy)
            other = await self.memory.acquire_lease("engine", "b", 9_000)
            if known:
                await self.client.get("k")
            with self.subTest(known=known):
                self.assertFalse(await self.client.renew_lease(lost))
                await self.client.release_lease(lost)
                self.assertTrue(await self.memory.renew_lease(other))
            await self.memory.release_lease(other)


class RestoredMemoryStoreTest(RestoredStoreTests, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = self.memory = MemoryStore(ManualClock())


class RestoredHttpStoreTest(RestoredStoreTests, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        server = PlatformServer(PlatformServerSettings())
        await server.start()
        self.addAsyncCleanup(server.close)
        self.memory = server.store
        settings = PlatformSettings(
            store_url=server.url, host_list_url=server.url, timeout_ms=10_000
        )
        self.client = HttpStore(settings)
        await self.client.start()
        self.addAsyncCleanup(self.client.close)

    async def test_write_that_meets_a_restored_store_first_has_an_unknown_outcome(self) -> None:
        copy = self.memory.copy()
        lost = await self.client.put("k", b"lost", expected_revision=0)
        self.memory.restore(copy)
        await self.memory.put("k", b"other", expected_revision=0)
        with self.assertRaises(StoreUnavailable):
            await self.client.put("k", b"mine", expected_revision=lost)


if __name__ == "__main__":
    unittest.main()
