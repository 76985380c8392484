"""Calls whose body arrives while the configuration changes."""

from __future__ import annotations

import asyncio
import unittest

from tests.gateway.harness import HOST, KEY, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ScriptedEngine, build_response

BODY = b"0123456789"
HEAD = (
    f"POST /reserve/ HTTP/1.1\r\nHost: {HOST}\r\nX-Boragetiller-Attempt-Id: id-1\r\n"
    "X-Boragetiller-Deadline-Ms: 4000\r\nConnection: close\r\n"
    f"Authorization: Token {KEY}\r\nContent-Length: {len(BODY)}\r\n\r\n"
)


class SlowUploadTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_that_is_taken_away_during_the_upload_is_refused(self) -> None:
        engine = ScriptedEngine(
            lambda r, w: asyncio.sleep(0, w.write(build_response(r.request_id)))
        )
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness = RouterHarness()
        harness.store.register("a", engine, "shop")
        await harness.start()
        self.addAsyncCleanup(harness.close)
        router = harness.router
        port = router.caller_listener.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEAD.encode() + BODY[:5])
        await wait_until(lambda: router.call_handler.in_progress)
        tenants = [{"name": "north", "api-keys": ["key-2"], "priority": 1}]
        harness.store.put("op/config", build_config(2, tenants=tenants))
        await wait_until(lambda: router.registry.config.version == 2)
        writer.write(BODY[5:])
        response = await reader.read()
        writer.close()
        self.assertTrue(response.startswith(b"HTTP/1.1 401 "), response[:80])
        self.assertEqual(engine.requests, [])


if __name__ == "__main__":
    unittest.main()
