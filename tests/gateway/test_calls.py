"""Buffered calls through a router, with backend servers that fail."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import aiohttp

from boragetiller.gateway.listening_socket import open_listening_socket
from boragetiller.gateway.settings import Endpoint
from tests.gateway.harness import KEY, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, build_response, reset

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script


async def respond_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(build_response(request.request_id))


async def respond_with_error(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(build_response(request.request_id, b"broken", status="500 Error"))


async def refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    extra = "X-Boragetiller-Not-Executed: 1\r\n"
    writer.write(build_response(request.request_id, status="503 Full", seal="", extra=extra))


async def reset_after_run(_request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def never_respond(_request: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
    """Accept the request and never respond."""


class BufferedCallTest(unittest.IsolatedAsyncioTestCase):
    """Each test scripts the backend servers of a plain service."""

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

    def count_runs(self) -> int:
        return sum(len(engine.requests) for engine in self.engines.values())

    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        harness = await self.serve(a=respond_ok)
        async with harness.call(
            "/stock/x/../y%2F?q=%20a", body=b"body", X_Other="kept"
        ) as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["X-Boragetiller-Response-Seal"], "seal")
            self.assertEqual(await response.read(), b"ok")
        sent_request = self.engines["a"].requests[0]
        self.assertEqual(
            (sent_request.method, sent_request.path), ("POST", "/stock/x/../y%2F?q=%20a")
        )
        self.assertEqual(sent_request.body, b"body")
        self.assertEqual(sent_request.headers["x-other"], "kept")
        self.assertEqual(sent_request.headers["x-boragetiller-expect-instance"], "a")
        self.assertEqual(sent_request.headers["x-boragetiller-tenant"], "north")
        self.assertNotIn("authorization", sent_request.headers)
        self.assertNotIn("accept-encoding", set(sent_request.headers) - {"accept-encoding"})
        self.assertLessEqual(int(sent_request.headers["x-boragetiller-deadline-ms"]), 4_000)

    async def test_internal_headers_of_callers_are_not_forwarded(self) -> None:
        harness = await self.serve(a=respond_ok)
        forged = {
            "X_Boragetiller_Tenant": "south",
            "X_Boragetiller_Hold": "h",
            "X_Boragetiller_Pin_Ms": "5",
            "Kv_From": "1.2.3.4:5/x",
            "X_Boragetiller_Expect_Instance": "other",
        }
        async with harness.call("/stock/", **forged) as response:
            self.assertEqual(response.status, 200)
        sent_headers = self.engines["a"].requests[0].headers
        self.assertEqual(sent_headers["x-boragetiller-tenant"], "north")
        self.assertEqual(sent_headers["x-boragetiller-expect-instance"], "a")
        for name in ("x-boragetiller-hold", "x-boragetiller-pin-ms", "kv-from"):
            self.assertNotIn(name, sent_headers)

    async def test_connection_is_reused(self) -> None:
        harness = await self.serve(a=respond_ok)
        for _ in range(5):
            async with harness.call("/reserve/") as response:
                await response.read()
        self.assertEqual(self.engines["a"].connections, 1)

    async def test_unknown_key_and_route_are_refused_without_execution(self) -> None:
        harness = await self.serve(a=respond_ok)
        async with harness.call("/stock/", Authorization="Token other") as response:
            self.assertEqual(response.status, 401)
        async with harness.call("/nowhere/") as response:
            self.assertEqual(response.status, 404)
        self.assertEqual(self.count_runs(), 0)

    async def test_idempotent_call_is_retried_after_an_error(self) -> None:
        harness = await self.serve(a=respond_with_error, b=respond_ok)
        for _ in range(4):
            async with harness.call("/stock/", method="GET") as response:
                self.assertEqual(response.status, 200)

    async def test_error_of_all_servers_is_forwarded_unchanged(self) -> None:
        harness = await self.serve(a=respond_with_error, b=respond_with_error)
        async with harness.call("/stock/", method="GET") as response:
            self.assertEqual((response.status, await response.read()), (500, b"broken"))
            self.assertEqual(response.headers["X-Boragetiller-Response-Seal"], "seal")
        self.assertEqual(self.count_runs(), 2)

    async def test_retry_by_the_caller_avoids_servers_that_failed_the_call(self) -> None:
        harness = await self.serve(a=respond_with_error, b=respond_with_error, c=respond_ok)
        self.engines["c"].script = refuse  # so that the first attempts fail at the two others
        for number in range(4):
            self.assertEqual(await _get_status(harness, f"/stock/{number}"), 500)
        self.engines["c"].script = respond_ok
        before = self.count_runs()
        for number in range(4):
            self.assertEqual(await _get_status(harness, f"/stock/{number}"), 200)
        self.assertEqual(self.count_runs() - before, 4)

    async def test_call_that_crashed_two_servers_is_quarantined(self) -> None:
        async def crash(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if request.path != "/stock/poison":
                writer.write(build_response(request.request_id))
                return
            reset(writer)
            for engine in self.engines.values():
                if engine.requests and engine.requests[-1] is request:
                    await engine.close()

        harness = await self.serve(a=crash, b=crash, c=crash, d=crash)
        self.assertEqual(await _get_status(harness, "/stock/poison"), 502)
        self.assertEqual(self.count_runs(), 2)
        for name in [name for name, engine in self.engines.items() if engine.requests]:
            harness.store.remove(f"servers/{name}")
        await wait_until(lambda: len(harness.router.registry.servers.by_name) == 2)
        async with harness.call("/stock/poison") as response:
            self.assertEqual(response.status, 503)
            self.assertIn(b"quarantined", await response.read())
        self.assertEqual(self.count_runs(), 2)
        self.assertEqual(await _get_status(harness, "/stock/other"), 200)

    async def test_non_idempotent_call_is_not_retried_after_a_reset(self) -> None:
        harness = await self.serve(a=reset_after_run, b=reset_after_run)
        async with harness.call("/reserve/") as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.count_runs(), 1)

    async def test_non_idempotent_get_is_not_retried_by_aiohttp(self) -> None:
        harness = await self.serve(a=respond_ok)
        async with harness.call("/reserve/", method="GET") as response:
            await response.read()
        self.engines["a"].script = reset_after_run
        async with harness.call("/reserve/", method="GET") as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.count_runs(), 2)

    async def test_non_idempotent_call_is_retried_after_a_refusal(self) -> None:
        harness = await self.serve(a=refuse, b=respond_ok)
        for _ in range(3):
            async with harness.call("/reserve/") as response:
                self.assertEqual(response.status, 200)

    async def test_non_idempotent_call_refused_by_all_servers_gets_503(self) -> None:
        harness = await self.serve(a=refuse, b=refuse)
        async with harness.call("/reserve/") as response:
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["Retry-After"]), 0)

    async def test_unreachable_server_is_skipped(self) -> None:
        harness = await self.serve(a=respond_ok, b=respond_ok)
        await self.engines["b"].close()
        for _ in range(4):
            async with harness.call("/reserve/") as response:
                self.assertEqual(response.status, 200)

    async def test_idempotent_call_without_response_is_hedged(self) -> None:
        harness = await self.serve(a=never_respond, b=never_respond)
        call = asyncio.create_task(_get_status(harness, "/stock/"))
        await wait_until(lambda: self.count_runs() == 1)
        for engine in self.engines.values():
            engine.script = respond_ok
        self.assertEqual(await call, 200)
        self.assertEqual(self.count_runs(), 2)

    async def test_non_idempotent_call_without_response_runs_once(self) -> None:
        harness = await self.serve(a=never_respond, b=never_respond)
        status = await _get_status(harness, "/reserve/", X_Boragetiller_Deadline_Ms="600")
        self.assertEqual(status, 504)
        self.assertEqual(self.count_runs(), 1)

    async def test_response_without_seal_gets_502(self) -> None:
        async def respond_without_seal(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_response(request.request_id, seal=""))

        harness = await self.serve(a=respond_without_seal)
        self.assertEqual(await _get_status(harness, "/reserve/"), 502)

    async def test_truncated_body_gets_502(self) -> None:
        async def respond_truncated(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(build_response(request.request_id, b"whole body")[:-4])
            writer.transport.close()

        harness = await self.serve(a=respond_truncated)
        self.assertEqual(await _get_status(harness, "/reserve/"), 502)

    async def test_reset_in_a_body_without_length_gets_502(self) -> None:
        async def respond_and_reset(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = build_response(request.request_id, b"").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + b"half of it")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        harness = await self.serve(a=respond_and_reset)
        self.assertEqual(await _get_status(harness, "/reserve/"), 502)

    async def test_body_without_length_ends_with_its_connection(self) -> None:
        async def respond_without_length(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            head = build_response(request.request_id, b"").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + b"all of it")
            await writer.drain()
            writer.transport.close()

        harness = await self.serve(a=respond_without_length)
        async with harness.call("/reserve/") as response:
            self.assertEqual((response.status, await response.read()), (200, b"all of it"))

    async def test_response_to_an_earlier_call_is_skipped(self) -> None:
        async def respond_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if len(self.engines["a"].requests) > 1:
                writer.write(build_response("id-1", b"late"))
            writer.write(build_response(request.request_id, b"own"))

        harness = await self.serve(a=respond_twice)
        for _ in range(3):
            async with harness.call("/reserve/") as response:
                self.assertEqual((response.status, await response.read()), (200, b"own"))

    async def test_unsolicited_response_on_an_idle_connection_is_discarded(self) -> None:
        async def respond_with_extra_bytes(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(build_response(request.request_id, b"own"))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

        harness = await self.serve(a=respond_with_extra_bytes)
        for _ in range(3):
            async with harness.call("/reserve/") as response:
                self.assertEqual((response.status, await response.read()), (200, b"own"))
            await asyncio.sleep(0.05)

    async def test_retry_forwards_the_remaining_deadline(self) -> None:
        async def fail_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.12)
            await respond_with_error(request, writer)

        harness = await self.serve(a=fail_slowly, b=fail_slowly)
        await _get_status(harness, "/stock/")
        requests = [engine.requests[0] for engine in self.engines.values()]
        deadlines = sorted(int(each.headers["x-boragetiller-deadline-ms"]) for each in requests)
        self.assertGreaterEqual(deadlines[1] - deadlines[0], 100)
        self.assertLessEqual(deadlines[1], 4_000)

    async def test_misdirected_non_idempotent_call_is_retried(self) -> None:
        async def respond_misdirected(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            extra = "X-Boragetiller-Instance-Id: other\r\n"
            writer.write(
                build_response(request.request_id, status="421 Misdirected", seal="", extra=extra)
            )

        harness = await self.serve(a=respond_misdirected, b=respond_ok)
        for _ in range(3):
            self.assertEqual(await _get_status(harness, "/reserve/"), 200)
        self.assertEqual(len(self.engines["b"].requests), 3)

    async def test_request_body_is_sent_completely_after_an_early_response(self) -> None:
        body = b"x" * 60_000
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head)
                request_id = head.lower().split(b"x-boragetiller-attempt-id: ")[1].split(b"\r\n")[0]
                writer.write(build_response(request_id.decode(), status="413 Too Large"))
                await asyncio.sleep(0.05)  # responds before it reads the body
                received.append(await reader.readexactly(len(body)))

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=2_000)
        self.addCleanup(server.close)
        harness = await self.serve()
        engine = ScriptedEngine(respond_ok)
        engine.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        harness.store.register("early", engine, "shop")
        await wait_until(lambda: harness.router.registry.servers.find_accepting("shop").servers)
        for _ in range(2):
            async with harness.call("/reserve/", body=body) as response:
                self.assertEqual(response.status, 413)
        await wait_until(lambda: len(received) == 4)
        self.assertEqual([received[1], received[3]], [body, body])

    async def test_disconnect_of_the_caller_cancels_the_call(self) -> None:
        harness = await self.serve(a=never_respond)
        call = asyncio.create_task(_get_status(harness, "/reserve/"))
        await wait_until(lambda: self.count_runs() == 1)
        call.cancel()
        await wait_until(lambda: self.engines["a"].closed_connections == 1)
        server = harness.router.registry.servers.by_name["a"]
        await wait_until(lambda: server.in_flight == 0)

    async def test_route_timeout_precedes_the_deadline(self) -> None:
        harness = await self.serve(a=never_respond)
        routes = build_config()["routes"]
        for route in routes:
            route["timeout-ms"] = 200
        harness.store.put("op/config", build_config(2, routes=routes))
        await wait_until(lambda: harness.router.registry.config.version == 2)
        async with asyncio.timeout(2):
            self.assertEqual(await _get_status(harness, "/reserve/"), 504)

    async def test_body_over_the_limit_is_refused(self) -> None:
        harness = await self.serve(a=respond_ok)
        async with harness.call("/stock/", body=b"x" * 70_000) as response:
            self.assertEqual(response.status, 413)
        self.assertEqual(self.count_runs(), 0)

    async def test_headers_over_the_limit_are_refused(self) -> None:
        harness = await self.serve(a=respond_ok)
        fields = {f"X_Field_{number}": "x" * 4_000 for number in range(5)}
        self.assertEqual(await _get_status(harness, "/stock/", **fields), 431)
        self.assertEqual(self.count_runs(), 0)

    async def start_with_limits(self, **limits: int) -> RouterHarness:
        harness = await self.serve(a=respond_ok)
        named = {name.replace("_", "-"): value for name, value in limits.items()}
        harness.store.put("op/config", build_config(2, limits=build_config()["limits"] | named))
        await wait_until(lambda: harness.router.registry.config.version == 2)
        return harness

    async def test_slow_header_gets_408(self) -> None:
        harness = await self.start_with_limits(header_timeout_ms=100)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.router.caller_listener.port
        )
        await asyncio.sleep(0.02)
        writer.write(b"GET /stock/ HTTP/1.1\r\nHost: shop.exa")
        async with asyncio.timeout(5):
            response = await reader.read()
        self.assertIn(b" 408 ", response)
        writer.transport.abort()
        self.assertEqual(self.count_runs(), 0)

    async def test_header_timeout_does_not_apply_to_the_response(self) -> None:
        async def respond_later(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            writer.write(build_response(request.request_id))

        harness = await self.start_with_limits(header_timeout_ms=100, idle_timeout_ms=150)
        self.engines["a"].script = respond_later
        self.assertEqual(await _get_status(harness, "/reserve/"), 200)

    async def test_idle_connection_is_closed(self) -> None:
        harness = await self.start_with_limits(idle_timeout_ms=100)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.router.caller_listener.port
        )
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
        writer.transport.abort()

    async def test_call_without_an_id_is_refused(self) -> None:
        harness = await self.serve(a=respond_ok)
        async with harness.call("/stock/", X_Boragetiller_Attempt_Id="") as response:
            self.assertEqual(response.status, 400)

    async def test_smuggled_request_is_refused(self) -> None:
        harness = await self.serve(a=respond_ok)
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
        self.assertEqual(self.count_runs(), 0)


async def _get_status(harness: RouterHarness, path: str, **headers: str) -> int:
    async with harness.call(path, **headers) as response:
        await response.read()
        return response.status


class StartAndStopTest(unittest.IsolatedAsyncioTestCase):
    """Responses and readiness during start and stop of a process."""

    async def test_router_without_configuration_is_not_ready(self) -> None:
        harness = RouterHarness()
        harness.store.remove("op/config")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        async with harness.call("/stock/") as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(await _get_readiness_status(harness), 503)
        harness.store.put("op/config", build_config(3))
        await wait_until(lambda: harness.router.registry.config)
        await wait_until(lambda: harness.router.registry.servers_listed)
        self.assertEqual(await _get_readiness_status(harness), 200)

    async def test_call_sent_before_the_start_is_served(self) -> None:
        listening_socket = open_listening_socket(Endpoint("127.0.0.1", 0))
        harness = RouterHarness(listening_socket=listening_socket)
        engine = ScriptedEngine(respond_ok)
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

    async def test_graceful_stop_drains_calls_and_refuses_new_ones(self) -> None:
        release = asyncio.Event()

        async def respond_later(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(build_response(request.request_id))

        harness = RouterHarness(refuse_after_ms=150, grace_ms=3_000)
        engine = ScriptedEngine(respond_later)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness.store.register("a", engine, "shop")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        first = asyncio.create_task(_get_status(harness, "/reserve/"))
        await wait_until(lambda: len(engine.requests) == 1)
        stop = asyncio.create_task(harness.router.close())
        await asyncio.sleep(0.01)
        self.assertEqual(await _get_readiness_status(harness), 503)
        second = asyncio.create_task(_get_status(harness, "/reserve/"))  # within refuse_after_ms
        await wait_until(lambda: len(engine.requests) == 2)
        await wait_until(lambda: harness.router.call_handler.refusing)
        self.assertEqual(await _get_status(harness, "/reserve/"), 503)
        release.set()
        self.assertEqual((await first, await second), (200, 200))
        await stop


async def _get_readiness_status(harness: RouterHarness) -> int:
    url = f"http://127.0.0.1:{harness.router.readiness_listener.port}/ready"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.status


if __name__ == "__main__":
    unittest.main()
