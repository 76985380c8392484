"""The demo serves a streamed, a whole and a keyed call."""

from __future__ import annotations

import json
import unittest
from typing import Any

import aiohttp

from boragetiller.cli.demo import describe
from boragetiller.standin.demo import CUSTOMER_KEYS, Demo, DemoSettings
from boragetiller.standin.engine_text import expected_text
from boragetiller.standin.service import confirmation

KOPAR = {"Authorization": f"Bearer {CUSTOMER_KEYS['kopar-vakt']}"}
KALISZ = {"Authorization": f"Bearer {CUSTOMER_KEYS['kalisz-dzial-deszczowki']}"}


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """One demo on free ports."""

    async def asyncSetUp(self) -> None:
        self.demo = Demo(DemoSettings(port=0, step_ms=0.5))
        self.addAsyncCleanup(self.demo.close)
        await self.demo.start()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def _url(self, router: int, path: str) -> str:
        return self.demo.routers[router].callers.base_url + path

    async def test_completions_and_reservation(self) -> None:
        await self._check_whole_answer()
        await self._check_streamed_answer()
        await self._check_reservation()
        self.assertIn(self._url(0, "/services/lager-app/reservations"), describe(self.demo))

    async def _check_whole_answer(self) -> None:
        body = _chat("doradca-1", "A grant for a tank?")
        url = self._url(1, "/v1/chat/completions")
        async with self.session.post(url, json=body, headers=KALISZ) as response:
            answer = await response.json()
        self.assertEqual(answer["choices"][0]["message"]["content"], expected_text(body))

    async def _check_streamed_answer(self) -> None:
        body = _chat("kopar-1", "0.7 mm?", stream=True)
        url = self._url(0, "/v1/chat/completions")
        async with self.session.post(url, json=body, headers=KOPAR) as response:
            lines = [line.decode().strip() async for line in response.content]
        events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.assertEqual((text, events[-1]), (expected_text(body), "[DONE]"))

    async def _check_reservation(self) -> None:
        headers = {**KOPAR, "X-Request-Class": "reservation", "Idempotency-Key": "sheet-17"}
        url = self._url(0, "/services/lager-app/reservations")
        async with self.session.post(url, data=b"{}", headers=headers) as response:
            answer = await response.json()
        self.assertEqual(answer["confirmation"], confirmation("POST", "/reservations", b"{}"))
        runs = [service.ledger.by_key["sheet-17"] for service in self.demo.services.values()]
        self.assertEqual(sum(runs), 1)


def _chat(model: str, content: str, **more: Any) -> dict[str, Any]:
    return {"model": model, "messages": [{"role": "user", "content": content}], **more}


if __name__ == "__main__":
    unittest.main()
