"""Responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import aiohttp

from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_event,
    build_response,
    build_stream_header,
    reset,
)
from tests.gateway.stalling_caller import DEADLINE_MS, SkippedTime, count_metric

PROMPT = {"X_Boragetiller_Token_Counts": "900,16", "X_Boragetiller_Prefix_Hash": "aa:800,bb:100"}
EVENTS = build_event(1) + build_event(2)
UNREAD_MS = 4_000  # after some seconds engines cut off a response


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

    async def test_body_that_ends_while_the_router_has_no_room_is_incomplete(self) -> None:
        # Guards against a part that is taken for the whole, as engines cut off what stays unread.
        await self.serve("shop")
        time, budget = SkippedTime(self), self.harness.router.budget
        with patch.object(budget, "_try_reserve", lambda _, size: not size):
            call = asyncio.create_task(
                self.read("/reserve/", X_Boragetiller_Deadline_Ms=f"{DEADLINE_MS}")
            )
            await wait_until(lambda: budget._waiting)
            await time.skip(UNREAD_MS)
        self.assertEqual((await call)[0], 504)
        server = self.harness.router.registry.servers.by_name["a"]
        self.assertEqual(server.health.failures, 0)
        self.assertEqual(count_metric(self.harness, "sends", end="no_memory"), 1)

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
