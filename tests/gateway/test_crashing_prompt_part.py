"""Requests with one prompt part that crashes each engine that begins to answer them."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp

from tests.gateway.crashing_engine import CrashingEngineGroup
from tests.gateway.harness import FakeStore, RouterHarness, build_config, wait_until

MAX_CRASHES = 5  # the users' rule counts from the fifth crash
MAX_LATER_REQUESTS = 3  # that may reach engines after it
ATTEMPTS = 12


class CrashingPromptPartTest(unittest.IsolatedAsyncioTestCase):
    """Two routers before engines that crash on the part `poison`."""

    async def asyncSetUp(self) -> None:
        """Start the engines and two routers that report to each other."""
        self.stores = (FakeStore(), FakeStore())
        for store in self.stores:
            store.put("op/config", build_config())
        self.engines = CrashingEngineGroup(self.stores, "poison", size=6)
        await self.engines.start()
        self.addAsyncCleanup(self.engines.close)
        self.routers = [await self.start_router(0, "router-1")]
        seed = self.routers[0].router.peer_exchange.endpoint
        self.routers.append(await self.start_router(1, "router-2", seeds=(seed,)))
        for harness in self.routers:
            await wait_until(lambda h=harness: h.router.registry.peer_loads.by_peer)

    async def start_router(self, store: int, name: str, **changes: object) -> RouterHarness:
        harness = RouterHarness(self.stores[store], name=name, **changes)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def call(self, harness: RouterHarness, parts: str, path: str = "/quotes/") -> int:
        """:return: status of the response, 0 if its connection broke"""
        try:
            async with harness.call(
                path,
                body=parts.encode(),
                X_Boragetiller_Model="m",
                X_Boragetiller_Token_Counts="900,16",
                X_Boragetiller_Prefix_Hash=parts,
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def crash_until_refused(self, path: str = "/quotes/") -> int:
        """:return: status of the last of ATTEMPTS poison requests, no two of which are alike"""
        status = 0
        for number in range(ATTEMPTS):
            harness = self.routers[number % 2]
            status = await self.call(harness, f"aa:500,poison:300,own{number}:100", path)
            await asyncio.sleep(0.1)
        return status

    async def test_different_requests_with_one_part_crash_engine_after_engine(self) -> None:
        self.assertEqual(await self.crash_until_refused(), 503)
        self.assertLessEqual(self.engines.poison_requests, MAX_CRASHES + MAX_LATER_REQUESTS)

    async def test_resumable_stream_crashes_engine_after_engine(self) -> None:
        self.assertEqual(await self.crash_until_refused("/gauges/"), 503)
        self.assertLessEqual(self.engines.poison_requests, MAX_CRASHES + MAX_LATER_REQUESTS)

    async def test_sound_requests_with_the_same_first_part_are_answered(self) -> None:
        await self.crash_until_refused()
        for number in range(4):
            status = await self.call(self.routers[number % 2], f"aa:500,own{number}:100")
            self.assertEqual(status, 200)

    async def test_error_response_does_not_clear_the_part(self) -> None:
        await self.call(self.routers[0], "aa:500,poison:300,own:100")
        table = self.routers[0].router.registry.failure_history.part_crashes
        await wait_until(lambda: "poison" in table.by_part)
        self.assertEqual(await self.call(self.routers[0], "aa:500,poison:300,bad:100"), 400)
        self.assertFalse(any(crash.cleared for crash in table.by_part["poison"].values()))

    async def test_router_that_starts_later_refuses_the_part(self) -> None:
        await self.crash_until_refused()
        seeds = tuple(harness.router.peer_exchange.endpoint for harness in self.routers)
        late = await self.start_router(0, "router-3", seeds=seeds)
        table = late.router.registry.failure_history.part_crashes
        await wait_until(lambda: "poison" in table.by_part)
        self.assertEqual(await self.call(late, "aa:500,poison:300,late:100"), 503)

    async def test_refusal_names_the_end_of_the_quarantine(self) -> None:
        await self.crash_until_refused()
        headers = {
            "X_Boragetiller_Token_Counts": "900,16",
            "X_Boragetiller_Prefix_Hash": "aa:500,poison:300,own:100",
        }
        async with self.routers[0].call("/quotes/", **headers) as response:
            self.assertEqual((await response.json())["error"]["code"], "quarantined")
            self.assertGreater(float(response.headers["Retry-After"]), 500)


if __name__ == "__main__":
    unittest.main()
