"""Calls to engines: memory that they commit, work times in responses, retries when refused."""

from __future__ import annotations

import asyncio
import unittest

from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_event,
    build_response,
    build_stream_header,
)


class EngineCallTest(unittest.IsolatedAsyncioTestCase):
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
        # Guards against a limit in groups whose servers state no work time, which are served as
        # before, and against a missing one in the others.
        self.finish.set()
        headers = {"X_Boragetiller_Token_Counts": "100001,16"}
        async with self.harness.call("/quotes/", **headers) as response:
            self.assertEqual(response.status, 200)  # its response states a work time
            await response.read()
        self.engine.requests.clear()
        async with self.harness.call("/quotes/", **headers) as response:
            self.assertEqual(response.status, 503)
            self.assertEqual((await response.json())["error"]["code"], "no_room")
        self.assertEqual(self.engine.requests, [])


class RefusedPromptTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_prompt_is_sent_to_another_engine_with_its_shared_part(self) -> None:
        # Guards against retries that make engines prefill what another engine has cached.
        refusal = "X-Boragetiller-Not-Executed: 1\r\nX-Boragetiller-Server-Load: 8,0,8,100\r\n"
        names: list[str] = []

        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            names.append(request.headers["x-boragetiller-expect-instance"])
            if len(names) % 2:
                status = "503 Full"
                writer.write(build_response(request.request_id, status=status, extra=refusal))
                return
            head = build_stream_header(request.request_id)
            writer.write(head + build_chunk(build_event(1)) + build_chunk(b""))

        engine, harness = ScriptedEngine(respond), RouterHarness()
        await engine.start()
        self.addAsyncCleanup(engine.close)
        for number in range(20):
            harness.store.register(f"e{number}", engine, "engines")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        servers = harness.router.registry.servers.by_name
        for number in range(0, 8, 2):
            for server in (f"e{number}", f"e{number + 1}"):
                servers[server].cached_parts[f"part{number}"] = 13_000
            headers = {
                "X_Boragetiller_Token_Counts": "16000,16",
                "X_Boragetiller_Prefix_Hash": f"part{number}:13000,own:3000",
            }
            async with harness.call("/quotes/", **headers) as response:
                await response.read()
            self.assertEqual(set(names[-2:]), {f"e{number}", f"e{number + 1}"})


if __name__ == "__main__":
    unittest.main()
