"""Records of the software versions that began streams, in the platform's store."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING
from unittest.mock import patch

import aiohttp

from boragetiller.event_numbers import Event
from boragetiller.gateway.streams.version_journal import STREAMS_PREFIX, build_stream_key
from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import ReceivedRequest, reset
from tests.gateway.test_streams import PROMPT
from tests.gateway.version_fleet import (
    EVENTS,
    VersionedEngine,
    VersionFleetTestCase,
    find_versions,
)

if TYPE_CHECKING:
    from boragetiller.gateway.platform_interface import Listing


class SilentEngine(VersionedEngine):
    """Sends nothing and resets the connection once told to."""

    def __init__(self, version: str) -> None:
        """:param version: software version"""
        super().__init__(version)
        self.script = self._stay_silent
        self.released = asyncio.Event()

    async def _stay_silent(self, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await self.released.wait()
        reset(writer)


class StreamRecordTest(VersionFleetTestCase):
    """Engines of two versions, and what the routers write about their streams."""

    async def read_stream(self, harness: RouterHarness, request_id: str) -> list[str]:
        """Read a whole stream; return the versions of its events."""
        body = bytearray()
        with suppress(aiohttp.ClientError):
            async with harness.call(
                "/gauges/", **PROMPT, X_Boragetiller_Attempt_Id=request_id
            ) as response:
                async for data in response.content.iter_any():
                    body.extend(data)
        return find_versions(bytes(body))

    def list_recorded(self, request_id: str) -> set[bytes]:
        """:return: versions that were ever recorded for a stream"""
        key = build_stream_key("engines", request_id)
        history = self.store.history
        return {item.value for item in history if item.key.startswith(key) and item.value}

    async def test_version_of_an_attempt_without_events_is_not_recorded(self) -> None:
        # Guards against a router that reads the record before the stream begins at another version.
        await self.register("old", "v1")
        silent = self.engines["new"] = SilentEngine("v2")
        await silent.start()
        self.addAsyncCleanup(silent.close)
        self.store.register("new", silent, "engines", version="v2", born=9)
        harness = await self.start_router()
        await self.wait_until_listed(harness, "old", "new")
        tasks: dict[str, asyncio.Task[list[str]]] = {}
        while not (silent.requests and any(task.done() for task in tasks.values())):
            request_id = f"stream-{len(tasks)}"
            tasks[request_id] = asyncio.create_task(self.read_stream(harness, request_id))
            await asyncio.wait(tasks.values(), timeout=0.02)
        # The record of a later stream: what the router has noted before is written by then.
        later = next(name for name, task in tasks.items() if task.done())
        await wait_until(lambda: self.list_recorded(later))
        silent.released.set()
        for name, task in tasks.items():
            self.assertEqual(set(await task), {"v1"})
            await wait_until(lambda name=name: self.list_recorded(name))
            self.assertEqual(self.list_recorded(name), {b"v1"})

    async def test_records_of_two_versions_are_not_trusted(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        for version in ("v1", "v2"):
            self.store.put(f"{build_stream_key('engines', 'first')}/{version}", version.encode())
        self.assertEqual(await self.resume(harness, "first"), (503, []))
        metrics = harness.router.metrics.render()
        self.assertIn(b'streams_unknown_total{reason="conflicting_records"} 1.0', metrics)

    async def test_request_id_that_two_versions_used_is_not_trusted(self) -> None:
        # Guards against the rest of the first stream from the version of the second one.
        await self.register("old", "v1")
        harness = await self.start_router()
        self.assertEqual(set(await self.read_stream(harness, "twice")), {"v1"})
        await self.register("new", "v2")
        self.store.remove("servers/old")
        await self.wait_until_listed(harness, "new")
        self.assertEqual(set(await self.read_stream(harness, "twice")), {"v2"})
        self.assertEqual(await self.resume(harness, "twice"), (503, []))

    async def test_store_is_asked_for_record_and_versions_at_the_same_time(self) -> None:
        # Guards against streams that are refused because a slow store is asked twice in a row.
        await self.register("old", "v1")
        harness = await self.start_router()
        await wait_until(lambda: self.list_stored_versions() == ["v1"])
        list_prefix, get_key, both = self.store.list_prefix, self.store.get_key, asyncio.Barrier(2)

        async def list_late(prefix: str) -> Listing:
            if prefix.startswith(STREAMS_PREFIX):
                await both.wait()
            return await list_prefix(prefix)

        async def get_late(key: str) -> Listing:
            await both.wait()
            return await get_key(key)

        with patch.multiple(self.store, list_prefix=list_late, get_key=get_late):
            self.assertEqual(await self.resume(harness, "unknown"), (200, ["v1", "v1"]))

    async def test_inferred_version_is_not_recorded(self) -> None:
        # Guards against a guess that other routers, and this one later, take for knowledge.
        await self.register("old", "v1")
        harness = await self.start_router()
        self.assertEqual(await self.resume(harness, "unknown"), (200, ["v1", "v1"]))
        self.assertEqual(len(await self.read_stream(harness, "known")), EVENTS)
        await self.register("new", "v2")
        await wait_until(lambda: self.list_recorded("known"))  # in the same transaction
        self.assertEqual(self.list_recorded("unknown"), set())
        self.assertEqual(await self.resume(harness, "unknown"), (503, []))

    async def test_record_that_is_stored_late_is_logged(self) -> None:
        await self.register("old", "v1")
        await self.register("new", "v2")
        harness = await self.start_router()
        self.store.down = True
        with (
            patch("boragetiller.gateway.streams.version_journal.LATE_RECORD_MS", 0),
            patch("boragetiller.gateway.streams.version_journal.log_event") as log,
        ):
            await self.read_stream(harness, "first")
            self.store.down = False
            await wait_until(lambda: self.is_stored(STREAMS_PREFIX))
            await wait_until(
                lambda: Event.STREAM_RECORDS_LATE in [c.args[0] for c in log.call_args_list]
            )


if __name__ == "__main__":
    unittest.main()
