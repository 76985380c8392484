"""Entries of the software versions that serve each group, which all routers share."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from tests.gateway.harness import wait_until
from tests.gateway.version_fleet import VersionFleetTestCase

if TYPE_CHECKING:
    from boragetiller.gateway.platform_interface import Listing


class GroupEntryTest(VersionFleetTestCase):
    """Routers that see different versions."""

    async def test_version_that_came_back_unseen_stays_in_the_entry(self) -> None:
        # Guards against a router that removes a version because it once saw it leave.
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1", "v2"])
        with patch("boragetiller.tables.stream_versions.STREAM_LIFETIME_MS", 100):
            await self.wait_until_removed("old", "v1")
            self.store.watches_stalled = True
            await self.register("back", "v1")
            await self.start_router("router-2")
            await wait_until(lambda: self.list_stored_versions() == ["v1", "v2"])
            self.assertEqual(await self.resume(harness, "unknown"), (503, []))  # reads the entry
            await self.update_entries(harness)
            self.assertEqual(self.list_stored_versions(), ["v1", "v2"])

    async def test_late_answer_does_not_take_back_what_a_newer_one_said(self) -> None:
        # Guards against a router that forgets a version which it has just stored.
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1", "v2"])
        get_key, is_read, goes_on = self.store.get_key, asyncio.Event(), asyncio.Event()

        async def answer_late(key: str) -> Listing:
            listing = await get_key(key)
            is_read.set()
            await goes_on.wait()
            return listing

        with patch.object(self.store, "get_key", answer_late):
            resumed = asyncio.create_task(self.resume(harness, "unknown"))
            await is_read.wait()
        await self.register("newest", "v3")
        versions = harness.router.registry.group_versions
        await wait_until(lambda: versions.list_startable("engines") == {"v1", "v2", "v3"})
        goes_on.set()
        self.assertEqual(await resumed, (503, []))
        self.assertEqual(versions.list_startable("engines"), {"v1", "v2", "v3"})

    async def test_restarted_router_does_not_remove_a_version_it_has_not_seen(self) -> None:
        # Guards against one version inferred by the next router that is started.
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        await harness.router.abort()
        self.store.remove("servers/old")
        await self.register("new", "v2")
        restarted = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1", "v2"])
        await self.update_entries(restarted)
        self.assertEqual(self.list_stored_versions(), ["v1", "v2"])


if __name__ == "__main__":
    unittest.main()
