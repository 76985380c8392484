"""Calls to the product's own interface whose body arrives while the records change."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING

from boragetiller.standin.engine import EngineServer, EngineSettings
from tests.fleet import KEY, MODEL, Fleet, build_sample_records, hash_key

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHAT = "/v1/chat/completions"


class SlowUploadTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_that_is_taken_away_during_the_upload_is_refused(self) -> None:
        engine, fleet = EngineServer(EngineSettings()), Fleet()
        await engine.start()
        self.addAsyncCleanup(engine.close)
        await fleet.start()
        self.addAsyncCleanup(fleet.close)
        await fleet.add_agent("engine-0", "pool", engine.url)
        records = build_sample_records(("engine-0",), ())
        await fleet.apply(records)
        router = await fleet.add_router("router-0")
        message = {"role": "user", "content": "a sheet"}
        body = json.dumps({"model": MODEL, "class": "quote", "messages": [message]}).encode()

        async def upload() -> AsyncIterator[bytes]:
            yield body[:10]
            while not router.server.in_progress:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            customer = records.split("---\n")[-1]
            await fleet.apply(customer.replace(hash_key(KEY), hash_key("another")))
            digest = hash_key(KEY)
            while digest in router.config.customers_by_key:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
            yield body[10:]

        assert fleet.session is not None
        headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
        async with fleet.session.post(
            router.caller_listener.base_url + CHAT, data=upload(), headers=headers
        ) as response:
            self.assertEqual(response.status, 401, await response.text())


if __name__ == "__main__":
    unittest.main()
