"""Backend servers that name a request limit for all routers together."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING

from tests.gateway.harness import FakeStore, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_event,
    build_stream_header,
)

if TYPE_CHECKING:
    import asyncio

LIMIT_PER_S = 1.0
WINDOW_S = 4.0
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5  # what the users' rule allows beyond the limit


class LimitedEngine(ScriptedEngine):
    """Answers each request with a short stream and names a limit while it has one."""

    def __init__(self, limit_per_s: float | None = None) -> None:
        """:param limit_per_s: limit to name, None for no limit"""
        super().__init__(self._respond)
        self.limit_per_s = limit_per_s

    async def _respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = build_stream_header(request.request_id)
        if self.limit_per_s is not None:
            head = head.replace(
                b"\r\n\r\n", f"\r\nServer-Limit: {self.limit_per_s}\r\n\r\n".encode()
            )
        writer.write(head + build_chunk(build_event(1)) + build_chunk(b""))


class ServerLimitTest(unittest.IsolatedAsyncioTestCase):
    """Two routers that report to each other, before engines of which some name a limit."""

    async def serve(self, *limits: float | None) -> None:
        stores = (FakeStore(), FakeStore())
        self.engines = [LimitedEngine(limit) for limit in limits]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.close)
        for store in stores:
            store.put("op/config", build_config())
            for number, engine in enumerate(self.engines):
                store.register(f"e{number}", engine, "engines")
        self.routers: list[RouterHarness] = []
        for number, store in enumerate(stores):
            seeds = tuple(each.router.peer_exchange.endpoint for each in self.routers)
            harness = RouterHarness(store, name=f"router-{number}", seeds=seeds)
            await harness.start()
            self.addAsyncCleanup(harness.close)
            self.routers.append(harness)
        for harness in self.routers:
            await wait_until(lambda h=harness: h.router.registry.peer_loads.by_peer)

    async def call(self, number: int, path: str = "/quotes/") -> tuple[int, float]:
        """:return: status and Retry-After in seconds, 0 if there is none"""
        headers = {
            "X_Boragetiller_Token_Counts": "900,16",
            "X_Boragetiller_Prefix_Hash": f"shared{number}:800,own:100",
        }
        async with self.routers[number % 2].call(path, **headers) as response:
            await response.read()
            return response.status, float(response.headers.get("Retry-After", 0))

    async def learn_limits(self, count: int = 40) -> None:
        """Send requests until both routers know the limits."""
        for number in range(count):
            await self.call(1_000 + number)
        for harness in self.routers:
            limits = harness.router.registry.server_limits.by_server
            self.assertEqual(
                {name: limit.limit_per_s for name, limit in limits.items()},
                {
                    f"e{number}": engine.limit_per_s
                    for number, engine in enumerate(self.engines)
                    if engine.limit_per_s is not None
                },
            )

    async def test_routers_together_exceed_the_limit_of_an_engine(self) -> None:
        await self.serve(LIMIT_PER_S, None)
        await self.learn_limits()
        before, started_s = len(self.engines[0].requests), time.monotonic()
        for number in range(80):
            status, _ = await self.call(number)
            self.assertEqual(status, 200)
        window_s = max(WINDOW_S, time.monotonic() - started_s)
        allowed = EXCESS_RATIO * LIMIT_PER_S * window_s + EXCESS_REQUESTS
        self.assertLessEqual(len(self.engines[0].requests) - before, allowed)

    async def test_refusal_for_limits_names_when_to_come_back(self) -> None:
        await self.serve(LIMIT_PER_S)
        await self.call(0)
        statuses = [await self.call(number) for number in range(6)]
        refused = [retry_after_s for status, retry_after_s in statuses if status == 503]
        self.assertTrue(refused)
        own_share_per_s = LIMIT_PER_S / len(self.routers)
        self.assertGreaterEqual(max(refused), 1 / own_share_per_s)

    async def test_requests_are_sent_again_once_the_limit_has_ended(self) -> None:
        await self.serve(1_000.0)
        await self.call(0)
        self.engines[0].limit_per_s = None
        limits = [harness.router.registry.server_limits.by_server for harness in self.routers]
        await wait_until(lambda: all("e0" in each for each in limits))
        while any(each["e0"].limit_per_s is not None for each in limits):
            await self.call(0)
        self.assertEqual([(await self.call(number))[0] for number in range(6)], [200] * 6)

    async def test_router_that_starts_later_keeps_to_the_limit(self) -> None:
        await self.serve(LIMIT_PER_S)
        await self.call(0)
        seeds = tuple(each.router.peer_exchange.endpoint for each in self.routers)
        late = RouterHarness(self.routers[0].store, name="router-late", seeds=seeds)
        await late.start()
        self.addAsyncCleanup(late.close)
        limits = late.router.registry.server_limits
        await wait_until(lambda: "e0" in limits.by_server and len(limits.membership.members) == 3)
        self.assertAlmostEqual(limits.by_server["e0"].share_per_s, LIMIT_PER_S / 3)


if __name__ == "__main__":
    unittest.main()
