"""Tests of the stand-in plain service."""

from __future__ import annotations

import unittest

import aiohttp

from boragetiller.standin.service import ServiceServer, ServiceSettings, compute_confirmation


class ServiceServerTest(unittest.IsolatedAsyncioTestCase):
    """The service over HTTP: ledger and faults."""

    async def asyncSetUp(self) -> None:
        self.service = ServiceServer(ServiceSettings())
        await self.service.start()
        self.addAsyncCleanup(self.service.close)
        self.session = aiohttp.ClientSession(self.service.url)
        self.addAsyncCleanup(self.session.close)

    async def _send_booking(self) -> dict[str, str]:
        headers = {"Idempotency-Key": "k-1", "X-Request-Id": "r-1"}
        async with self.session.post("/bookings?d=1", data=b"tank", headers=headers) as response:
            response_body: dict[str, str] = await response.json()
            return response_body

    async def test_ledger_counts_calls(self) -> None:
        response_body = await self._send_booking()
        self.assertEqual(
            response_body["confirmation"], compute_confirmation("POST", "/bookings?d=1", b"tank")
        )
        await self._send_booking()
        ledger = self.service.ledger
        self.assertEqual((ledger.by_key["k-1"], ledger.by_request_id["r-1"]), (2, 2))

    async def test_each_fault_breaks_one_call(self) -> None:
        cases = {
            "reset_before_run": (0, aiohttp.ServerDisconnectedError),
            "reset_before_first_byte": (1, aiohttp.ServerDisconnectedError),
            "reset_after_first_byte": (2, aiohttp.ClientError),
            "truncate": (3, aiohttp.ClientPayloadError),
        }
        for fault, (runs, error) in cases.items():
            async with self.session.post("/faults", json={fault: 1}) as response:
                self.assertEqual(response.status, 200)
            with self.subTest(fault), self.assertRaises(error):
                await self._send_booking()
            self.assertEqual(self.service.ledger.by_key["k-1"], runs, fault)
        await self._send_booking()
        async with self.session.post("/faults", json={"other": 1}) as response:
            self.assertEqual(response.status, 400)

    async def test_refusal_after_a_run_is_in_the_ledger(self) -> None:
        # Fault runs compare the statuses that callers get with this ledger.
        self.service.faults.refusals_after_run.append(503)
        async with self.session.post("/bookings", headers={"X-Request-Id": "r-1"}) as response:
            self.assertEqual(response.status, 503)
        self.assertEqual(self.service.ledger.by_request_id["r-1"], 1)


if __name__ == "__main__":
    unittest.main()
