"""Callers of the product's own interface that take a stream slowly."""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from typing import Any
from unittest.mock import patch

from boragetiller.agent.stream import FrameStream
from boragetiller.clock import SystemClock
from boragetiller.router.response_writers import StreamingResponseWriter
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.systems import concurrency_limit
from tests.fleet import KEY, MODEL, Fleet, build_sample_records
from tests.gateway.harness import wait_until
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine
from tests.gateway.stalling_caller import SkippedTime

PAUSE_MS = 3_600_000  # in which no engine would generate so few tokens
TOKENS = 60
CHAT = "/v1/chat/completions"
EVENT = b'data: {"x": "' + 100_000 * b"x" + b'"}\n\n'
PAUSE_LIMIT_MS = 60_000  # see caller_limits/unread_watch.py
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class SkippedClock(SystemClock):
    """A clock that a test moves forward."""

    skipped_ms = 0

    def now_ms(self) -> int:
        """See :class:`SystemClock`."""
        return super().now_ms() + self.skipped_ms


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = SkippedClock()
        self.fleet = Fleet(clock=self.clock)
        engine = EngineServer(EngineSettings())
        await engine.start()
        self.addAsyncCleanup(engine.close)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.add_agent("engine-0", "pool", engine.url)
        await self.fleet.apply(build_sample_records(("engine-0",), ()))
        self.router = await self.fleet.add_router("router-0")

    async def stream(self, writer: type, method: str) -> None:
        """Read a stream, of which one part is written for as long as PAUSE_MS."""
        write, parts = getattr(writer, method), 0

        async def write_slowly(self_: object, part: bytes) -> None:
            nonlocal parts
            await write(self_, part)
            parts += 1
            if parts == 5:
                self.clock.skipped_ms += PAUSE_MS

        message = {"role": "user", "content": "a long quote"}
        body: dict[str, Any] = {"model": MODEL, "class": "quote", "messages": [message]}
        body |= {"max_tokens": TOKENS, "stream": True}
        with patch.object(writer, method, write_slowly):
            async with self.fleet.post(self.router, "/v1/chat/completions", body) as response:
                self.assertEqual(response.status, 200)
                await response.read()
        self.assertGreater(parts, 5)

    async def test_agent_of_a_slow_caller_does_not_count_as_slow(self) -> None:
        agent = self.router.agents.entries["engine-0"]
        await self.stream(StreamingResponseWriter, "write_data")
        self.assertGreater(agent.health.between_tokens_ms, 0)
        self.assertLess(agent.health.between_tokens_ms, PAUSE_MS / TOKENS)

    async def test_pauses_of_a_router_do_not_lower_the_limit_of_an_agent(self) -> None:
        gaps_ms: list[float] = []

        def record(limit: Any, gap_ms: float, target_ms: int, count: int) -> None:
            gaps_ms.append(gap_ms)
            concurrency_limit.record_gap(limit, gap_ms, target_ms, count)

        with patch("boragetiller.systems.admission.record_gap", record):
            await self.stream(FrameStream, "send_data")
        self.assertGreater(len(gaps_ms), 5)
        self.assertLess(max(gaps_ms), PAUSE_MS)


class NeverReadingCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_never_reads_holds_no_engine_for_ever(self) -> None:
        time, fleet = SkippedTime(self), Fleet()
        self.streams = self.written = self.ended = 0
        engine = ScriptedEngine(self.stream_without_end)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        await fleet.start()
        self.addAsyncCleanup(fleet.close)
        await fleet.add_agent("engine-0", "pool", f"http://{engine.address}")
        await fleet.apply(build_sample_records(("engine-0",), ()))
        router = await fleet.add_router("router-0")
        message = {"role": "user", "content": "a long quote"}
        body = {"model": MODEL, "class": "quote", "messages": [message], "stream": True}
        content = json.dumps(body).encode()
        port = int(router.caller_listener.base_url.rpartition(":")[2])
        caller = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(caller.close)
        head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        caller.sendall(head.encode() + content)
        await self.wait_until_blocked()
        for _ in range(3):
            await time.skip(PAUSE_LIMIT_MS)
        await wait_until(lambda: self.ended)
        self.assertEqual(self.streams, 1)

    async def wait_until_blocked(self) -> None:
        """Wait until the engine has long written nothing, since no buffer has room."""
        quiet, written = 0, -1
        while quiet < 20:
            quiet = quiet + 1 if self.written == written > 0 else 0
            written = self.written
            await asyncio.sleep(0.01)

    async def stream_without_end(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.method != "POST":  # polls of the agent
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self.streams += 1
        writer.write(STREAM_HEAD)
        try:
            while True:
                writer.write(EVENT)
                await writer.drain()
                self.written += 1
        except ConnectionError:
            self.ended += 1


if __name__ == "__main__":
    unittest.main()
