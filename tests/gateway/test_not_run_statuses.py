"""Statuses that tell a caller that its request was not run, beside engines that send them too."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from boragetiller.gateway.retry_after import SERVICE_RETRY_AFTER_S
from boragetiller.systems.server_health import EJECT_AFTER_FAILURES
from tests.gateway.harness import RouterHarness
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, build_response

if TYPE_CHECKING:
    import asyncio

    from tests.gateway.scripted_engine import Script

NOT_EXECUTED = "X-Boragetiller-Not-Executed: 1\r\n"
RETRY_AFTER = "Retry-After: 1.5\r\n"
UNCONFIRMED_STATUSES = (408, 421, 429, 503)  # say little without a statement of the engine
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

    async def test_server_that_answers_each_call_so_is_ejected(self) -> None:
        # Guards against a server without work that attracts calls by failing them fast.
        for status in UNCONFIRMED_STATUSES:
            with self.subTest(status=status):
                harness = await self.serve(respond_with(status), respond_with(200))
                statuses = []
                for number in range(12):
                    async with harness.call(f"/reserve/{number}") as response:
                        statuses.append(response.status)
                self.assertLessEqual(statuses.count(502), EJECT_AFTER_FAILURES)
                self.assertGreaterEqual(statuses.count(200), 12 - EJECT_AFTER_FAILURES)

    async def test_repeat_by_the_caller_avoids_the_server(self) -> None:
        # Guards against a repeatable call that meets the same unavailable servers twice.
        script = respond_with(503)
        harness = await self.serve(script, script, respond_with(503, extra=NOT_EXECUTED))
        self.assertEqual((await self.call_stock(harness))[0], 502)
        self.engines[4].script = respond_with(200)  # the third plain service
        self.assertEqual((await self.call_stock(harness))[0], 200)

    async def test_repeatable_call_is_told_when_to_come_back(self) -> None:
        # A caller that repeats at once would meet the same servers before they recover.
        harness = await self.serve(respond_with(429), respond_with(503))
        status, retry_after_s = await self.call_stock(harness)
        self.assertEqual(status, 502)
        shortest_s, longest_s = SERVICE_RETRY_AFTER_S
        self.assertTrue(shortest_s <= float(retry_after_s) <= longest_s)
        self.assertEqual(self.count_runs(), 2)

    async def call_stock(self, harness: RouterHarness) -> tuple[int, str]:
        """:return: status and Retry-After of a call that may be repeated"""
        async with harness.call("/stock/") as response:
            return response.status, response.headers.get("Retry-After", "")

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


if __name__ == "__main__":
    unittest.main()
