"""Event streams through a router, with engines that break off."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import aiohttp

from boragetiller.clock import SystemClock
from boragetiller.gateway.event_stream import EventSplitter
from tests.gateway.harness import RouterHarness, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    answer,
    chunk,
    event,
    reset,
    stream_head,
)

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script

EVENTS = 4
PROMPT = {
    "X_Boragetiller_Model": "m",
    "X_Boragetiller_Token_Counts": "900,16",
    "X_Boragetiller_Prefix_Hash": "aa:800,bb:100",
}


async def stream_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    after = int(request.headers.get("last-event-id", 0))
    writer.write(stream_head(request.request_id, seal=f"seal-{after}"))
    for number in range(after + 1, EVENTS + 1):
        writer.write(chunk(event(number)))
    writer.write(chunk(b""))


async def stream_half(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request.request_id, seal="seal-0"))
    writer.write(chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:9]))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def stream_ends_inside_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(stream_head(request.request_id, seal="seal-0"))
    writer.write(chunk(event(1)) + chunk(event(2)[:9]) + chunk(b""))


async def stay_mute(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
    """Take the request and never answer."""


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Each test scripts the engines; the router places a prompt on either."""

    async def serve(self, *scripts: Script) -> RouterHarness:
        """The first request meets the first script, whichever engine it goes to, and so on."""
        self.served = 0

        async def next_script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            script = scripts[min(self.served, len(scripts) - 1)]
            self.served += 1
            await script(request, writer)

        harness = RouterHarness()
        self.engines = [ScriptedEngine(next_script) for _ in range(2)]
        for number, engine in enumerate(self.engines):
            await engine.start()
            self.addAsyncCleanup(engine.close)
            harness.store.register(f"e{number}", engine, "engines")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    async def test_stream_passes_event_by_event(self) -> None:
        release = asyncio.Event()

        async def stream_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request.request_id) + chunk(event(1)))
            await writer.drain()
            await release.wait()
            writer.write(chunk(event(2)) + chunk(b""))

        harness = await self.serve(stream_slowly)
        async with harness.call("/quotes/", **PROMPT) as got:
            self.assertEqual(await got.content.readany(), event(1))
            release.set()
            self.assertEqual(await got.read(), event(2))

    async def test_stream_is_refused_at_once_when_no_engine_would_end_it_in_time(self) -> None:
        harness = await self.serve(stream_whole)
        registry = harness.router.registry
        now_ms = SystemClock().now_ms()
        for server in registry.servers.by_name.values():
            server.recent_prefill_tokens, server.prefill_updated_ms = 1e9, now_ms
        registry.output_lengths.record("quotes", 10_000.0)
        async with harness.call("/quotes/", **PROMPT) as got:
            self.assertEqual(got.status, 503)
            self.assertEqual((await got.json())["error"]["code"], "no_room")
            target_s = 2.0
            self.assertTrue(target_s / 4 <= float(got.headers["Retry-After"]) <= target_s)
        self.assertEqual(self.served, 0)

    async def test_error_of_an_engine_reaches_the_caller_when_no_other_has_room(self) -> None:
        harness = await self.serve(stream_whole)

        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            for server in harness.router.registry.servers.by_name.values():
                server.full_until_ms = SystemClock().now_ms() + 60_000
            writer.write(answer(request.request_id, b"broken", status="500 Error"))

        for engine in self.engines:
            engine.script = fail
        async with harness.call("/gauges/", **PROMPT) as got:
            self.assertEqual((got.status, await got.read()), (500, b"broken"))

    async def test_prompt_counts_as_waiting_until_its_first_event(self) -> None:
        harness = await self.serve(stay_mute)
        call = asyncio.create_task(_read(harness, "/quotes/"))
        await wait_until(lambda: self.served == 1)
        servers = harness.router.registry.servers.by_name.values()
        self.assertEqual(sum(sum(s.unread_tokens) for s in servers), 900)
        call.cancel()
        await wait_until(lambda: sum(s.in_flight for s in servers) == 0)
        self.assertEqual(sum(sum(s.unread_tokens) for s in servers), 0)

    async def test_resumable_stream_goes_on_without_a_gap(self) -> None:
        harness = await self.serve(stream_half, stream_whole)
        async with harness.call("/gauges/", **PROMPT) as got:
            self.assertEqual(got.headers["X-Boragetiller-Response-Seal"], "seal-0")
            body = await got.read()
        self.assertEqual(body, b"".join(event(number) for number in range(1, EVENTS + 1)))
        second = [r for engine in self.engines for r in engine.requests][-1]
        self.assertEqual(
            {r.headers.get("last-event-id") for e in self.engines for r in e.requests}, {None, "2"}
        )
        self.assertIn(second.request_id, {"id-1"})

    async def test_resumed_stream_refused_with_an_error_stays_cut(self) -> None:
        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request.request_id, status="500 Error"))

        harness = await self.serve(stream_half, fail)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/gauges/")

    async def test_other_stream_is_cut_and_runs_once(self) -> None:
        harness = await self.serve(stream_half, stream_whole)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/quotes/")
        self.assertEqual(self.served, 1)

    async def test_stream_that_ends_inside_an_event_is_not_complete(self) -> None:
        harness = await self.serve(stream_ends_inside_event)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/quotes/")

    async def test_mute_engine_is_left_for_another_one(self) -> None:
        harness = await self.serve(stay_mute, stream_whole)
        with patch("boragetiller.systems.response_timeouts.MIN_EVENT_TIMEOUT_MS", 1.0):
            body = await _read(harness, "/gauges/", X_Boragetiller_Deadline_Ms="4000")
        self.assertTrue(body.endswith(event(EVENTS)))

    async def test_caller_that_resumes_gets_only_what_it_lacks(self) -> None:
        harness = await self.serve(stream_whole)
        body = await _read(harness, "/gauges/", Last_Event_Id="2")
        self.assertEqual(body, event(3) + event(4))

    async def test_caller_that_left_is_not_served_by_another_engine(self) -> None:
        harness = await self.serve(stream_whole)
        left = ConnectionResetError("the caller has left")
        with (
            patch("aiohttp.web.StreamResponse.write", side_effect=left),
            self.assertRaises(aiohttp.ClientError),
        ):
            await _read(harness, "/gauges/")
        self.assertEqual(self.served, 1)

    async def test_caller_that_leaves_in_mid_stream_frees_the_engine(self) -> None:
        async def stream_one_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request.request_id) + chunk(event(1)))

        harness = await self.serve(stream_one_event)
        async with harness.call("/quotes/", **PROMPT) as got:
            await got.content.readany()
            got.close()
            await wait_until(lambda: sum(engine.ended for engine in self.engines) == 1)
        self.assertEqual(self.served, 1)

    async def test_urgency_is_the_tier_of_the_customer_and_then_of_the_route(self) -> None:
        harness = await self.serve(stream_whole)
        for path, urgency in (("/quotes/", "5"), ("/gauges/", "4")):
            await _read(harness, path)
            seen = next(r for engine in self.engines for r in engine.requests if r.path == path)
            self.assertEqual(seen.headers["x-boragetiller-request-urgency"], urgency)


class EventSplitterTest(unittest.TestCase):
    """Only whole events leave the splitter."""

    def test_feed_holds_back_half_an_event(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(event(1) + event(2)[:5]).data, event(1))
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(splitter.feed(event(2)[5:]).data, event(2))
        self.assertFalse(splitter.has_partial_event)

    def test_feed_drops_events_that_the_caller_has(self) -> None:
        splitter = EventSplitter("2")
        self.assertEqual(splitter.feed(event(2) + event(3)).data, event(3))
        self.assertEqual(splitter.feed(event(3)).data, b"")
        self.assertEqual(splitter.last_id, "3")

    def test_feed_passes_events_without_an_id(self) -> None:
        self.assertEqual(EventSplitter("7").feed(b": note\n\n").data, b": note\n\n")


async def _read(harness: RouterHarness, path: str, **headers: str) -> bytes:
    async with harness.call(path, **PROMPT, **headers) as got:
        return await got.read()


if __name__ == "__main__":
    unittest.main()
