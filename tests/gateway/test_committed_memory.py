"""Memory that calls commit at engines, and the work time that engines state in responses."""

from __future__ import annotations

import asyncio
import unittest

from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_event,
    build_stream_header,
)


class CommittedMemoryTest(unittest.IsolatedAsyncioTestCase):
    """One engine with memory for 100,000 tokens, whose stream waits in the middle."""

    async def asyncSetUp(self) -> None:
        self.finish = asyncio.Event()
        self.engine, self.harness = ScriptedEngine(self.respond), RouterHarness()
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness.store.register("e0", self.engine, "engines")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        load = b"\r\nX-Boragetiller-Server-Load: 1,0,8,170\r\n\r\n"
        head = build_stream_header(request.request_id).replace(b"\r\n\r\n", load)
        writer.write(head + build_chunk(build_event(1)))
        await self.finish.wait()
        writer.write(build_chunk(b""))

    async def test_call_commits_memory_until_its_stream_ends(self) -> None:
        # Guards against engines that look empty to peers, and against memory never released.
        state_sync = self.harness.router.state_sync
        server = self.harness.router.registry.servers.by_name["e0"]
        headers = {"X_Boragetiller_Token_Counts": "900,16"}
        async with self.harness.call("/quotes/", **headers) as response:
            await wait_until(lambda: server.memory.tokens)
            report = state_sync.build_report(state_sync.create_cursor())
            self.assertEqual([load.committed_tokens for load in report.loads], [916])
            self.finish.set()
            await response.read()
        await wait_until(lambda: not server.in_flight)
        self.assertEqual(server.memory.tokens, 0)
        # Guards against a work time that is parsed and then not recorded.
        self.assertEqual((server.speed.newest, server.speed.source), (1.7, "response"))

    async def test_call_that_no_engine_can_hold_is_refused_without_being_sent(self) -> None:
        headers = {"X_Boragetiller_Token_Counts": "100001,16"}
        async with self.harness.call("/quotes/", **headers) as response:
            self.assertEqual(response.status, 503)
            self.assertEqual((await response.json())["error"]["code"], "no_room")
        self.assertEqual(self.engine.requests, [])


if __name__ == "__main__":
    unittest.main()
