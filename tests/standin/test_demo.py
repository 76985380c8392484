"""Tests of the demo with buffered and streamed completions, a reservation and orders."""

from __future__ import annotations

import asyncio
import json
import unittest
from random import Random
from typing import Any

import aiohttp

from boragetiller.cli.demo import describe_demo
from boragetiller.cli.writer import RecordWriter
from boragetiller.records.documents import parse_documents
from boragetiller.standin.demo import CUSTOMER_KEYS, Demo, DemoSettings
from boragetiller.standin.engine_text import build_expected_text
from boragetiller.standin.service import compute_confirmation

KOPAR = {"Authorization": f"Bearer {CUSTOMER_KEYS['kopar-vakt']}"}
KALISZ = {"Authorization": f"Bearer {CUSTOMER_KEYS['kalisz-dzial-deszczowki']}"}


TIMEOUT_S = 60
GROUP_CHANGE = """
kind: group
name: tiller-pool
schema_version: 2
backend: engine
members: [tiller-pool-1, tiller-pool-2]
models: [kopar-1, kopar-2]
role: decode
"""


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """The demo on free ports."""

    async def asyncSetUp(self) -> None:
        self.demo = Demo(DemoSettings(port=0, step_ms=0.5, order_check_ms=50))
        self.addAsyncCleanup(self.demo.close)
        await self.demo.start()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def _build_url(self, router: int, path: str) -> str:
        return self.demo.routers[router].caller_listener.base_url + path

    async def test_completions_reservation_and_orders(self) -> None:
        await self._check_buffered_completion()
        await self._check_streamed_completion()
        await self._check_reservation()
        await self._check_record_change_sends_orders()
        self.assertIn(
            self._build_url(0, "/services/lager-app/reservations"), describe_demo(self.demo)
        )

    async def _check_record_change_sends_orders(self) -> None:
        writer = RecordWriter(self.demo.platform.store, "demo", Random(1))
        await writer.write(parse_documents(GROUP_CHANGE), at_ms=1)
        engines = [self.demo.engines[f"tiller-pool-{number}"].state for number in (1, 2)]
        wanted = ["kopar-1", "kopar-2"]
        async with asyncio.timeout(TIMEOUT_S):
            while any(engine.models != wanted for engine in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        for engine in engines:
            kinds = [order["kind"] for order in engine.orders]
            self.assertEqual((kinds, engine.role), (["set_role", "load_model"], "decode"))
            self.assertGreater(engine.orders[0]["fencing"], 0)

    async def _check_buffered_completion(self) -> None:
        body = _build_chat("doradca-1", "A grant for a tank?")
        url = self._build_url(1, "/v1/chat/completions")
        async with self.session.post(url, json=body, headers=KALISZ) as response:
            response_body = await response.json()
        self.assertEqual(
            response_body["choices"][0]["message"]["content"], build_expected_text(body)
        )

    async def _check_streamed_completion(self) -> None:
        body = _build_chat("kopar-1", "0.7 mm?", stream=True)
        url = self._build_url(0, "/v1/chat/completions")
        async with self.session.post(url, json=body, headers=KOPAR) as response:
            lines = [line.decode().strip() async for line in response.content]
        events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.assertEqual((text, events[-1]), (build_expected_text(body), "[DONE]"))

    async def _check_reservation(self) -> None:
        headers = {**KOPAR, "X-Request-Class": "reservation", "Idempotency-Key": "sheet-17"}
        for router in (0, 1):
            url = self._build_url(router, "/services/lager-app/reservations")
            async with self.session.post(url, data=b"{}", headers=headers) as response:
                response_body = await response.json()
            self.assertEqual(
                response_body.get("confirmation"),
                compute_confirmation("POST", "/reservations", b"{}"),
                response_body,
            )
        run_counts = [service.ledger.by_key["sheet-17"] for service in self.demo.services.values()]
        self.assertEqual(sum(run_counts), 1)


def _build_chat(model: str, content: str, **extra_fields: Any) -> dict[str, Any]:
    return {"model": model, "messages": [{"role": "user", "content": content}], **extra_fields}


if __name__ == "__main__":
    unittest.main()
