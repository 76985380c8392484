"""Streams before engines of several software versions, whose pieces do not fit together."""

from __future__ import annotations

import unittest
from contextlib import suppress
from unittest.mock import patch

import aiohttp

from boragetiller.event_numbers import Event
from boragetiller.gateway.streams.group_entries import VERSIONS_PREFIX
from boragetiller.gateway.streams.version_journal import STREAMS_PREFIX
from boragetiller.tables.stream_versions import StreamOrigin
from tests.gateway.harness import FakeStore, build_config, wait_until
from tests.gateway.test_streams import PROMPT
from tests.gateway.version_fleet import EVENTS, VersionFleetTestCase, find_versions

STREAMS = 16
RESUMPTIONS = 6  # of one stream; a router that does not compare versions rarely guesses all right


class SoftwareVersionTest(VersionFleetTestCase):
    """Each test registers engines as a release does."""

    async def test_stream_that_breaks_goes_on_at_its_version_within_an_answer(self) -> None:
        for _ in range(RESUMPTIONS):
            self.engines.clear()
            self.store = FakeStore()
            self.store.put("op/config", build_config())
            old = await self.register("old", "v1")
            harness = await self.start_router()
            old.pauses = True
            task = await self.begin(harness, "first")
            await self.register("other", "v1")
            await self.register("new", "v2")
            await self.wait_until_listed(harness, "old", "other", "new")
            old.breaks.set()
            self.assertEqual(find_versions(await task), ["v1"] * EVENTS)

    async def test_stream_ends_if_no_engine_of_its_version_is_left(self) -> None:
        old = await self.register("old", "v1")
        harness = await self.start_router()
        old.pauses = True
        task = await self.begin(harness, "first")
        new = await self.register("new", "v2")
        await self.wait_until_listed(harness, "old", "new")
        old.breaks.set()
        self.assertEqual(find_versions(await task), ["v1", "v1"])
        self.assertFalse(new.requests)

    async def test_caller_resumes_at_the_version_that_began_its_stream(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await self.begin_and_break(harness, "first")
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(harness, "first"), (200, ["v1", "v1"]))

    async def test_caller_resumes_at_another_router(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await self.begin_and_break(harness, "first")
        other = await self.start_router("router-2")
        await self.wait_until_listed(other, "old", "new")
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(other, "first"), (200, ["v1", "v1"]))

    async def test_caller_resumes_after_all_routers_were_restarted(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await self.begin_and_break(harness, "first")
        await harness.router.abort()
        restarted = await self.start_router()
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(restarted, "first"), (200, ["v1", "v1"]))

    async def test_many_streams_go_on_each_at_its_version_after_all_routers_were_restarted(
        self,
    ) -> None:
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
            (await self.register(name, version)).pauses = True
        harness = await self.start_router()
        tasks = [await self.begin(harness, f"stream-{number}") for number in range(STREAMS)]
        await wait_until(lambda: self.count_stored(STREAMS_PREFIX) == STREAMS)
        await harness.router.abort()
        for engine in self.engines.values():
            engine.pauses = False
        restarted = await self.start_router()
        for number, task in enumerate(tasks):
            began = find_versions(await task)
            status, rest = await self.resume(restarted, f"stream-{number}")
            self.assertEqual((status, set(rest)), (200, set(began)))

    async def test_stream_whose_version_and_routers_are_gone_does_not_go_on(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await self.begin_and_break(harness, "first")
        self.store.remove("servers/old")
        await harness.router.abort()
        restarted = await self.start_router()
        status, versions = await self.resume(restarted, "first")
        self.assertEqual((status, versions), (503, []))
        self.assertFalse(self.engines["new"].requests)

    async def test_unknown_stream_does_not_go_on_beside_two_versions(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(harness, "unknown"), (503, []))

    async def test_version_that_was_replaced_between_two_lives_of_the_router_is_known(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        self.engines["old"].breaks.set()
        async with harness.call(
            "/gauges/", **PROMPT, X_Boragetiller_Attempt_Id="first"
        ) as response:
            with suppress(aiohttp.ClientError):
                await response.read()
        await wait_until(lambda: self.is_stored(VERSIONS_PREFIX))
        await harness.router.abort()
        self.store.remove("servers/old")
        await self.register("new", "v2")
        restarted = await self.start_router()
        self.assertEqual(await self.resume(restarted, "first"), (503, []))

    async def test_streams_resume_anywhere_while_one_version_serves(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        self.assertEqual(await self.resume(harness, "unknown"), (200, ["v1", "v1"]))
        await wait_until(lambda: self.is_stored(VERSIONS_PREFIX))
        self.assertFalse(self.is_stored(STREAMS_PREFIX))

    async def test_stream_of_another_router_does_not_go_on_without_the_store(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await self.begin_and_break(harness, "first")
        other = await self.start_router("router-2")
        await self.wait_until_listed(other, "old", "new")
        self.store.down = True
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(other, "first"), (503, []))
            self.assertEqual(await self.resume(harness, "first"), (200, ["v1", "v1"]))

    async def test_stream_of_another_service_does_not_go_on(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        origin = StreamOrigin("another", "v1", 0)
        harness.router.registry.stream_origins.record("first", origin)
        self.assertEqual(await self.resume(harness, "first"), (503, []))

    async def test_caller_that_names_no_request_does_not_resume_beside_two_versions(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        async with harness.call("/gauges/", **PROMPT, Last_Event_Id="2") as response:
            self.assertEqual(response.status, 503)

    async def test_versions_of_streams_are_written_after_an_outage(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        self.store.down = True
        async with harness.call(
            "/gauges/", **PROMPT, X_Boragetiller_Attempt_Id="first"
        ) as response:
            versions = find_versions(await response.read())
        self.store.down = False
        await wait_until(lambda: self.is_stored(STREAMS_PREFIX))
        other = await self.start_router("router-2")
        for _ in range(RESUMPTIONS):
            self.assertEqual(await self.resume(other, "first"), (200, versions[:2]))

    async def test_entry_of_a_group_loses_versions_whose_streams_have_ended(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1", "v2"])
        await self.wait_until_removed("old", "v1")
        self.assertEqual(await self.resume(harness, "unknown"), (503, []))  # of the last moment

    async def test_unreadable_entry_of_a_group_is_replaced(self) -> None:
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.is_stored(VERSIONS_PREFIX))
        await harness.router.abort()
        key = next(key for key in self.store.items if key.startswith(VERSIONS_PREFIX))
        self.store.put(key, b"[1, {}")
        await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])

    async def test_log_tells_how_the_version_of_a_stream_that_goes_on_is_known(self) -> None:
        old = await self.register("old", "v1")
        harness = await self.start_router()
        old.pauses = True
        with patch("boragetiller.gateway.streams.stream_versions.log_event") as log:
            task = await self.begin(harness, "first")
            await self.register("other", "v1")
            await self.wait_until_listed(harness, "old", "other")
            old.breaks.set()
            await task
            old.breaks.clear()
            old.pauses = False
            await self.resume(harness, "first")
            await self.resume(harness, "unknown")
        resumed = [
            call.kwargs for call in log.call_args_list if call.args == (Event.STREAM_RESUMED,)
        ]
        self.assertEqual([each["version_source"] for each in resumed], ["own", "own", "inferred"])
        self.assertEqual([each["resumes"] for each in resumed], [None, "first", "unknown"])
        self.assertEqual({each["last_event_id"] for each in resumed}, {"2"})
        self.assertIn(b'streams_resumed_total{source="own"} 2.0', harness.router.metrics.render())


if __name__ == "__main__":
    unittest.main()
