"""Streams to callers that stop reading, for longer than engines may be silent."""

from __future__ import annotations

import asyncio
import socket
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from boragetiller.gateway.outgoing_attempts import EventTimeout
from boragetiller.gateway.streams.version_journal import build_stream_key
from tests.gateway.harness import RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_response,
    build_stream_header,
    reset,
)
from tests.gateway.stalling_caller import (
    DEADLINE_MS,
    SOCKET_BUFFER_BYTES,
    SkippedTime,
    StallingCaller,
    count_metric,
    open_narrow_socket,
)
from tests.gateway.test_hedged_streams import POLICY
from tests.gateway.test_streams import PROMPT

if TYPE_CHECKING:
    from boragetiller.gateway.policy_file import Policy

EVENTS = 8
EVENT_BYTES = 300_000  # more than all buffers between the router and its caller take
PAUSE_MS = 4_000  # longer than any time limit on the events of an engine


class VersionedEngine(ScriptedEngine):
    """Streams large events that name its version."""

    def __init__(self, version: str) -> None:
        """:param version: its software version"""
        super().__init__(self._stream)
        self.version = version
        self.begin = asyncio.Event()  # cleared: responses wait with their first event
        self.begin.set()
        self.stops_after = EVENTS  # events after which a stream waits for `cut`
        self.cut = asyncio.Event()  # ends the streams that wait
        self.chunked = True  # cleared: only the end of a connection marks that of a stream
        self.written = 0  # events

    async def _stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.path == "/reserve/":
            writer.write(build_response(request.request_id, b"x" * EVENT_BYTES))
            return
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        await self.begin.wait()
        after = int(request.headers.get("last-event-id", 0))
        head = build_stream_header(request.request_id)
        frame = build_chunk if self.chunked else bytes
        writer.write(head if self.chunked else head.replace(b"Transfer-Encoding: chunked\r\n", b""))
        for number in range(after + 1, EVENTS + 1):
            if number > self.stops_after:
                await self.cut.wait()
                writer.close()
                return
            event = f"id: {number}\ndata: {self.version} ".encode()
            writer.write(frame(event.ljust(EVENT_BYTES, b"x") + b"\n\n"))
            self.written += 1
            await writer.drain()
        writer.write(frame(b""))
        if not self.chunked:
            writer.close()


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """One router, and one caller that does not read; see `SkippedTime` for its pauses."""

    async def serve(
        self, *versions: str, policy: Policy | None = None, service: str = "engines"
    ) -> None:
        """Start a router, and an engine of each version."""
        self.time = SkippedTime(self)
        self.harness = RouterHarness(listening_socket=open_narrow_socket(), policy=policy)
        config = build_config(2)
        config["limits"]["max-body-bytes"] = EVENT_BYTES
        for route in config["routes"]:
            route["timeout-ms"] = DEADLINE_MS
        self.harness.store.put("op/config", config)
        self.engines = {f"e{number}": VersionedEngine(v) for number, v in enumerate(versions)}
        for name, engine in self.engines.items():
            await engine.start()
            self.addAsyncCleanup(engine.close)
            self.harness.store.register(name, engine, service, version=engine.version)
        await self.harness.start()
        self.addAsyncCleanup(self.harness.close)

    async def block(self, path: str = "/gauges/") -> StallingCaller:
        """Send a request and wait until the router waits for its caller."""
        caller = StallingCaller(self.harness)
        self.addCleanup(caller.close)
        await caller.send(path)
        await caller.wait_until_blocked()
        return caller

    def list_failures(self) -> list[int]:
        """:return: failures and ejections that the router holds against each engine"""
        servers = self.harness.router.registry.servers.by_name.values()
        return [server.health.failures + server.health.ejections for server in servers]

    def count_requests(self) -> int:
        """:return: requests that engines have received"""
        return sum(len(engine.requests) for engine in self.engines.values())

    def find_serving(self) -> VersionedEngine:
        """:return: the engine that got the last request"""
        return max(self.engines.values(), key=lambda engine: engine.written)

    def count_closed(self) -> int:
        """:return: connections that the router has closed"""
        return sum(engine.closed_connections for engine in self.engines.values())

    async def test_caller_that_reads_again_gets_each_event_once(self) -> None:
        await self.serve("v1", "v1")
        caller = await self.block()
        await self.time.skip(PAUSE_MS)
        self.assertLess(self.find_serving().written, EVENTS)  # the router reads no further
        received = await caller.read()
        self.assertEqual(received.events, [(number, "v1") for number in range(1, EVENTS + 1)])
        self.assertTrue(received.complete)
        self.assertEqual((self.count_requests(), self.list_failures()), (1, [0, 0]))

    async def test_planned_stop_waits_for_a_caller_that_pauses(self) -> None:
        await self.serve("v1")
        caller = await self.block()
        stop = asyncio.create_task(self.harness.router.close())
        await wait_until(lambda: self.harness.router.call_handler.stopping)
        await self.time.skip(PAUSE_MS)
        received = await caller.read()
        self.assertEqual(received.events, [(number, "v1") for number in range(1, EVENTS + 1)])
        self.assertTrue(received.complete)
        await stop

    async def test_versions_are_not_joined_after_a_pause_of_the_caller(self) -> None:
        await self.serve("v1", "v2")
        caller = await self.block()
        began = self.find_serving().version
        key = build_stream_key("engines", "slow")
        history = self.harness.store.history
        await wait_until(lambda: any(item.key.startswith(key) for item in history))
        recorded = {item.value for item in history if item.key.startswith(key)}
        self.assertEqual(recorded, {began.encode()})
        await self.time.skip(PAUSE_MS)
        received = await caller.read()
        self.assertEqual(received.events, [(number, began) for number in range(1, EVENTS + 1)])
        origin = self.harness.router.registry.stream_origins.find("slow")
        assert origin is not None
        self.assertEqual(origin.version, began)

    async def test_version_is_known_while_the_caller_does_not_read(self) -> None:
        # Guards against a caller that takes its stream up elsewhere while the first event waits.
        await self.serve("v1", "v2")
        await self.block()
        origin = self.harness.router.registry.stream_origins.find("slow")
        self.assertEqual(origin and origin.version, self.find_serving().version)

    async def test_hedged_stream_goes_on_once_after_a_pause_of_the_caller(self) -> None:
        await self.serve("v1", "v2", policy=POLICY)
        for _ in range(2):
            async with self.harness.call("/gauges/", **PROMPT) as response:
                await response.read()
        for engine in self.engines.values():
            engine.begin.clear()
            engine.written = 0
        caller = StallingCaller(self.harness)
        self.addCleanup(caller.close)
        await caller.send("/gauges/")
        await wait_until(lambda: self.count_requests() == 4)  # both attempts of the call
        for engine in self.engines.values():
            engine.begin.set()
        await caller.wait_until_blocked()
        origin = self.harness.router.registry.stream_origins.find("slow")
        await self.time.skip(PAUSE_MS)
        received = await caller.read()
        assert origin is not None
        expected = [(number, origin.version) for number in range(1, EVENTS + 1)]
        self.assertEqual(received.events, expected)
        self.assertEqual((self.count_requests(), self.list_failures()), (4, [0, 0]))

    async def test_engine_that_is_lost_during_the_pause_is_not_blamed(self) -> None:
        # Engines cut off responses that stay unread; the rest comes from another one, once.
        await self.serve("v1", "v1")
        for engine in self.engines.values():
            engine.stops_after = 2
        caller = await self.block()
        serving = self.find_serving()
        await self.time.skip(PAUSE_MS)
        for engine in self.engines.values():
            engine.stops_after = EVENTS if engine is not serving else 2
        for writer in list(serving._writers):
            reset(writer)
        received = await caller.read()
        self.assertEqual(received.events, [(number, "v1") for number in range(1, EVENTS + 1)])
        self.assertTrue(received.complete)
        self.assertEqual((self.count_requests(), self.list_failures()), (2, [0, 0]))
        self.assertEqual(count_metric(self.harness, "sends", end="unread"), 1)

    async def test_stream_without_framing_that_ends_in_a_pause_is_not_complete(self) -> None:
        # Guards against a cut-off that looks like the end, since only the connection marks it.
        await self.serve("v1", "v1")
        for engine in self.engines.values():
            engine.chunked, engine.stops_after = False, 2
        caller = await self.block()
        serving = self.find_serving()
        await wait_until(lambda: serving.written == 2)
        serving.cut.set()
        await self.time.skip(PAUSE_MS)
        for engine in self.engines.values():
            engine.stops_after = EVENTS
        received = await caller.read()
        self.assertEqual(received.events, [(number, "v1") for number in range(1, EVENTS + 1)])
        self.assertTrue(received.complete)
        self.assertEqual((self.count_requests(), self.list_failures()), (2, [0, 0]))

    async def test_stream_that_cannot_be_resumed_is_cut_without_blame(self) -> None:
        await self.serve("v1")
        caller = await self.block("/quotes/")
        serving = self.find_serving()
        await self.time.skip(PAUSE_MS)
        for writer in list(serving._writers):
            reset(writer)
        received = await caller.read()
        self.assertFalse(received.complete)
        numbers = [number for number, _ in received.events]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertEqual((self.count_requests(), self.list_failures()), (1, [0]))

    async def test_engine_that_is_silent_after_the_pause_is_noticed(self) -> None:
        # Guards against a time limit that stays off once a caller was slow.
        restart = EventTimeout.restart
        await self.serve("v1", "v1")
        for engine in self.engines.values():
            engine.stops_after = 2
        caller = await self.block()
        serving = self.find_serving()
        await self.time.skip(PAUSE_MS)
        for engine in self.engines.values():
            engine.stops_after = EVENTS if engine is not serving else 2
        with patch.object(EventTimeout, "restart", autospec=True, side_effect=restart) as taken:
            reading = asyncio.create_task(caller.read())
            await wait_until(lambda: taken.call_count == 2)  # both events have passed the router
        self.assertEqual(serving.written, 2)
        await self.time.skip(PAUSE_MS)
        received = await reading
        self.assertEqual(received.events, [(number, "v1") for number in range(1, EVENTS + 1)])
        self.assertEqual((self.count_requests(), sorted(self.list_failures())), (2, [0, 1]))

    async def test_caller_that_never_reads_holds_no_engine_after_its_deadline(self) -> None:
        for path in ("/gauges/", "/quotes/"):
            with self.subTest(path=path):
                await self.serve("v1", "v1")
                with patch("boragetiller.gateway.call_telemetry.log_event") as log:
                    caller = await self.block(path)
                    await self.time.skip(DEADLINE_MS)
                    await wait_until(self.count_closed)
                    received = await caller.read()
                self.assertFalse(received.complete)
                self.assertLess(len(received.events), EVENTS)
                self.assertEqual((self.count_requests(), self.list_failures()), (1, [0, 0]))
                names = [call.args[0].name for call in log.call_args_list]
                self.assertIn("CALLER_NOT_READING", names)
                self.assertEqual(count_metric(self.harness, "sends", end="unread"), 1)

    async def test_caller_that_leaves_during_the_pause_frees_its_engine(self) -> None:
        await self.serve("v1", "v1")
        caller = await self.block()
        await self.time.skip(PAUSE_MS)
        caller.close()
        await wait_until(self.count_closed)
        await wait_until(lambda: not self.harness.router.call_handler.in_progress)
        self.assertEqual((self.count_requests(), self.list_failures()), (1, [0, 0]))

    async def test_response_that_waits_for_room_is_no_failure_of_its_server(self) -> None:
        # Guards against servers that are ejected because the router has no memory left.
        await self.serve("v1", service="shop")
        budget = self.harness.router.budget
        with patch.object(budget, "_try_reserve", lambda _, size: not size):
            call = asyncio.create_task(self.call_reserve())
            await wait_until(lambda: budget._waiting)
            await self.time.skip(DEADLINE_MS)
            self.assertEqual(await call, 504)
        self.assertEqual((self.count_requests(), self.list_failures()), (1, [0]))
        self.assertEqual(count_metric(self.harness, "sends", end="no_memory"), 1)

    async def call_reserve(self) -> int:
        """:return: status of a buffered response"""
        deadline = {"X_Boragetiller_Deadline_Ms": str(DEADLINE_MS)}
        async with self.harness.call("/reserve/", **deadline) as response:
            await response.read()
            return response.status

    async def test_complete_response_that_is_never_read_does_not_stay(self) -> None:
        # Guards against memory and a connection that are held for as long as the caller likes.
        await self.serve("v1", service="shop")
        await self.block("/reserve/")
        for _ in range(3):  # until the first check, and from one to the next
            await self.time.skip(DEADLINE_MS)
        budget = self.harness.router.budget
        await wait_until(lambda: not (budget.connections or budget.held_bytes))
        self.assertEqual(count_metric(self.harness, "caller_limits_met", limit="unread_timeout"), 1)
        self.assertEqual((self.count_requests(), self.list_failures()), (1, [0]))

    async def test_slow_caller_is_served_where_the_kernel_does_not_tell_its_queue(self) -> None:
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        ioctl = "boragetiller.caller_limits.unread_watch.fcntl.ioctl"
        with patch(ioctl, side_effect=OSError("not supported")):
            await self.serve("v1", service="shop")
            caller = await self.block("/reserve/")
            for _ in range(3):
                await self.time.skip(DEADLINE_MS)
            received = await caller.read()
        self.assertGreater(len(received.raw), EVENT_BYTES)
        self.assertEqual(errors, [])

    async def test_complete_response_that_is_read_slowly_is_read_to_its_end(self) -> None:
        await self.serve("v1", service="shop")
        caller = await self.block("/reserve/")
        taken = 0
        while self.harness.router.budget.held_bytes and taken < EVENT_BYTES:
            taken += await caller.take(2 * SOCKET_BUFFER_BYTES)
            await asyncio.sleep(0.01)  # the kernels pass on what there is room for
            await self.time.skip(DEADLINE_MS)
        received = await caller.read()
        self.assertGreater(taken + len(received.raw), EVENT_BYTES)


if __name__ == "__main__":
    unittest.main()
