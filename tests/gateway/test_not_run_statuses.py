"""Statuses that tell a caller that its request was not run, beside engines that send them too."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import aiohttp

from boragetiller.errors import Draining, RequestTimeout
from boragetiller.gateway.attempt_recorder import AttemptRecorder
from boragetiller.gateway.retry_after import SERVICE_RETRY_AFTER_S
from boragetiller.systems.server_health import EJECT_AFTER_FAILURES
from tests.gateway.harness import KEY, RouterHarness, wait_until
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, build_response

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import Script

NOT_EXECUTED = "X-Boragetiller-Not-Executed: 1\r\n"
RETRY_AFTER = "Retry-After: 1.5\r\n"
UNCONFIRMED_STATUSES = (408, 421, 429, 503)  # promise a caller that its request was not run
SEAL = "X-Boragetiller-Response-Seal"
PROMPT = {
    "X_Boragetiller_Model": "m",
    "X_Boragetiller_Token_Counts": "900,16",
    "X_Boragetiller_Prefix_Hash": "aa:800,bb:100",
}


def respond_with(status: int, *, seal: str = "seal", extra: str = "") -> Script:
    """:return: script that answers each request with the status"""

    async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            build_response(
                request.request_id, b"busy", status=f"{status} X", seal=seal, extra=extra
            )
        )

    return respond


class NotRunStatusTest(unittest.IsolatedAsyncioTestCase):
    """Engines of a plain service and of a model that all run the same script."""

    async def serve(self, *scripts: Script) -> RouterHarness:
        harness = RouterHarness()
        self.engines = []
        for number, script in enumerate(scripts):
            for group in ("shop", "engines"):
                engine = ScriptedEngine(script)
                await engine.start()
                self.addAsyncCleanup(engine.close)
                harness.store.register(f"{group}-{number}", engine, group)
                self.engines.append(engine)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        return harness

    def count_runs(self) -> int:
        return sum(len(engine.requests) for engine in self.engines)

    async def call(self, harness: RouterHarness, path: str) -> tuple[int, str]:
        """:return: status and Retry-After"""
        async with harness.call(path) as response:
            return response.status, response.headers.get("Retry-After", "")

    async def test_booking_that_ran_is_not_reported_as_not_run(self) -> None:
        # Guards against a booking made twice: callers repeat it after each of these statuses.
        for status in UNCONFIRMED_STATUSES:
            for seal in ("seal", ""):
                with self.subTest(status=status, seal=seal):
                    script = respond_with(status, seal=seal, extra=RETRY_AFTER)
                    harness = await self.serve(script, script)
                    async with harness.call("/reserve/", body=b"sheet") as response:
                        self.assertEqual(response.status, 502)
                        self.assertNotIn(SEAL, response.headers)
                        self.assertNotIn("Retry-After", response.headers)
                        error = (await response.json())["error"]
                    self.assertEqual(error["code"], "unavailable")
                    self.assertEqual(self.count_runs(), 1)

    async def test_stream_that_ran_is_not_reported_as_not_run(self) -> None:
        # The same before the first event of a stream that cannot be resumed.
        for status in UNCONFIRMED_STATUSES:
            with self.subTest(status=status):
                harness = await self.serve(respond_with(status), respond_with(status))
                async with harness.call("/quotes/", **PROMPT) as response:
                    self.assertEqual(response.status, 502)
                    self.assertNotIn(SEAL, response.headers)
                self.assertEqual(self.count_runs(), 1)

    @patch("boragetiller.systems.server_health.EJECT_MS", 60_000)
    @patch("boragetiller.systems.server_health.EJECT_MAX_MS", 60_000)
    async def test_server_that_refuses_every_call_is_ejected(self) -> None:
        # Guards against a server that looks idle, and is sent most calls, as it fails them fast.
        for status in UNCONFIRMED_STATUSES:
            with self.subTest(status=status):
                harness = await self.serve(respond_with(status), respond_with(200))
                statuses = []
                for number in range(12):
                    async with harness.call(f"/reserve/{number}") as response:
                        statuses.append(response.status)
                self.assertLessEqual(statuses.count(502), EJECT_AFTER_FAILURES)
                self.assertGreaterEqual(statuses.count(200), 12 - EJECT_AFTER_FAILURES)

    async def test_repeat_by_the_caller_avoids_the_servers(self) -> None:
        # Guards against a repeatable call that meets the same unavailable servers twice.
        harness = await self.serve(respond_with(503), respond_with(503))
        self.assertEqual((await self.call(harness, "/stock/"))[0], 502)
        third = ScriptedEngine(respond_with(200))
        await third.start()
        self.addAsyncCleanup(third.close)
        harness.store.register("third", third, "shop")
        await wait_until(lambda: "third" in harness.router.registry.servers.by_name)
        for _ in range(4):
            self.assertEqual((await self.call(harness, "/stock/"))[0], 200)
        self.assertEqual(self.count_runs(), 2)

    async def test_repeatable_call_is_told_when_to_come_back(self) -> None:
        # A caller that repeats at once would meet the same servers before they recover.
        harness = await self.serve(respond_with(429), respond_with(503))
        status, retry_after_s = await self.call(harness, "/stock/")
        self.assertEqual(status, 502)
        shortest_s, longest_s = SERVICE_RETRY_AFTER_S
        self.assertTrue(shortest_s <= float(retry_after_s) <= longest_s)
        self.assertEqual(self.count_runs(), 2)

    async def test_misdirection_by_the_server_itself_is_no_statement(self) -> None:
        # A 421 that names the expected server does not show that the request was not run.
        script = respond_with(421, extra="X-Boragetiller-Instance-Id: shop-0\r\n")
        harness = await self.serve(script)
        async with harness.call("/reserve/") as response:
            self.assertEqual(response.status, 502)

    async def test_success_that_claims_not_to_have_run_is_not_repeated(self) -> None:
        # Guards against a booking made twice because of a contradictory response.
        script = respond_with(200, extra=NOT_EXECUTED)
        harness = await self.serve(script, script)
        async with harness.call("/reserve/") as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.count_runs(), 1)

    async def test_hedged_call_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        # The second server states that it did not run the call, the first one does not.
        async def respond_slowly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.25)  # longer than the hedging delay
            await respond_with(503)(request, writer)

        harness = await self.serve(respond_slowly, respond_slowly)
        call = asyncio.create_task(self.call(harness, "/stock/"))
        await wait_until(lambda: self.count_runs() == 1)
        for engine in self.engines:
            engine.script = respond_with(503, extra=NOT_EXECUTED)
        self.assertEqual((await call)[0], 502)
        self.assertEqual(self.count_runs(), 2)

    async def test_error_of_the_handler_after_a_run_is_not_reported_as_not_run(self) -> None:
        # Guards against a refusal raised at the wrong moment, with a status that says "not run".
        harness = await self.serve(respond_with(200))
        for error in (Draining(), RequestTimeout(), TimeoutError()):
            with (
                self.subTest(error=error),
                patch.object(AttemptRecorder, "record_end", side_effect=error),
            ):
                async with harness.call("/reserve/") as response:
                    self.assertIn(response.status, (500, 504))

    async def test_stop_does_not_report_calls_in_progress_as_not_run(self) -> None:
        # A call that outlasts the grace period gets no response, since it may still run.
        async def never_respond(_: ReceivedRequest, _writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        harness = await self.serve(never_respond)
        call = asyncio.create_task(self.call(harness, "/reserve/"))
        await wait_until(lambda: self.count_runs() == 1)
        await harness.router.abort()
        with self.assertRaises(aiohttp.ClientError):
            await call

    async def test_request_whose_body_does_not_arrive_is_not_run(self) -> None:
        # The status 408 of the router itself is sent before any attempt.
        harness = await self.serve(respond_with(200))
        port = harness.router.caller_listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with patch("boragetiller.gateway.call_handler.BODY_TIMEOUT_S", 0.05):
            writer.write(
                b"POST /reserve/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 9\r\n"
                + f"X-Boragetiller-Attempt-Id: s\r\nAuthorization: Token {KEY}\r\n\r\n".encode()
            )
            self.assertIn(b" 408 ", await reader.readline())
        writer.transport.abort()
        self.assertEqual(self.count_runs(), 0)


if __name__ == "__main__":
    unittest.main()
