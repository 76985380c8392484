"""Responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from tests.gateway.harness import RouterHarness
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_event,
    build_response,
    build_stream_header,
    reset,
)

PROMPT = {"X_Boragetiller_Token_Counts": "900,16", "X_Boragetiller_Prefix_Hash": "aa:800,bb:100"}
EVENTS = build_event(1) + build_event(2)


def build_unframed_stream(request: ReceivedRequest, data: bytes) -> bytes:
    """:return: response with an event stream and without its framing header"""
    head = build_stream_header(request.request_id)
    return head.replace(b"Transfer-Encoding: chunked\r\n", b"") + data


def build_unframed_body(request: ReceivedRequest) -> bytes:
    """:return: response with the body `ok` and without its framing header"""
    return build_response(request.request_id).replace(b"Content-Length: 2\r\n", b"")


class CloseDelimitedResponseTest(unittest.IsolatedAsyncioTestCase):
    """One server that ends each response with its connection."""

    async def serve(self, group: str, data: bytes | None = None, *, is_reset: bool = False) -> None:
        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if data is None:
                writer.write(build_unframed_body(request))
            else:
                writer.write(build_unframed_stream(request, data))
            await writer.drain()
            await asyncio.sleep(0.02)
            if is_reset:
                reset(writer)
            else:
                writer.close()

        self.engine = ScriptedEngine(respond)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness()
        self.harness.store.register("a", self.engine, group)
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def read(self, path: str, **headers: str) -> tuple[int, bytes]:
        async with self.harness.call(path, **headers) as response:
            return response.status, await response.read()

    async def test_body_that_ends_with_its_connection_is_complete(self) -> None:
        await self.serve("shop")
        self.assertEqual(await self.read("/reserve/"), (200, b"ok"))

    async def test_body_that_is_reset_is_incomplete(self) -> None:
        await self.serve("shop", is_reset=True)
        self.assertEqual((await self.read("/reserve/"))[0], 502)

    async def test_stream_that_ends_with_its_connection_is_complete(self) -> None:
        await self.serve("engines", EVENTS)
        self.assertEqual(await self.read("/quotes/", **PROMPT), (200, EVENTS))

    async def test_stream_that_ends_inside_an_event_is_broken_off(self) -> None:
        await self.serve("engines", EVENTS + build_event(3)[:9])
        with self.assertRaises(aiohttp.ClientError):
            await self.read("/quotes/", **PROMPT)

    async def test_stream_that_ends_before_its_first_event_is_broken_off(self) -> None:
        await self.serve("engines", b"")
        self.assertEqual((await self.read("/quotes/", **PROMPT))[0], 502)

    async def test_stream_that_is_reset_between_events_is_broken_off(self) -> None:
        await self.serve("engines", EVENTS, is_reset=True)
        with self.assertRaises(aiohttp.ClientError):
            await self.read("/quotes/", **PROMPT)


if __name__ == "__main__":
    unittest.main()
