"""Callers of the product's own interface that take a stream slowly."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

from boragetiller.agent.stream import FrameStream
from boragetiller.clock import SystemClock
from boragetiller.router.response_writers import StreamingResponseWriter
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.systems import concurrency_limit
from tests.fleet import MODEL, Fleet, build_sample_records

PAUSE_MS = 3_600_000  # in which no engine would generate so few tokens
TOKENS = 60


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


if __name__ == "__main__":
    unittest.main()
