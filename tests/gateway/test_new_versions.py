"""Routers that learn of a new software version at different times."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import AsyncMock, patch

from boragetiller.errors import StoreUnavailable
from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.stalling_caller import count_metric
from tests.gateway.test_hedged_streams import POLICY
from tests.gateway.test_streams import PROMPT
from tests.gateway.version_fleet import VersionFleetTestCase, find_versions

STREAMS = 16


class NewVersionTest(VersionFleetTestCase):
    """A version appears beside another one."""

    async def test_streams_do_not_begin_at_a_version_that_other_routers_may_not_know(self) -> None:
        # Guards against a router that infers the only version that it knows.
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        versions = harness.router.registry.group_versions
        with patch.object(self.store, "commit", side_effect=StoreUnavailable("no writes")):
            await self.register("new", "v2")
            await self.wait_until_listed(harness, "old", "new")
            for _ in range(STREAMS):
                async with harness.call("/gauges/", **PROMPT) as response:
                    self.assertEqual(set(find_versions(await response.read())), {"v1"})
            self.assertEqual(versions.list_startable("engines"), {"v1"})
        await wait_until(lambda: versions.list_startable("engines") == {"v1", "v2"})
        self.assertEqual(self.list_stored_versions(), ["v1", "v2"])

    async def begin_and_read(self, harness: RouterHarness) -> None:
        """Call a resumable route and read the response."""
        async with harness.call("/gauges/", **PROMPT) as response:
            await response.read()

    async def test_release_refuses_no_stream_while_its_new_servers_have_room(self) -> None:
        # Guards against callers that wait for the store while the old servers take nothing.
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        for busy in (
            patch("boragetiller.gateway.server_choice.list_exhausted_servers", lambda *_: {"old"}),
            patch(
                "boragetiller.systems.server_capacity.has_memory",
                lambda server, *_: server.name != "old",
            ),
        ):
            with (
                self.subTest(busy=busy.attribute),
                patch.object(self.store, "commit", side_effect=StoreUnavailable("no writes")),
                busy,
            ):
                await self.register("new", "v2")
                await self.wait_until_listed(harness, "old", "new")
                async with harness.call("/gauges/", **PROMPT) as response:
                    self.assertEqual(response.status, 200)
                    self.assertEqual(set(find_versions(await response.read())), {"v2"})

    async def test_hedged_stream_begins_at_no_version_that_other_routers_may_not_know(self) -> None:
        # Guards against a race that a version wins which the store does not name.
        old = await self.register("old", "v1")
        harness = await self.start_router(policy=POLICY)
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        for _ in range(4):  # response times, and an allowance for the hedged attempt
            async with harness.call("/gauges/", **PROMPT) as response:
                await response.read()
        with patch.object(self.store, "commit", side_effect=StoreUnavailable("no writes")):
            new = await self.register("new", "v2")
            await self.wait_until_listed(harness, "old", "new")
            with patch.object(old, "script", AsyncMock()):
                call = asyncio.create_task(self.begin_and_read(harness))
                withheld = {"route": "gauges", "reason": "no_server"}
                await wait_until(
                    lambda: new.requests or count_metric(harness, "hedges_withheld", **withheld)
                )
            self.assertEqual(new.requests, [])
            call.cancel()

    async def test_version_without_others_serves_at_once(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        await self.register("new", "v2")
        self.store.remove("servers/old")
        await self.wait_until_listed(harness, "new")
        async with harness.call("/gauges/", **PROMPT) as response:
            self.assertEqual(set(find_versions(await response.read())), {"v2"})

    async def test_started_router_infers_nothing_without_the_store(self) -> None:
        # It has not seen which versions served before it was started, and its list may be old.
        await self.register("old", "v1")
        harness = await self.start_router()
        self.store.watches_stalled = True
        await self.register("new", "v2")
        self.assertEqual((await self.resume(harness, "other"))[0], 200)
        self.store.down = True
        self.assertEqual(await self.resume(harness, "unknown"), (503, []))


if __name__ == "__main__":
    unittest.main()
