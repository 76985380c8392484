"""Which requests a router counts for the usage reports, and what its peers get of the counts."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import aiohttp

from boragetiller.gateway.duties.settings import DutySettings
from boragetiller.gateway.duties.usage_links import UsageLinks
from boragetiller.gateway.settings import Endpoint
from boragetiller.tables.duties import DutyKind
from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ScriptedEngine,
    build_chunk,
    build_event,
    build_response,
    build_stream_header,
    reset,
)
from tests.gateway.test_streams import PROMPT, stream_all_events, stream_partially_and_reset

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import ReceivedRequest, Script

NOT_EXECUTED = "X-Boragetiller-Not-Executed: 1\r\n"
DUTIES = DutySettings(
    api=Endpoint("127.0.0.1", 9),
    kinds=(DutyKind.USAGE_REPORT,),
    calls_per_s=50.0,
    lease_ms=3_000,
    thaw_slack_ms=300,
    window_ms=3_600_000,  # no window ends during a test
    usage_tolerance=0.05,
    usage_late_ms=7_200_000,
)


def answer(body: bytes = b"ok", **fields: str) -> Script:
    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(build_response(request.request_id, body, **fields))

    return script


async def cut_body(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(build_response(request.request_id, b"complete")[:-4])
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def cut_stream_before_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(build_stream_header(request.request_id))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


class UsageCountingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.engine = ScriptedEngine(stream_all_events)
        await self.engine.start()
        self.routers: list[RouterHarness] = []
        await self.start_router("router-1")

    async def asyncTearDown(self) -> None:
        for router in self.routers:
            await router.close()
        await self.engine.close()

    async def start_router(self, name: str, **changes: Any) -> RouterHarness:
        router = RouterHarness(**({"name": name, "duties": DUTIES} | changes))
        for service in ("engines", "shop"):
            router.store.register(f"{service}-1", self.engine, service)
        self.routers.append(router)
        await router.start()
        return router

    async def call(self, path: str, script: Script) -> int | None:
        self.engine.script = script
        headers = PROMPT if path in ("/quotes/x", "/gauges/x") else {}
        try:
            async with self.routers[0].call(path, **headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return None

    async def test_requests_that_a_server_began_count_once(self) -> None:
        # Guards against lost and double counts; small customers have a few requests per window.
        cases: list[tuple[str, Script, int]] = [
            ("/quotes/x", stream_all_events, 1),
            ("/quotes/x", stream_partially_and_reset, 1),
            ("/quotes/x", cut_stream_before_event, 0),
            ("/quotes/x", answer(status="503 Busy", seal="", extra=NOT_EXECUTED), 0),
            ("/quotes/x", answer(status="500 Failed"), 1),
            ("/stock/x", answer(), 1),
            ("/stock/x", answer(status="500 Failed"), 1),  # retried if another server were there
            ("/stock/x", answer(status="503 Busy", seal="", extra=NOT_EXECUTED), 0),
            ("/stock/x", answer(status="502 Proxy", seal=""), 0),
            ("/reserve/x", cut_body, 1),
        ]
        for path, script, expected in cases:
            with self.subTest(path=path, script=script.__name__):
                await self.call(path, script)
                self.assertEqual(self.count(0), expected)
                await self.asyncTearDown()  # the engine of the next case is not ejected
                await self.asyncSetUp()

    async def test_resumed_stream_counts_once(self) -> None:
        self.routers[0].store.register("engines-2", self.engine, "engines")
        await wait_until(lambda: "engines-2" in self.routers[0].router.registry.servers.by_name)
        scripts = [stream_partially_and_reset, stream_all_events]

        async def fail_once(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await scripts.pop(0)(request, writer)

        self.assertEqual(await self.call("/gauges/x", fail_once), 200)
        self.assertEqual(len(self.engine.requests), 2)
        self.assertEqual(self.count(0), 1)

    async def test_request_counts_if_the_caller_leaves_after_the_first_event(self) -> None:
        ended = asyncio.Event()

        async def stall(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_stream_header(request.request_id) + build_chunk(build_event(1)))
            await writer.drain()
            await ended.wait()

        self.engine.script = stall
        async with self.routers[0].call("/quotes/x", **PROMPT) as response:
            await response.content.readany()
        await wait_until(lambda: self.routers[0].router.call_handler.in_progress == 0)
        ended.set()
        self.assertEqual(self.count(0), 1)

    async def test_request_without_customer_does_not_count(self) -> None:
        self.engine.script = answer()
        async with self.routers[0].call("/stock/x", Authorization="") as response:
            await response.read()
        self.assertEqual(self.count(0), 0)

    async def test_peer_gets_the_counts_until_the_end(self) -> None:
        # Guards against counts lost with a router that stops in order.
        first = self.routers[0]
        second = await self.start_router(
            "router-2", seeds=(first.router.peer_exchange.endpoint,), store=None
        )
        await wait_until(lambda: second.router.peer_exchange.known_count)
        await wait_until(lambda: first.router.peer_exchange._outbound_peers)
        await self.call("/stock/x", answer())
        await wait_until(lambda: self.count(1) == 1)
        await self.call("/stock/x", answer())
        await first.close()
        self.routers.remove(first)
        self.assertEqual(self.count(0), 2)
        usage = second.router.state_sync.usage
        assert usage is not None
        self.assertNotIn("router-1", usage.windows.routers)  # nobody waits for it

    async def test_candidate_gets_the_counts_of_a_router_that_is_no_peer(self) -> None:
        # Guards against a report of a large fleet with the counts of some of its routers only.
        first = self.routers[0].router
        second = (await self.start_router("router-2", store=None)).router
        counter, endpoint = first.state_sync.usage, second.peer_exchange.endpoint
        assert counter is not None and endpoint is not None and first.peer_exchange.endpoint
        candidates: set[Endpoint] = {endpoint}
        links = UsageLinks(
            "router-1",
            counter,
            lambda: candidates,
            lambda: tuple(map(str, candidates)),
            first.metrics,
        )
        with patch("boragetiller.gateway.duties.usage_links.MAX_PEERS", 0):
            await self.call("/stock/x", answer())
            await links.start(first.peer_exchange.endpoint)
            await wait_until(lambda: self.count(1) == 1)
            self.assertEqual(first.state_sync.build_first_report().usage, ())
            self.assertEqual(second.state_sync.peer_names, {})  # its loads are not extrapolated
            await links.close()
        usage = second.state_sync.usage
        assert usage is not None
        await wait_until(lambda: not usage.windows.routers["router-1"].connected)

    async def test_nothing_is_counted_without_the_duty(self) -> None:
        plain = await self.start_router("router-3", duties=None)
        self.routers.insert(0, self.routers.pop())
        self.assertEqual(await self.call("/stock/x", answer()), 200)
        sync = plain.router.state_sync
        self.assertIsNone(sync.usage)
        self.assertEqual(sync.build_first_report().usage, ())

    def count(self, router: int) -> int:
        """:return: requests of all windows that a router knows"""
        usage = self.routers[router].router.state_sync.usage
        assert usage is not None
        total: Counter[str] = Counter()
        for window in usage.windows.windows.values():
            for counts in window.by_router.values():
                total.update(counts)
        return total["north"]


if __name__ == "__main__":
    unittest.main()
