"""Routers that share a store, before engines of several software versions."""

from __future__ import annotations

import asyncio
import json
import unittest
from contextlib import suppress
from unittest.mock import patch

import aiohttp

from boragetiller.gateway.streams.group_entries import VERSIONS_PREFIX
from boragetiller.gateway.streams.version_journal import STREAMS_PREFIX
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


class VersionFleetTestCase(unittest.IsolatedAsyncioTestCase):
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

    async def wait_until_removed(self, name: str, version: str) -> None:
        """Remove an engine, and wait until the entry of the group loses its version, in no time."""
        with (
            patch("boragetiller.tables.stream_versions.STREAM_LIFETIME_MS", 100),
            patch("boragetiller.systems.list_coverage.STREAM_LIFETIME_MS", 100),
            patch.multiple("boragetiller.systems.group_entries", REMOVAL_MS=100, POLL_MS=0),
        ):
            self.store.remove(f"servers/{name}")
            await wait_until(lambda: version not in self.list_stored_versions())

    async def update_entries(self, harness: RouterHarness) -> None:
        """Let a router check the entries of the groups twice."""
        registry = harness.router.registry
        for _ in range(3):  # the last check may not have ended
            assert registry.on_servers_changed is not None
            registry.on_servers_changed()
            await wait_until(lambda: not harness.router._stream_versions._journal._due.is_set())

    def count_stored(self, prefix: str) -> int:
        """:return: number of entries of the routers with the prefix"""
        return sum(key.startswith(prefix) for key in self.store.items)

    def is_stored(self, prefix: str) -> bool:
        """:return: whether the store has an entry of the routers with the prefix"""
        return self.count_stored(prefix) > 0

    def list_stored_versions(self) -> list[str]:
        """:return: versions in the entry of the group"""
        found = [key for key in self.store.items if key.startswith(VERSIONS_PREFIX)]
        if not found:
            return []
        try:
            return sorted(json.loads(self.store.items[found[0]].value or b""))
        except (ValueError, TypeError):
            return []


__all__ = ["EVENTS", "VersionFleetTestCase", "VersionedEngine", "find_versions"]
