"""Backend servers that refuse requests with a status that says, wrongly, that they did not run."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import openai
import yaml

from boragetiller.settings import BackendKind, PlacementSettings
from boragetiller.status_verdicts import NOT_RUN_STATUSES
from tests.faulty_server import Fault, FaultyServer
from tests.fleet import KEY, MODEL, Fleet, build_sample_records, hash_key

RESERVE = "/services/app/reserve"
MESSAGES = [{"role": "user", "content": "gauge?"}]
ONCE_CLASS = {"kind": "class", "name": "once", "group": "pool", "tier": 3, "idempotent": False}
CUSTOMER = {
    "kind": "customer",
    "name": "acme",
    "key_hashes": [hash_key(KEY)],
    "classes": ["quote", "note", "booking", "once"],
}
ONCE_RECORDS = yaml.safe_dump_all({"schema_version": 2, **each} for each in (ONCE_CLASS, CUSTOMER))


class UnavailableBackendTest(unittest.IsolatedAsyncioTestCase):
    """One backend server of each kind behind an agent; both refuse what they ran."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet({"placement": PlacementSettings(max_attempts=2)})
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.close)
        self.service, self.engine = FaultyServer(Fault.UNAVAILABLE), FaultyServer(Fault.UNAVAILABLE)
        for server in (self.service, self.engine):
            await server.start()
            self.addAsyncCleanup(server.close)
        await self.fleet.add_agent("app-0", "app", self.service.url, BackendKind.SERVICE)
        await self.fleet.add_agent("pool-0", "pool", self.engine.url)
        await self.fleet.apply(build_sample_records(("pool-0",), ("app-0",)))
        self.router = await self.fleet.add_router("router-0")

    async def reserve(self, **headers: str) -> tuple[int, dict[str, Any]]:
        """:return: status and error of a booking"""
        async with self.fleet.post(self.router, RESERVE, b"sheet", **headers) as response:
            return response.status, (await response.json())["error"]

    def set_refusal(self, status: int) -> None:
        """Let both backend servers answer with the status from now on."""
        for server in (self.service, self.engine):
            server.refusal_status, server.requests = status, 0

    async def test_booking_that_ran_is_not_reported_as_not_run(self) -> None:
        # Guards against a booking made twice, by clients that repeat 408, 429 and 503.
        for refusal in sorted(NOT_RUN_STATUSES):
            with self.subTest(refusal=refusal):
                self.set_refusal(refusal)
                status, error = await self.reserve()
                self.assertEqual((status, error["code"]), (502, "backend_unavailable"))
                self.assertEqual(error["verdict"], "may_have_run")
                self.assertEqual(self.service.requests, 1)

    async def test_stored_response_of_a_key_is_not_reported_as_not_run(self) -> None:
        # The response that the owner of the key stored is sent again for each repeat.
        for refusal in sorted(NOT_RUN_STATUSES):
            with self.subTest(refusal=refusal):
                self.set_refusal(refusal)
                for _ in range(4):
                    status, error = await self.reserve(Idempotency_Key=f"key-{refusal}")
                    self.assertEqual((status, error["code"]), (502, "backend_unavailable"))
                    self.assertEqual(error["verdict"], "may_have_run")
                self.assertEqual(self.service.requests, 1)
        health = self.router.agents.entries["app-0"].health
        self.assertEqual((health.failures, health.ejections), (0, 0))

    async def test_openai_client_does_not_repeat_a_completion_that_may_have_run(self) -> None:
        # The client library repeats 408, 409, 429 and 5xx by itself unless told not to.
        await self.fleet.apply(ONCE_RECORDS)
        await self._wait_for_class("once")
        client = openai.AsyncOpenAI(
            base_url=self.router.caller_listener.base_url + "/v1", api_key=KEY, max_retries=2
        )
        self.addAsyncCleanup(client.close)
        for fault, refusal in (
            (Fault.UNAVAILABLE, 429),
            (Fault.SERVER_ERROR, 0),
            (Fault.NO_EVENTS, 0),
        ):
            with self.subTest(fault=fault):
                self.set_refusal(refusal)
                self.engine.fault = fault
                with self.assertRaises(openai.InternalServerError):
                    await client.chat.completions.create(
                        model=MODEL, messages=MESSAGES, extra_headers={"X-Request-Class": "once"}
                    )
                self.assertEqual(self.engine.requests, 1)

    async def test_booking_answered_with_an_error_says_not_to_repeat_it(self) -> None:
        # The same for the errors of a plain service, which are relayed as they are.
        self.service.fault = Fault.SERVER_ERROR
        for headers, expected in (({}, "false"), ({"Idempotency_Key": "key-1"}, None)):
            async with self.fleet.post(self.router, RESERVE, b"sheet", **headers) as response:
                self.assertEqual(response.status, 500)
                self.assertEqual(response.headers.get("x-should-retry"), expected)

    async def _wait_for_class(self, name: str) -> None:
        async with asyncio.timeout(5):
            while name not in self.router.config.classes:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_completion_that_ran_is_not_reported_as_not_run(self) -> None:
        body = {"model": MODEL, "messages": MESSAGES}
        for refusal in sorted(NOT_RUN_STATUSES):
            with self.subTest(refusal=refusal):
                self.set_refusal(refusal)
                async with self.fleet.post(self.router, "/v1/chat/completions", body) as response:
                    self.assertEqual(response.status, 502)
                    retry_after = "1" if refusal < 500 else None  # an error from 500 on has none
                    self.assertEqual(response.headers.get("Retry-After"), retry_after)
                    self.assertEqual((await response.json())["error"]["verdict"], "may_have_run")


if __name__ == "__main__":
    unittest.main()
