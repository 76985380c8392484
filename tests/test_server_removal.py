"""Removal of backend servers in real processes: no new requests after three seconds."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import aiohttp

from bench.fleet import OPERATOR_KEY, FleetProcess, ProcessFleet
from tests.fleet import KEY, MODEL, build_sample_records

ENGINES = ("engine-a", "engine-b", "engine-c", "engine-d")
REMAINING = "engine-a"
REMOVAL_TIME_LIMIT_S = 3.0
CALLS = 40
LONG_CALLS = 12
LONG_TOKENS = 1_200
MAX_TRIES = 200
RETRY_S = 0.05


class ServerRemovalTest(unittest.IsolatedAsyncioTestCase):
    """Four engines; one is removed by the host list, one by the records, one by draining."""

    async def asyncSetUp(self) -> None:
        self.fleet = ProcessFleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await asyncio.gather(*(self._start_engine(name) for name in ENGINES))
        await self.fleet.apply_records(build_sample_records(ENGINES, ()))
        names = ("router-a", "router-b")
        self.routers = await asyncio.gather(*(self.fleet.start_router(name) for name in names))
        self.session = aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"})
        self.addAsyncCleanup(self.session.close)

    async def test_removed_servers_get_no_new_request_after_three_seconds(self) -> None:
        await self._call_until_all_engines_are_used()
        long_calls = await self._start_long_calls()
        processes = self.fleet.processes
        await self.fleet.put_host(processes["engine-b"], group="pool", state="leaving")
        await self.fleet.apply_records(
            build_sample_records(("engine-a", "engine-b", "engine-d"), ())
        )
        stop = asyncio.create_task(processes["engine-d"].stop())
        await asyncio.sleep(REMOVAL_TIME_LIMIT_S)
        before = await self._count_runs()
        draining_retries = await self._count_draining_retries()
        statuses = await asyncio.gather(*(self._call(n) for n in range(CALLS)))
        after = await self._count_runs()
        self.assertEqual(statuses, [200] * CALLS)
        new_runs = {name: after[name] - before[name] for name in ENGINES}
        self.assertEqual(new_runs, {name: CALLS if name == REMAINING else 0 for name in ENGINES})
        self.assertEqual(await self._count_draining_retries(), draining_retries)
        self.assertFalse(stop.done())
        self.assertEqual(await asyncio.gather(*long_calls), [200] * LONG_CALLS)
        self.assertEqual(await stop, 0)

    async def _start_engine(self, name: str) -> None:
        engine = await self.fleet.start_standin(f"{name}-server", "engine")
        await self.fleet.start_agent(name, "pool", engine)

    async def _call_until_all_engines_are_used(self) -> None:
        for number in range(MAX_TRIES):
            await self._call(number)
            if all((await self._count_runs()).values()):
                return
            await asyncio.sleep(RETRY_S)
        self.fail(f"after {MAX_TRIES} calls an engine got none: {await self._count_runs()}")

    async def _start_long_calls(self) -> list[asyncio.Task[int]]:
        before = await self._count_runs()
        calls = [asyncio.create_task(self._call(n, LONG_TOKENS)) for n in range(LONG_CALLS)]
        expected = sum(before.values()) + LONG_CALLS
        for _ in range(MAX_TRIES):
            runs = await self._count_runs()
            if sum(runs.values()) == expected:
                break
            await asyncio.sleep(RETRY_S)
        self.assertEqual(sum(runs.values()), expected)
        self.assertGreater(runs["engine-d"], before["engine-d"])
        return calls

    async def _call(self, number: int, tokens: int = 4) -> int:
        router = self.routers[number % len(self.routers)]
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"question {tokens} {number}"}],
            "max_tokens": tokens,
        }
        async with self.session.post(router.url + "/v1/chat/completions", json=body) as response:
            await response.read()
            return response.status

    async def _count_runs(self) -> dict[str, int]:
        """Count the requests that each engine has started."""
        runs = {}
        for name in ENGINES:
            ledger = await self._get(self.fleet.processes[f"{name}-server"].url + "/ledger")
            runs[name] = sum(ledger["by_request_id"].values())
        return runs

    async def _count_draining_retries(self) -> int:
        """Count the attempts that routers sent to a draining agent."""
        metrics = [await self._get_operator_metrics(router) for router in self.routers]
        return sum(counts.get("router.retry.draining", 0) for counts in metrics)

    async def _get_operator_metrics(self, process: FleetProcess) -> dict[str, int]:
        port = process.endpoints["operator_port"]
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return dict(await self._get(f"http://127.0.0.1:{port}/metrics", headers=headers))

    async def _get(self, url: str, **options: Any) -> Any:
        async with self.session.get(url, **options) as response:
            return await response.json()


if __name__ == "__main__":
    unittest.main()
