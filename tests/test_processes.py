"""Tests that stopping an agent and a router fails no call; runs real processes on loopback."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

import aiohttp
import attrs

from bench.fleet import FleetProcess, ProcessFleet
from boragetiller.standin.engine_text import build_expected_text
from tests.fleet import KEY, MODEL, build_sample_records
from tests.streams import extract_streamed_text

CALLS = 200
CONCURRENT_CALLS = 10
STOP_AGENT_AFTER = 60
STOP_ROUTER_AFTER = 120
MAX_TRIES = 40
RETRY_S = 0.05
HEADERS = {"Authorization": f"Bearer {KEY}"}


@attrs.define
class Tally:
    """Results of the calls."""

    served: int = 0
    problems: list[str] = attrs.Factory(list)


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Two routers, and two engines and two plain services with one agent each."""

    async def asyncSetUp(self) -> None:
        self.fleet = ProcessFleet()
        self.addAsyncCleanup(self.fleet.close)  # registered first: it also runs if the set-up fails
        await self.fleet.start()
        for name in ("engine-a", "engine-b"):
            engine = await self.fleet.start_standin(f"{name}-server", "engine")
            await self.fleet.start_agent(name, "pool", engine)
        for name in ("app-a", "app-b"):
            service = await self.fleet.start_standin(f"{name}-server", "service")
            await self.fleet.start_agent(name, "app", service, kind="service")
        await self.fleet.apply_records(
            build_sample_records(("engine-a", "engine-b"), ("app-a", "app-b"))
        )
        self.routers = [await self.fleet.start_router(name) for name in ("router-a", "router-b")]
        self.session = aiohttp.ClientSession(headers=HEADERS)
        self.addAsyncCleanup(self.session.close)
        self.tally = Tally()
        self.ready = list(self.routers)

    async def test_stopping_agent_and_router_fails_no_call(self) -> None:
        for router in self.routers:
            await self._wait_ready(router)
        readiness_poll = asyncio.create_task(self._poll_readiness())
        slots = asyncio.Semaphore(CONCURRENT_CALLS)
        calls = []
        stops = []
        for number in range(CALLS):
            await slots.acquire()
            if number == STOP_AGENT_AFTER:
                stops.append(asyncio.create_task(self._stop("engine-a")))
            if number == STOP_ROUTER_AFTER:
                stops.append(asyncio.create_task(self._stop("router-a")))
            calls.append(asyncio.create_task(self._call(number, slots)))
        await asyncio.gather(*calls)
        readiness_poll.cancel()
        codes = await asyncio.gather(*stops)
        self.assertEqual(self.tally.problems, [])
        self.assertEqual(self.tally.served, CALLS)
        self.assertEqual(codes, [0, 0])
        await self._check_bookings_ran_once()

    async def _wait_ready(self, router: FleetProcess) -> None:
        for _ in range(MAX_TRIES):
            if await self._is_ready(router):
                return
            await asyncio.sleep(RETRY_S)
        self.fail(f"router not ready after {MAX_TRIES} checks")

    async def _poll_readiness(self) -> None:
        """Drop routers that are not ready, as the platform's load balancer does."""
        while True:
            ready = [router for router in self.routers if await self._is_ready(router)]
            self.ready = ready or self.ready
            await asyncio.sleep(RETRY_S)

    async def _is_ready(self, router: FleetProcess) -> bool:
        try:
            async with self.session.get(router.url + "/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _stop(self, name: str) -> int:
        return await self.fleet.processes[name].stop()

    async def _call(self, number: int, slots: asyncio.Semaphore) -> None:
        try:
            problem = await self._call_until_served(number)
        finally:
            slots.release()
        if problem:
            self.tally.problems.append(f"call {number}: {problem}")
        else:
            self.tally.served += 1

    async def _call_until_served(self, number: int) -> str:
        """Send a call to a ready router; retry while the router refuses it."""
        problem = "no router accepted a connection"
        for attempt in range(MAX_TRIES):
            router = self.ready[(number + attempt) % len(self.ready)]
            try:
                status, content = await self._send(router, number)
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                return f"connection lost: {error!r}"
            if status == 200:
                return _check_response(number, content)
            problem = f"{status} {content[:200]!r}"
            keyed = number % 4 == 3  # safe to retry after any verdict
            if not keyed and json.loads(content)["error"]["verdict"] != "not_run":
                return problem
            await asyncio.sleep(RETRY_S)
        return problem

    async def _send(self, router: FleetProcess, number: int) -> tuple[int, bytes]:
        if number % 4 == 3:
            url, headers = "/services/app/reserve", {"Idempotency-Key": f"key-{number}"}
            sent: dict[str, Any] = {"data": f"sheet {number}".encode(), "headers": headers}
        else:
            url, sent = "/v1/chat/completions", {"json": _build_chat(number)}
        async with self.session.post(router.url + url, **sent) as response:
            return response.status, await response.read()

    async def _check_bookings_ran_once(self) -> None:
        counts: dict[str, int] = {}
        for name in ("app-a-server", "app-b-server"):
            async with self.session.get(self.fleet.processes[name].url + "/ledger") as response:
                for key, count in (await response.json())["by_key"].items():
                    counts[key] = counts.get(key, 0) + count
        self.assertEqual(counts, {f"key-{n}": 1 for n in range(CALLS) if n % 4 == 3})


def _build_chat(number: int) -> dict[str, Any]:
    messages = [{"role": "user", "content": f"question {number}"}]
    return {"model": MODEL, "messages": messages, "max_tokens": 8, "stream": number % 2 == 0}


def _check_response(number: int, content: bytes) -> str:
    if number % 4 == 3:
        return ""
    text = extract_streamed_text(content) if number % 2 == 0 else _get_message_text(content)
    return "" if text == build_expected_text(_build_chat(number)) else f"unexpected text: {text!r}"


def _get_message_text(content: bytes) -> str:
    return str(json.loads(content)["choices"][0]["message"]["content"])


if __name__ == "__main__":
    unittest.main()
