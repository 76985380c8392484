"""Responses of a server in trouble whose status is not a final one."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import aiohttp

from tests.gateway.harness import RouterHarness
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_response,
    build_stream_header,
)

if TYPE_CHECKING:
    import asyncio

PROMPT = {"X_Boragetiller_Token_Counts": "900,16", "X_Boragetiller_Prefix_Hash": "aa:800,bb:100"}
INVALID_STATUSES = ("000", "001", "099", "101", "199", "600", "999")


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    """A server in trouble that answers each request with a status that is none."""

    async def serve(self, respond, group: str) -> None:  # noqa: ANN001
        self.engine = ScriptedEngine(respond)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness()
        self.harness.store.register("a", self.engine, group)
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def call(self, path: str, **headers: str) -> int:
        try:
            async with self.harness.call(path, **headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def check(self, path: str, group: str, **headers: str) -> None:
        status = ""

        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_response(request.request_id, status=f"{status} Trouble"))
            await writer.drain()
            writer.close()

        await self.serve(respond, group)
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                self.assertEqual(await self.call(path, **headers), 502)

    async def test_invalid_status_is_no_answer_to_a_call_that_runs_once(self) -> None:
        await self.check("/reserve/", "shop")

    async def test_invalid_status_is_no_answer_to_a_call_that_may_be_repeated(self) -> None:
        await self.check("/stock/", "shop")

    async def test_invalid_status_is_no_answer_to_a_stream(self) -> None:
        await self.check("/quotes/", "engines", **PROMPT)

    async def test_invalid_status_of_a_stream_header_is_no_answer(self) -> None:
        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = build_stream_header(request.request_id)
            writer.write(head.replace(b"200 OK", b"000 Trouble") + b"0\r\n\r\n")

        await self.serve(respond, "engines")
        self.assertEqual(await self.call("/quotes/", **PROMPT), 502)

    async def test_informational_responses_before_the_final_one_are_skipped(self) -> None:
        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + build_response(request.request_id))

        await self.serve(respond, "shop")
        self.assertEqual(await self.call("/reserve/"), 200)


if __name__ == "__main__":
    unittest.main()
