"""Responses that begin before the request has arrived, and are reset during the upload."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import aiohttp

from boragetiller.gateway.policy_file import Policy
from boragetiller.tables.hedging import HedgeShares, HedgingSettings
from tests.gateway.harness import FakeStore, RouterHarness, build_config
from tests.gateway.scripted_engine import ScriptedEngine, build_event, reset

UPLOAD = bytes(8_000_000)
PLAYS = 5
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 16_000_000,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}
HEAD = (
    "HTTP/1.1 200 OK\r\nX-Boragetiller-Attempt-Id: {}\r\nX-Boragetiller-Response-Seal: s\r\n{}\r\n"
)
PROMPT = {"X_Boragetiller_Token_Counts": "900,16", "X_Boragetiller_Prefix_Hash": "aa:800,bb:100"}
HEDGING = Policy(
    hedging=HedgingSettings(default=HedgeShares(request_share=0.5, prompt_token_share=0.5))
)


class EarlyServer(ScriptedEngine):
    """Answers each request after its head, without a length, and resets the connection."""

    part = b"part of an answer"
    fields = ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            return
        if not head.startswith("POST"):  # the router reads the list of the cache
            writer.transport.abort()
            return
        request_id = head.lower().partition("attempt-id: ")[2].partition("\r\n")[0]
        self.connections += 1
        writer.write(HEAD.format(request_id, self.fields).encode() + self.part)
        await writer.drain()
        await asyncio.sleep(0.005)
        reset(writer)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Two servers that answer long uploads at once with a part, and reset them."""

    async def serve(self, group: str, policy: Policy | None = None) -> None:
        store = FakeStore()
        store.put("op/config", build_config(limits=LIMITS))
        self.servers = [EarlyServer(lambda *_: asyncio.sleep(0)) for _ in range(2)]
        for name, server in zip("ab", self.servers, strict=True):
            await server.start()
            self.addAsyncCleanup(server.close)
            store.register(name, server, group)
        self.harness = RouterHarness(store, policy=policy)
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def check(self, path: str, **headers: str) -> None:
        """Check that no caller gets a complete success."""
        for number in range(PLAYS):
            with self.subTest(number=number):
                try:
                    async with self.harness.call(path, body=UPLOAD, **headers) as response:
                        status = response.status
                        await response.read()
                except aiohttp.ClientError:
                    continue
                self.assertGreaterEqual(status, 500)
        self.assertGreater(sum(server.connections for server in self.servers), 0)

    async def test_part_of_an_answer_is_not_complete(self) -> None:
        await self.serve("shop")
        for path in ("/reserve/", "/stock/"):
            await self.check(path)

    async def test_part_of_a_stream_is_not_complete(self) -> None:
        with patch.object(EarlyServer, "part", build_event(1) + build_event(2)):
            await self.serve("engines")
            for path in ("/quotes/", "/gauges/"):
                await self.check(path, **PROMPT)

    async def test_part_of_a_stream_is_not_complete_with_hedging(self) -> None:
        with patch.object(EarlyServer, "part", build_event(1) + build_event(2)):
            await self.serve("engines", HEDGING)
            await self.check("/gauges/", **PROMPT)


if __name__ == "__main__":
    unittest.main()
