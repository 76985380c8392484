"""Streams before engines of several software versions, whose pieces do not fit together."""

from __future__ import annotations

import asyncio
import json
import unittest
from contextlib import suppress
from unittest.mock import patch

import aiohttp

from boragetiller.gateway.streams.version_journal import STREAMS_PREFIX, VERSIONS_PREFIX
from boragetiller.tables.stream_versions import StreamOrigin
from tests.gateway.harness import FakeStore, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_stream_header,
    reset,
)
from tests.gateway.test_streams import PROMPT

EVENTS = 4
STREAMS = 16
RESUMPTIONS = 6  # of one stream; a router that does not compare versions rarely guesses all right


class VersionedEngine(ScriptedEngine):
    """Streams events that name its version; breaks off after two events while told to."""

    def __init__(self, version: str) -> None:
        """:param version: software version"""
        super().__init__(self._stream)
        self.version = version
        self.breaks = asyncio.Event()  # set: streams are reset after two events
        self.pauses = False  # whether streams pause after two events until `breaks` is set

    async def _stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        after = int(request.headers.get("last-event-id", 0))
        writer.write(build_stream_header(request.request_id))
        for number in range(after + 1, EVENTS + 1):
            if number == 3 and (self.pauses or self.breaks.is_set()):
                await writer.drain()
                await self.breaks.wait()
                reset(writer)
                return
            writer.write(build_chunk(f"id: {number}\ndata: {self.version}\n\n".encode()))
        writer.write(build_chunk(b""))


def find_versions(body: bytes) -> list[str]:
    """:return: version of each event of a response"""
    return [line[6:].decode() for line in body.split(b"\n") if line.startswith(b"data: ")]


class SoftwareVersionTest(unittest.IsolatedAsyncioTestCase):
    """Routers that share a store; each test registers engines as a release does."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.store.put("op/config", build_config())
        self.engines: dict[str, VersionedEngine] = {}

    async def register(self, name: str, version: str) -> VersionedEngine:
        """Start and register an engine."""
        engine = self.engines[name] = VersionedEngine(version)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        self.store.register(name, engine, "engines", version=version, born=len(self.engines))
        return engine

    async def start_router(self, name: str = "router-1", **changes: object) -> RouterHarness:
        """Start a router."""
        harness = RouterHarness(self.store, name=name, **changes)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def wait_until_listed(self, harness: RouterHarness, *names: str) -> None:
        """Wait until a router has exactly these engines."""
        servers = harness.router.registry.servers
        await wait_until(lambda: set(servers.by_name) == set(names))

    async def begin(self, harness: RouterHarness, request_id: str) -> asyncio.Task[bytes]:
        """Begin a stream that pauses after two events; return the task that reads it."""
        first = asyncio.Event()
        body = bytearray()

        async def read() -> bytes:
            with suppress(aiohttp.ClientError):
                async with harness.call(
                    "/gauges/", **PROMPT, X_Boragetiller_Attempt_Id=request_id
                ) as response:
                    async for data in response.content.iter_any():
                        body.extend(data)
                        if len(find_versions(bytes(body))) == 2:
                            first.set()
            return bytes(body)

        task = asyncio.create_task(read())
        await first.wait()
        return task

    async def resume(self, harness: RouterHarness, began: str) -> tuple[int, list[str]]:
        """Take a stream up again after two events; return status and versions of the rest."""
        async with harness.call("/gauges/", **PROMPT, Last_Event_Id="2", Resumes=began) as response:
            return response.status, find_versions(await response.read())

    async def begin_and_break(self, harness: RouterHarness, request_id: str) -> None:
        """Begin a stream at v1 and break it off after two events, while v2 begins to serve."""
        old = self.engines["old"]
        old.pauses = True
        task = await self.begin(harness, request_id)
        await self.register("new", "v2")
        await wait_until(lambda: "new" in harness.router.registry.servers.by_name)
        await wait_until(lambda: self.is_stored(STREAMS_PREFIX))
        with patch.object(harness.router.registry, "get_retry_budget") as budget:
            budget.return_value.allows.return_value = False  # the router does not resume it itself
            old.breaks.set()
            self.assertEqual(find_versions(await task), ["v1", "v1"])
        old.pauses = False
        old.breaks.clear()

    def count_stored(self, prefix: str) -> int:
        """:return: number of entries of the routers with the prefix"""
        return sum(key.startswith(prefix) for key in self.store.items)

    def is_stored(self, prefix: str) -> bool:
        """:return: whether the store has an entry of the routers with the prefix"""
        return self.count_stored(prefix) > 0

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
        with patch("boragetiller.tables.stream_versions.STREAM_LIFETIME_MS", 100):
            self.store.remove("servers/old")
            await wait_until(lambda: self.list_stored_versions() == ["v2"])
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

    def list_stored_versions(self) -> list[str]:
        """:return: versions in the entry of the group"""
        found = [key for key in self.store.items if key.startswith(VERSIONS_PREFIX)]
        if not found:
            return []
        try:
            versions: list[str] = json.loads(self.store.items[found[0]].value or b"")
        except ValueError:
            return []
        return versions


if __name__ == "__main__":
    unittest.main()
