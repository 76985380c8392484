"""Headers of callers and of engines whose values cannot be calculated with, encoded or sent."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.clock import SystemClock
from tests.gateway.harness import HOST, KEY, RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_event,
    build_response,
    build_stream_header,
)

COUNTS = b"X-Boragetiller-Token-Counts: "
PARTS = b"X-Boragetiller-Prefix-Hash: "
MODEL = b"X-Boragetiller-Model: "
PROMPT = COUNTS + b"900,16\r\n" + PARTS + b"aa:800,bb:100\r\n"
UNUSABLE_PROMPTS = (
    COUNTS + b"9" * 400 + b",16\r\n",
    COUNTS + b"5000000000,16\r\n" + PARTS + b"aa:5000000000\r\n",
    COUNTS + b"900," + b"9" * 300 + b"\r\n",
    COUNTS + b"900," + b"9" * 400 + b"\r\n",
    COUNTS + b"900," + b"9" * 5_000 + b"\r\n",
    COUNTS + b"900,10000000\r\n",
    COUNTS + b"900,16\r\n" + PARTS + b"aa:" + b"9" * 400 + b",bb:1\r\n",
    COUNTS + b"900,16\r\n" + PARTS + b"\xff:800,bb:100\r\n",
    COUNTS + b"900,16\r\n" + PARTS + b"\xff" * 100 + b":800,bb:100\r\n",
    COUNTS + b"900,16\r\n" + MODEL + b"\xff\r\n",
    COUNTS + b"900,16\r\n" + MODEL + b"m" * 9_000 + b"\r\n",
)


async def stream_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    head = build_stream_header(request.request_id)
    writer.write(head + build_chunk(build_event(1)) + build_chunk(b""))


async def send(harness: RouterHarness, path: str, headers: bytes, request_id: bytes = b"x1") -> int:
    """:return: status of the response to a call whose headers are sent as given"""
    port = harness.router.caller_listener.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {KEY}",
        "X-Boragetiller-Deadline-Ms: 4000",
        "Content-Length: 0",
        "Connection: close",
    )
    head = "\r\n".join(lines).encode() + b"\r\nX-Boragetiller-Attempt-Id: " + request_id + b"\r\n"
    writer.write(head + headers + b"\r\n")
    status_line = await reader.readline()
    writer.transport.abort()
    return int(status_line.split()[1])


class CallerHeadersTest(unittest.IsolatedAsyncioTestCase):
    """Two routers before one engine."""

    async def asyncSetUp(self) -> None:
        engine = ScriptedEngine(stream_event)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        self.harness = RouterHarness()
        self.harness.store.register("e", engine, "engines")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)
        exchange = self.harness.router.peer_exchange
        self.peer = RouterHarness(name="router-2", seeds=(exchange.endpoint,))
        self.peer.store.register("e", engine, "engines")
        await self.peer.start()
        self.addAsyncCleanup(self.peer.close)
        self.peers_gauge = self.peer.router.metrics.peers._value
        await wait_until(lambda: self.peers_gauge.get() == 1)

    async def test_unusable_prompt_does_not_stop_the_other_requests_of_its_route(self) -> None:
        # Guards against averages that refuse a route's requests, and against status 500.
        for headers in UNUSABLE_PROMPTS:
            with self.subTest(headers=headers[:60]):
                self.assertEqual(await send(self.harness, "/quotes/", headers), 200)
                self.assertEqual(await send(self.harness, "/quotes/", PROMPT), 200)

    async def test_unusable_prompt_does_not_stop_the_reports_to_peers(self) -> None:
        # Guards against reports that are lost because a frame cannot hold one of their values.
        failures = self.harness.router.metrics.task_failures.labels("report to peers")
        server = self.peer.router.registry.servers.by_name["e"]
        for number, headers in enumerate(UNUSABLE_PROMPTS):
            with self.subTest(headers=headers[:60]):
                await send(self.harness, "/quotes/", headers)
                part = f"p{number}"
                prompt = COUNTS + b"900,16\r\n" + PARTS + f"{part}:800,bb:100\r\n".encode()
                await send(self.harness, "/quotes/", prompt)
                await wait_until(lambda: part in server.cached_parts)  # noqa: B023
        self.assertEqual(failures._value.get(), 0)
        self.assertEqual(self.peers_gauge.get(), 1)

    async def test_request_id_that_is_not_utf_8_is_refused(self) -> None:
        # Guards against an encoding error of the ID, which the caller sees as status 500.
        self.assertEqual(await send(self.harness, "/quotes/", PROMPT, request_id=b"\xff"), 400)


class EngineHeadersTest(unittest.IsolatedAsyncioTestCase):
    """One router before two servers of a plain service and two engines."""

    async def asyncSetUp(self) -> None:
        self.extra = ""
        self.event = build_event(1)
        self.harness = RouterHarness()
        for name in ("a", "b"):
            engine = ScriptedEngine(self.respond)
            await engine.start()
            self.addAsyncCleanup(engine.close)
            self.harness.store.register(f"shop-{name}", engine, "shop")
            self.harness.store.register(f"engine-{name}", engine, "engines")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.path == "/gauges/":
            head = build_stream_header(request.request_id)
            head = head.replace(b"\r\n\r\n", f"\r\n{self.extra}\r\n".encode(), 1)
            writer.write(head + build_chunk(self.event) + build_chunk(b""))
        else:
            writer.write(build_response(request.request_id, extra=self.extra))

    async def test_response_with_unusable_headers_reaches_the_caller(self) -> None:
        # Guards against errors in place of responses to bookings that ran, and ejected servers.
        servers = self.harness.router.registry.servers.by_name
        for extra in (
            "Keep-Alive: timeout=\u00b2",
            "Keep-Alive: timeout=" + "9" * 5_000,
            "X-Boragetiller-Server-Load: " + "9" * 400 + ",0,8",
            "X-Boragetiller-Server-Load: " + "9" * 300 + ",0,8",
            "X-Boragetiller-Server-Load: " + "9" * 5_000 + ",0,8",
            "X-Boragetiller-Server-Load: -5,-9,8",
            "Server-Limit: 1e400",
            "Server-Limit: nan",
            "X-Note: a\x7fb",
            "Server-Limit: \x7f",
        ):
            self.extra = f"{extra}\r\n"
            for _ in range(3):
                with self.subTest(extra=extra[:60]):
                    self.assertEqual(await send(self.harness, "/reserve/", b""), 200)
                    self.assertEqual(await send(self.harness, "/gauges/", PROMPT), 200)
        for server in servers.values():
            self.assertEqual(server.health.failures, 0)
            self.assertEqual(server.estimate_unreported_requests(SystemClock().now_ms()), 0.0)

    async def test_event_ids_of_any_length_are_relayed(self) -> None:
        # Guards against the ValueError of int() above 4,300 digits, taken for a lost connection.
        number = b"9" * 5_000
        self.event = b"id: " + number + b"\ndata: x\n\n"
        self.assertEqual(await send(self.harness, "/gauges/", PROMPT), 200)
        last_id = b"Last-Event-Id: " + number + b"\r\n"
        self.assertEqual(await send(self.harness, "/gauges/", PROMPT + last_id), 200)


if __name__ == "__main__":
    unittest.main()
