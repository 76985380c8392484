"""Event streams through a router, with engines that fail."""

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
    build_chunk,
    build_event,
    build_response,
    build_stream_header,
    reset,
)

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script

EVENTS = 4
PROMPT = {
    "X_Boragetiller_Model": "m",
    "X_Boragetiller_Token_Counts": "900,16",
    "X_Boragetiller_Prefix_Hash": "aa:800,bb:100",
}


async def stream_all_events(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    after = int(request.headers.get("last-event-id", 0))
    writer.write(build_stream_header(request.request_id, seal=f"seal-{after}"))
    for number in range(after + 1, EVENTS + 1):
        writer.write(build_chunk(build_event(number)))
    writer.write(build_chunk(b""))


async def stream_partially_and_reset(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(build_stream_header(request.request_id, seal="seal-0"))
    writer.write(
        build_chunk(build_event(1)) + build_chunk(build_event(2)) + build_chunk(build_event(3)[:9])
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


async def end_stream_inside_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(build_stream_header(request.request_id, seal="seal-0"))
    writer.write(build_chunk(build_event(1)) + build_chunk(build_event(2)[:9]) + build_chunk(b""))


async def never_respond(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
    """Accept the request and never respond."""


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Each test scripts two engines; the router may choose either."""

    async def serve(self, *scripts: Script) -> RouterHarness:
        """Run the scripts in the order of the requests, at whichever engine they arrive."""
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

    async def test_events_are_relayed_as_they_arrive(self) -> None:
        release = asyncio.Event()

        async def stream_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_stream_header(request.request_id) + build_chunk(build_event(1)))
            await writer.drain()
            await release.wait()
            writer.write(build_chunk(build_event(2)) + build_chunk(b""))

        harness = await self.serve(stream_slowly)
        async with harness.call("/quotes/", **PROMPT) as response:
            self.assertEqual(await response.content.readany(), build_event(1))
            release.set()
            self.assertEqual(await response.read(), build_event(2))

    async def test_stream_is_refused_if_no_engine_can_finish_it_in_time(self) -> None:
        harness = await self.serve(stream_all_events)
        registry = harness.router.registry
        now_ms = SystemClock().now_ms()
        for server in registry.servers.by_name.values():
            server.recent_prefill_tokens, server.prefill_updated_ms = 1e9, now_ms
        registry.output_lengths.record("quotes", 10_000.0)
        async with harness.call("/quotes/", **PROMPT) as response:
            self.assertEqual(response.status, 503)
            self.assertEqual((await response.json())["error"]["code"], "no_room")
            target_s = 2.0
            self.assertTrue(target_s / 4 <= float(response.headers["Retry-After"]) <= target_s)
        self.assertEqual(self.served, 0)

    async def test_error_of_an_engine_is_forwarded_if_no_other_has_capacity(self) -> None:
        harness = await self.serve(stream_all_events)

        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            for server in harness.router.registry.servers.by_name.values():
                server.full_until_ms = SystemClock().now_ms() + 60_000
            writer.write(build_response(request.request_id, b"broken", status="500 Error"))

        for engine in self.engines:
            engine.script = fail
        async with harness.call("/gauges/", **PROMPT) as response:
            self.assertEqual((response.status, await response.read()), (500, b"broken"))

    async def test_prompt_counts_as_pending_until_its_first_event(self) -> None:
        harness = await self.serve(never_respond)
        call = asyncio.create_task(_read(harness, "/quotes/"))
        await wait_until(lambda: self.served == 1)
        servers = harness.router.registry.servers.by_name.values()
        self.assertEqual(sum(sum(s.unread_tokens) for s in servers), 900)
        call.cancel()
        await wait_until(lambda: sum(s.in_flight for s in servers) == 0)
        self.assertEqual(sum(sum(s.unread_tokens) for s in servers), 0)

    async def test_resumable_stream_continues_at_another_engine(self) -> None:
        harness = await self.serve(stream_partially_and_reset, stream_all_events)
        async with harness.call("/gauges/", **PROMPT) as response:
            self.assertEqual(response.headers["X-Boragetiller-Response-Seal"], "seal-0")
            body = await response.read()
        self.assertEqual(body, b"".join(build_event(number) for number in range(1, EVENTS + 1)))
        second = [r for engine in self.engines for r in engine.requests][-1]
        self.assertEqual(
            {r.headers.get("last-event-id") for e in self.engines for r in e.requests}, {None, "2"}
        )
        self.assertIn(second.request_id, {"id-1"})

    async def test_stream_whose_resumption_fails_is_aborted(self) -> None:
        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_response(request.request_id, status="500 Error"))

        harness = await self.serve(stream_partially_and_reset, fail)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/gauges/")

    async def test_stream_that_cannot_be_resumed_is_aborted_and_runs_once(self) -> None:
        harness = await self.serve(stream_partially_and_reset, stream_all_events)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/quotes/")
        self.assertEqual(self.served, 1)

    async def test_stream_that_ends_inside_an_event_is_aborted(self) -> None:
        harness = await self.serve(end_stream_inside_event)
        with self.assertRaises(aiohttp.ClientError):
            await _read(harness, "/quotes/")

    async def test_stream_of_a_silent_engine_continues_at_another_one(self) -> None:
        harness = await self.serve(never_respond, stream_all_events)
        with patch("boragetiller.systems.response_timeouts.MIN_EVENT_TIMEOUT_MS", 1.0):
            body = await _read(harness, "/gauges/", X_Boragetiller_Deadline_Ms="4000")
        self.assertTrue(body.endswith(build_event(EVENTS)))

    async def test_caller_that_resumes_gets_only_missing_events(self) -> None:
        harness = await self.serve(stream_all_events)
        body = await _read(harness, "/gauges/", Last_Event_Id="2")
        self.assertEqual(body, build_event(3) + build_event(4))

    async def test_call_is_not_retried_after_the_caller_disconnected(self) -> None:
        harness = await self.serve(stream_all_events)
        disconnected = ConnectionResetError("the caller disconnected")
        with (
            patch("aiohttp.web.StreamResponse.write", side_effect=disconnected),
            self.assertRaises(aiohttp.ClientError),
        ):
            await _read(harness, "/gauges/")
        self.assertEqual(self.served, 1)

    async def test_disconnect_of_the_caller_ends_the_stream_at_the_engine(self) -> None:
        async def stream_one_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_stream_header(request.request_id) + build_chunk(build_event(1)))

        harness = await self.serve(stream_one_event)
        async with harness.call("/quotes/", **PROMPT) as response:
            await response.content.readany()
            response.close()
            await wait_until(lambda: sum(engine.closed_connections for engine in self.engines) == 1)
        self.assertEqual(self.served, 1)

    async def test_urgency_combines_the_tiers_of_customer_and_route(self) -> None:
        harness = await self.serve(stream_all_events)
        for path, urgency in (("/quotes/", "5"), ("/gauges/", "4")):
            await _read(harness, path)
            sent_request = next(
                r for engine in self.engines for r in engine.requests if r.path == path
            )
            self.assertEqual(sent_request.headers["x-boragetiller-request-urgency"], urgency)


class EventSplitterTest(unittest.TestCase):
    """Splitting of event streams into complete events."""

    def test_feed_buffers_an_incomplete_event(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(build_event(1) + build_event(2)[:5]).data, build_event(1))
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(splitter.feed(build_event(2)[5:]).data, build_event(2))
        self.assertFalse(splitter.has_partial_event)

    def test_feed_drops_events_that_the_caller_has(self) -> None:
        splitter = EventSplitter("2")
        self.assertEqual(splitter.feed(build_event(2) + build_event(3)).data, build_event(3))
        self.assertEqual(splitter.feed(build_event(3)).data, b"")
        self.assertEqual(splitter.last_id, "3")

    def test_feed_keeps_events_without_an_id(self) -> None:
        self.assertEqual(EventSplitter("7").feed(b": note\n\n").data, b": note\n\n")


async def _read(harness: RouterHarness, path: str, **headers: str) -> bytes:
    async with harness.call(path, **PROMPT, **headers) as response:
        return await response.read()


if __name__ == "__main__":
    unittest.main()
