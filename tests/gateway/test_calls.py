"""Whole answers through a router, with backend servers that fail."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import aiohttp

from boragetiller.gateway.listening_socket import open_listening_socket
from boragetiller.gateway.settings import Endpoint
from tests.gateway.harness import KEY, RouterHarness, config, wait_until
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, answer, reset

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script


async def answer_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request.request_id))


async def answer_error(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(request.request_id, b"broken", status="500 Error"))


async def refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    extra = "X-Boragetiller-Not-Executed: 1\r\n"
    writer.write(answer(request.request_id, status="503 Full", seal="", extra=extra))


async def run_and_reset(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def say_nothing(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
    """Run the request and lose the answer."""


class WholeCallTest(unittest.IsolatedAsyncioTestCase):
    """Each test scripts the servers of the plain service."""

    async def serve(self, **scripts: Script) -> RouterHarness:
        harness = RouterHarness()
        self.engines = {name: ScriptedEngine(script) for name, script in scripts.items()}
        for name, engine in self.engines.items():
            await engine.start()
            self.addAsyncCleanup(engine.close)
            harness.store.register(name, engine, "shop")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    def runs(self) -> int:
        return sum(len(engine.requests) for engine in self.engines.values())

    async def test_call_passes_both_ways_unchanged(self) -> None:
        harness = await self.serve(a=answer_ok)
        async with harness.call("/stock/x/../y%2F?q=%20a", body=b"body", X_Other="kept") as got:
            self.assertEqual(got.status, 200)
            self.assertEqual(got.headers["X-Boragetiller-Response-Seal"], "seal")
            self.assertEqual(await got.read(), b"ok")
        seen = self.engines["a"].requests[0]
        self.assertEqual((seen.method, seen.path), ("POST", "/stock/x/../y%2F?q=%20a"))
        self.assertEqual(seen.body, b"body")
        self.assertEqual(seen.headers["x-other"], "kept")
        self.assertEqual(seen.headers["x-boragetiller-expect-instance"], "a")
        self.assertEqual(seen.headers["x-boragetiller-tenant"], "north")
        self.assertNotIn("authorization", seen.headers)
        self.assertNotIn("accept-encoding", set(seen.headers) - {"accept-encoding"})
        self.assertLessEqual(int(seen.headers["x-boragetiller-deadline-ms"]), 4_000)

    async def test_headers_of_the_system_do_not_pass(self) -> None:
        harness = await self.serve(a=answer_ok)
        forged = {
            "X_Boragetiller_Tenant": "south",
            "X_Boragetiller_Hold": "h",
            "X_Boragetiller_Pin_Ms": "5",
            "Kv_From": "1.2.3.4:5/x",
            "X_Boragetiller_Expect_Instance": "other",
        }
        async with harness.call("/stock/", **forged) as got:
            self.assertEqual(got.status, 200)
        seen = self.engines["a"].requests[0].headers
        self.assertEqual(seen["x-boragetiller-tenant"], "north")
        self.assertEqual(seen["x-boragetiller-expect-instance"], "a")
        for name in ("x-boragetiller-hold", "x-boragetiller-pin-ms", "kv-from"):
            self.assertNotIn(name, seen)

    async def test_connection_is_used_again(self) -> None:
        harness = await self.serve(a=answer_ok)
        for _ in range(5):
            async with harness.call("/reserve/") as got:
                await got.read()
        self.assertEqual(self.engines["a"].connections, 1)

    async def test_unknown_key_and_route_are_refused_without_a_run(self) -> None:
        harness = await self.serve(a=answer_ok)
        async with harness.call("/stock/", Authorization="Token other") as got:
            self.assertEqual(got.status, 401)
        async with harness.call("/nowhere/") as got:
            self.assertEqual(got.status, 404)
        self.assertEqual(self.runs(), 0)

    async def test_idempotent_call_goes_on_after_an_error(self) -> None:
        harness = await self.serve(a=answer_error, b=answer_ok)
        for _ in range(4):
            async with harness.call("/stock/", method="GET") as got:
                self.assertEqual(got.status, 200)

    async def test_error_of_all_servers_is_passed_on_as_it_was(self) -> None:
        harness = await self.serve(a=answer_error, b=answer_error)
        async with harness.call("/stock/", method="GET") as got:
            self.assertEqual((got.status, await got.read()), (500, b"broken"))
            self.assertEqual(got.headers["X-Boragetiller-Response-Seal"], "seal")
        self.assertEqual(self.runs(), 2)

    async def test_next_try_of_a_failed_call_begins_where_nothing_has_failed(self) -> None:
        harness = await self.serve(a=answer_error, b=answer_error, c=answer_ok)
        self.engines["c"].script = refuse  # the first tries end at the two others
        for number in range(4):
            self.assertEqual(await _status(harness, f"/stock/{number}"), 500)
        self.engines["c"].script = answer_ok
        before = self.runs()
        for number in range(4):
            self.assertEqual(await _status(harness, f"/stock/{number}"), 200)
        self.assertEqual(self.runs() - before, 4)

    async def test_call_that_crashed_two_servers_is_refused_without_a_run(self) -> None:
        async def crash(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if request.path != "/stock/poison":
                writer.write(answer(request.request_id))
                return
            reset(writer)
            for engine in self.engines.values():
                if engine.requests and engine.requests[-1] is request:
                    await engine.close()

        harness = await self.serve(a=crash, b=crash, c=crash, d=crash)
        self.assertEqual(await _status(harness, "/stock/poison"), 502)
        self.assertEqual(self.runs(), 2)
        for name in [name for name, engine in self.engines.items() if engine.requests]:
            harness.store.remove(f"servers/{name}")
        await wait_until(lambda: len(harness.router.registry.servers.by_name) == 2)
        async with harness.call("/stock/poison") as got:
            self.assertEqual(got.status, 503)
            self.assertIn(b"quarantined", await got.read())
        self.assertEqual(self.runs(), 2)
        self.assertEqual(await _status(harness, "/stock/other"), 200)

    async def test_reset_ends_a_reservation_without_a_promise(self) -> None:
        harness = await self.serve(a=run_and_reset, b=run_and_reset)
        async with harness.call("/reserve/") as got:
            self.assertEqual(got.status, 502)
        self.assertEqual(self.runs(), 1)

    async def test_get_of_a_reservation_is_not_sent_again_by_the_library(self) -> None:
        harness = await self.serve(a=answer_ok)
        async with harness.call("/reserve/", method="GET") as got:
            await got.read()
        self.engines["a"].script = run_and_reset
        async with harness.call("/reserve/", method="GET") as got:
            self.assertEqual(got.status, 502)
        self.assertEqual(self.runs(), 2)

    async def test_refused_reservation_goes_elsewhere(self) -> None:
        harness = await self.serve(a=refuse, b=answer_ok)
        for _ in range(3):
            async with harness.call("/reserve/") as got:
                self.assertEqual(got.status, 200)

    async def test_reservation_refused_by_all_is_told_not_run(self) -> None:
        harness = await self.serve(a=refuse, b=refuse)
        async with harness.call("/reserve/") as got:
            self.assertEqual(got.status, 503)
            self.assertGreater(float(got.headers["Retry-After"]), 0)

    async def test_unreachable_server_is_passed_over(self) -> None:
        harness = await self.serve(a=answer_ok, b=answer_ok)
        await self.engines["b"].close()
        for _ in range(4):
            async with harness.call("/reserve/") as got:
                self.assertEqual(got.status, 200)

    async def test_lost_answer_of_an_idempotent_call_is_asked_for_elsewhere(self) -> None:
        harness = await self.serve(a=say_nothing, b=say_nothing)
        call = asyncio.create_task(_status(harness, "/stock/"))
        await wait_until(lambda: self.runs() == 1)
        for engine in self.engines.values():
            engine.script = answer_ok
        self.assertEqual(await call, 200)
        self.assertEqual(self.runs(), 2)

    async def test_lost_answer_of_a_reservation_is_waited_for(self) -> None:
        harness = await self.serve(a=say_nothing, b=say_nothing)
        status = await _status(harness, "/reserve/", X_Boragetiller_Deadline_Ms="600")
        self.assertEqual(status, 504)
        self.assertEqual(self.runs(), 1)

    async def test_answer_without_receipt_is_no_success(self) -> None:
        async def answer_unsealed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request.request_id, seal=""))

        harness = await self.serve(a=answer_unsealed)
        self.assertEqual(await _status(harness, "/reserve/"), 502)

    async def test_short_body_is_no_success(self) -> None:
        async def answer_short(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request.request_id, b"whole body")[:-4])
            writer.transport.close()

        harness = await self.serve(a=answer_short)
        self.assertEqual(await _status(harness, "/reserve/"), 502)

    async def test_reset_does_not_end_a_body_without_a_length(self) -> None:
        async def answer_cut(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = answer(request.request_id, b"").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + b"half of it")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        harness = await self.serve(a=answer_cut)
        self.assertEqual(await _status(harness, "/reserve/"), 502)

    async def test_body_without_a_length_ends_with_its_connection(self) -> None:
        async def answer_unframed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = answer(request.request_id, b"").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + b"all of it")
            await writer.drain()
            writer.transport.close()

        harness = await self.serve(a=answer_unframed)
        async with harness.call("/reserve/") as got:
            self.assertEqual((got.status, await got.read()), (200, b"all of it"))

    async def test_answer_to_an_earlier_call_is_passed_over(self) -> None:
        async def answer_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if len(self.engines["a"].requests) > 1:
                writer.write(answer("id-1", b"late"))
            writer.write(answer(request.request_id, b"own"))

        harness = await self.serve(a=answer_twice)
        for _ in range(3):
            async with harness.call("/reserve/") as got:
                self.assertEqual((got.status, await got.read()), (200, b"own"))

    async def test_stray_bytes_on_an_idle_connection_reach_nobody(self) -> None:
        async def answer_more(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request.request_id, b"own"))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

        harness = await self.serve(a=answer_more)
        for _ in range(3):
            async with harness.call("/reserve/") as got:
                self.assertEqual((got.status, await got.read()), (200, b"own"))
            await asyncio.sleep(0.05)

    async def test_repeat_tells_the_server_only_the_time_that_is_left(self) -> None:
        async def fail_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.12)
            await answer_error(request, writer)

        harness = await self.serve(a=fail_slowly, b=fail_slowly)
        await _status(harness, "/stock/")
        requests = [engine.requests[0] for engine in self.engines.values()]
        told = sorted(int(each.headers["x-boragetiller-deadline-ms"]) for each in requests)
        self.assertGreaterEqual(told[1] - told[0], 100)
        self.assertLessEqual(told[1], 4_000)

    async def test_misdirected_reservation_goes_elsewhere(self) -> None:
        async def answer_misdirected(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer(request.request_id, status="421 Misdirected", seal=""))

        harness = await self.serve(a=answer_misdirected, b=answer_ok)
        for _ in range(3):
            self.assertEqual(await _status(harness, "/reserve/"), 200)
        self.assertEqual(len(self.engines["b"].requests), 3)

    async def test_rest_of_a_body_comes_before_the_next_call_on_its_connection(self) -> None:
        body = b"x" * 60_000
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head)
                request_id = head.lower().split(b"x-boragetiller-attempt-id: ")[1].split(b"\r\n")[0]
                writer.write(answer(request_id.decode(), status="413 Too Large"))
                await asyncio.sleep(0.05)  # answers before it reads the body
                received.append(await reader.readexactly(len(body)))

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=2_000)
        self.addCleanup(server.close)
        harness = await self.serve()
        engine = ScriptedEngine(answer_ok)
        engine.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        harness.store.register("early", engine, "shop")
        await wait_until(lambda: harness.router.registry.servers.accepting("shop").servers)
        for _ in range(2):
            async with harness.call("/reserve/", body=body) as got:
                self.assertEqual(got.status, 413)
        await wait_until(lambda: len(received) == 4)
        self.assertEqual([received[1], received[3]], [body, body])

    async def test_caller_that_leaves_frees_the_server(self) -> None:
        harness = await self.serve(a=say_nothing)
        call = asyncio.create_task(_status(harness, "/reserve/"))
        await wait_until(lambda: self.runs() == 1)
        call.cancel()
        await wait_until(lambda: self.engines["a"].ended == 1)
        server = harness.router.registry.servers.by_name["a"]
        await wait_until(lambda: server.in_flight == 0)

    async def test_timeout_of_the_route_goes_before_the_deadline(self) -> None:
        harness = await self.serve(a=say_nothing)
        routes = config()["routes"]
        for route in routes:
            route["timeout-ms"] = 200
        harness.store.put("op/config", config(2, routes=routes))
        await wait_until(lambda: harness.router.registry.config.version == 2)
        async with asyncio.timeout(2):
            self.assertEqual(await _status(harness, "/reserve/"), 504)

    async def test_body_over_the_limit_is_refused(self) -> None:
        harness = await self.serve(a=answer_ok)
        async with harness.call("/stock/", body=b"x" * 70_000) as got:
            self.assertEqual(got.status, 413)
        self.assertEqual(self.runs(), 0)

    async def test_headers_over_the_limit_are_refused(self) -> None:
        harness = await self.serve(a=answer_ok)
        fields = {f"X_Field_{number}": "x" * 4_000 for number in range(5)}
        self.assertEqual(await _status(harness, "/stock/", **fields), 431)
        self.assertEqual(self.runs(), 0)

    async def with_limits(self, **limits: int) -> RouterHarness:
        harness = await self.serve(a=answer_ok)
        named = {name.replace("_", "-"): value for name, value in limits.items()}
        harness.store.put("op/config", config(2, limits=config()["limits"] | named))
        await wait_until(lambda: harness.router.registry.config.version == 2)
        return harness

    async def test_head_that_does_not_end_in_time_is_refused(self) -> None:
        harness = await self.with_limits(header_timeout_ms=100)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.router.caller_listener.port
        )
        await asyncio.sleep(0.02)
        writer.write(b"GET /stock/ HTTP/1.1\r\nHost: shop.exa")
        async with asyncio.timeout(5):
            answered = await reader.read()
        self.assertIn(b" 408 ", answered)
        writer.transport.abort()
        self.assertEqual(self.runs(), 0)

    async def test_slow_answer_is_no_slow_head(self) -> None:
        async def answer_later(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            writer.write(answer(request.request_id))

        harness = await self.with_limits(header_timeout_ms=100, idle_timeout_ms=150)
        self.engines["a"].script = answer_later
        self.assertEqual(await _status(harness, "/reserve/"), 200)

    async def test_idle_connection_is_closed_after_the_limit(self) -> None:
        harness = await self.with_limits(idle_timeout_ms=100)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.router.caller_listener.port
        )
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
        writer.transport.abort()

    async def test_call_without_an_id_is_refused(self) -> None:
        harness = await self.serve(a=answer_ok)
        async with harness.call("/stock/", X_Boragetiller_Attempt_Id="") as got:
            self.assertEqual(got.status, 400)

    async def test_smuggled_request_is_refused(self) -> None:
        harness = await self.serve(a=answer_ok)
        port = harness.router.caller_listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            b"POST /stock/ HTTP/1.1\r\nHost: shop.example\r\nX-Boragetiller-Attempt-Id: s\r\n"
            + f"Authorization: Token {KEY}\r\n".encode()
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"0\r\n\r\nGET /stock/ HTTP/1.1\r\n\r\n"
        )
        self.assertIn(b" 400 ", await reader.readline())
        writer.transport.abort()
        self.assertEqual(self.runs(), 0)


async def _status(harness: RouterHarness, path: str, **headers: str) -> int:
    async with harness.call(path, **headers) as got:
        await got.read()
        return got.status


class StartAndStopTest(unittest.IsolatedAsyncioTestCase):
    """What callers and the balancer are told around the life of a process."""

    async def test_router_without_configuration_refuses_and_is_not_ready(self) -> None:
        harness = RouterHarness()
        harness.store.remove("op/config")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        async with harness.call("/stock/") as got:
            self.assertEqual(got.status, 503)
        self.assertEqual(await _ready(harness), 503)
        harness.store.put("op/config", config(3))
        await wait_until(lambda: harness.router.registry.config)
        await wait_until(lambda: harness.router.registry.servers_listed)
        self.assertEqual(await _ready(harness), 200)

    async def test_call_sent_before_the_router_is_loaded_is_answered(self) -> None:
        listening_socket = open_listening_socket(Endpoint("127.0.0.1", 0))
        harness = RouterHarness(listening_socket=listening_socket)
        engine = ScriptedEngine(answer_ok)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness.store.register("a", engine, "shop")
        reader, writer = await asyncio.open_connection(*listening_socket.getsockname())
        writer.write(
            b"GET /stock/ HTTP/1.1\r\nHost: shop.example\r\nX-Boragetiller-Attempt-Id: early\r\n"
            + f"Authorization: Token {KEY}\r\n\r\n".encode()
        )
        await writer.drain()
        await harness.start()
        self.addAsyncCleanup(harness.close)
        self.assertIn(b" 200 ", await reader.readline())
        writer.transport.abort()

    async def test_stop_answers_what_is_on_its_way_and_refuses_the_rest(self) -> None:
        release = asyncio.Event()

        async def answer_later(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer(request.request_id))

        harness = RouterHarness(refuse_after_ms=150, grace_ms=3_000)
        engine = ScriptedEngine(answer_later)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness.store.register("a", engine, "shop")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        first = asyncio.create_task(_status(harness, "/reserve/"))
        await wait_until(lambda: len(engine.requests) == 1)
        stop = asyncio.create_task(harness.router.close())
        await asyncio.sleep(0.01)
        self.assertEqual(await _ready(harness), 503)
        second = asyncio.create_task(_status(harness, "/reserve/"))  # within refuse_after_ms
        await wait_until(lambda: len(engine.requests) == 2)
        await wait_until(lambda: harness.router.call_handler.refusing)
        self.assertEqual(await _status(harness, "/reserve/"), 503)
        release.set()
        self.assertEqual((await first, await second), (200, 200))
        await stop


async def _ready(harness: RouterHarness) -> int:
    url = f"http://127.0.0.1:{harness.router.readiness_listener.port}/ready"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        return got.status


if __name__ == "__main__":
    unittest.main()
