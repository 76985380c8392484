"""Tests that stopping a router or an agent interrupts no request in progress."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

import aiohttp

from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_text import build_expected_text
from tests.fleet import MODEL, Fleet, build_sample_records
from tests.streams import extract_streamed_text

if TYPE_CHECKING:
    from boragetiller.agent.process import AgentProcess
    from boragetiller.router.process import RouterProcess

CHAT = "/v1/chat/completions"
TOKENS = 40


class StopTest(unittest.IsolatedAsyncioTestCase):
    """An engine that streams while its agent or the router stops."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineServer(EngineSettings())
        await self.engine.start()
        self.fleet = Fleet()
        await self.fleet.start()
        self.agent = await self.fleet.add_agent("engine-0", "pool", self.engine.url)
        await self.fleet.apply(build_sample_records(("engine-0",), ()))
        self.router = await self.fleet.add_router("router-0")

    async def asyncTearDown(self) -> None:
        await self.fleet.close()
        await self.engine.close()

    async def test_stopping_router_completes_the_stream(self) -> None:
        self.assertEqual(
            await self._stream_during_stop(self.router), build_expected_text(_build_body())
        )

    async def test_stopping_agent_completes_the_stream(self) -> None:
        self.assertEqual(
            await self._stream_during_stop(self.agent), build_expected_text(_build_body())
        )

    async def test_stopping_router_refuses_new_requests(self) -> None:
        self.router.server.refusing = True
        async with self.fleet.post(self.router, CHAT, _build_body()) as response:
            refusal = await response.json()
        self.assertEqual((refusal["error"]["code"], response.status), ("draining", 503))
        self.assertEqual(refusal["error"]["verdict"], "not_run")
        self.assertEqual(sum(self.engine.ledger.by_request_id.values()), 0)

    async def test_stopping_router_closes_connections_after_responses(self) -> None:
        self.router.caller_listener.disable_keepalive()
        async with self.fleet.post(
            self.router, CHAT, {**_build_body(), "max_tokens": 2}
        ) as response:
            await response.read()
        self.assertEqual(response.headers["Connection"], "close")

    async def test_stop_without_draining_is_detected(self) -> None:
        async def no_wait(_in_progress: object, _settings: object) -> bool:
            return False

        with (
            patch("boragetiller.http_server.SHUTDOWN_TIMEOUT_S", 0.01),
            patch("boragetiller.http_server.CONNECTION_CLOSE_TIMEOUT_MS", 0),
            patch("boragetiller.router.process.wait_until_idle", no_wait),
        ):
            self.router = await self.fleet.add_router("router-1")
            text = await self._stream_during_stop(self.router)
        self.assertNotEqual(text, build_expected_text(_build_body()))

    async def _stream_during_stop(self, process: RouterProcess | AgentProcess) -> str:
        content = b""
        async with self.fleet.post(self.router, CHAT, _build_body()) as response:
            content += await response.content.readuntil(b"\n\n")
            stop = asyncio.create_task(process.close())
            try:
                content += await response.read()
            except aiohttp.ClientError:
                content = b""
        await stop
        return extract_streamed_text(content)


def _build_body() -> dict[str, object]:
    messages = [{"role": "user", "content": "a quote to read out"}]
    return {"model": MODEL, "messages": messages, "max_tokens": TOKENS, "stream": True}


if __name__ == "__main__":
    unittest.main()
