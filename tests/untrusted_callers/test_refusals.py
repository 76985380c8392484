"""Tests of what a caller sees at each limit of a connection, and of what stays within them."""

from __future__ import annotations

import asyncio
import unittest

from tests.gateway.harness import HOST, KEY, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ScriptedEngine
from tests.gateway.test_calls import respond_ok

HEAD = (
    f"POST /stock/ HTTP/1.1\r\nHost: {HOST}\r\nX-Boragetiller-Attempt-Id: s\r\n"
    f"X-Boragetiller-Deadline-Ms: 4000\r\nAuthorization: Token {KEY}\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BODY_BYTES = 4_194_304


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """One router, one backend server, raw bytes on a connection."""

    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(respond_ok)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        self.harness = RouterHarness(memory_bytes=160 * 1_048_576, max_descriptors=1_638)
        self.harness.store.register("a", self.engine, "shop")
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)
        limits = build_config()["limits"] | {"max-body-bytes": MAX_BODY_BYTES}
        self.harness.store.put("op/config", build_config(2, limits=limits))
        await wait_until(lambda: self.harness.router.registry.config.version == 2)

    async def receive(self, *pieces: bytes) -> tuple[int, bool]:
        """:return: status of the first response, and whether the connection was then closed"""
        port = self.harness.router.caller_listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.transport.abort)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        head = await reader.readuntil(b"\r\n\r\n")
        return int(head.split()[1]), b"connection: close" in head.lower()

    async def test_announced_body_over_the_limit_is_refused_at_once(self) -> None:
        """Guards against reading a body that cannot be accepted."""
        head = HEAD + b"Content-Length: 900000000\r\n\r\n"
        self.assertEqual(await self.receive(head), (413, True))
        self.assertEqual(self.engine.requests, [])

    async def test_body_in_chunks_over_the_limit_is_refused(self) -> None:
        """Guards against a body that grows without end."""
        chunk = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
        self.assertEqual(await self.receive(CHUNKED, *[chunk] * 66), (413, True))

    async def test_unfinished_heads_over_the_limit_are_refused(self) -> None:
        """Guards against heads, lines and empty lines without end."""
        for piece in (b"\r\n" * 1_000, b"X-A: b\r\n" * 300, b"a" * 2_000):
            with self.subTest(piece=piece[:8]):
                first = b"" if piece.startswith(b"\r") else HEAD + b"X-Line: "
                self.assertEqual(await self.receive(first, *[piece] * 12), (431, True))

    async def test_chunks_of_one_byte_are_refused(self) -> None:
        """Guards against chunks that cost more time than the body is worth."""
        self.assertEqual(await self.receive(CHUNKED, *[b"1\r\na\r\n" * 2_000] * 4), (413, True))

    async def test_requests_within_the_limits_are_served(self) -> None:
        """Guards against limits that a well-behaved caller meets."""
        small_chunks = b"14\r\n" + b"a" * 20 + b"\r\n"
        lines = b"".join(b"A%d: b\r\n" % number for number in range(1_000))
        length = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        for pieces in (
            (CHUNKED, small_chunks * 5_000, b"0\r\n\r\n"),
            (HEAD + lines + b"\r\n",),
            (HEAD + length, b"a" * MAX_BODY_BYTES),
            (b"\r\n" + HEAD + b"\r\n",),
        ):
            with self.subTest(first=pieces[-1][:8]):
                self.assertEqual(await self.receive(*pieces), (200, False))
        self.assertEqual(self.harness.router.budget.held_bytes, 0)

    async def test_hundreds_of_connections_of_one_address_are_kept(self) -> None:
        """Guards against a limit that closes the connections of a load balancer."""
        port = self.harness.router.caller_listener.port
        connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(400)]
        for reader, writer in connections:
            self.addCleanup(writer.transport.abort)
            writer.write(HEAD + b"\r\n")
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        self.assertEqual(self.harness.router.budget.connections, 400)

    async def test_pipelined_requests_are_all_answered(self) -> None:
        """Guards against a pause of reading that never ends."""
        port = self.harness.router.caller_listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.transport.abort)
        request = HEAD + b"Content-Length: 1000\r\n\r\n" + b"a" * 1_000
        writer.write(request * 200)
        async with asyncio.timeout(20):
            for _ in range(200):
                self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(2)


if __name__ == "__main__":
    unittest.main()
