"""Tests of the agent's operator routes."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import aiohttp
from yarl import URL

from boragetiller.agent_protocol.attempt import ATTEMPT_PATH
from boragetiller.cli.messages import NodeStatus, RecordStatus, parse_message
from boragetiller.standin.engine import EngineServer, EngineSettings
from tests.fleet import Fleet, build_sample_records

KEY = {"Authorization": "Bearer operator-key"}


class AgentOperatorTest(unittest.IsolatedAsyncioTestCase):
    """Operator routes of one agent."""

    async def asyncSetUp(self) -> None:
        engine = EngineServer(EngineSettings())
        await engine.start()
        self.addAsyncCleanup(engine.close)
        self.fleet = Fleet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        await self.fleet.apply(build_sample_records(("pool-1",), ()))
        self.agent = await self.fleet.add_agent("pool-1", "pool", engine.url)

    async def _get(self, path: str, **headers: str) -> tuple[int, Any]:
        async with (
            aiohttp.ClientSession(self.agent.operator.base_url) as session,
            session.get(path, headers=headers) as response,
        ):
            return response.status, await response.json()

    async def test_status_describes_the_agent(self) -> None:
        status = parse_message(NodeStatus, (await self._get("/status", **KEY))[1])
        self.assertEqual((status.name, status.role, status.draining), ("pool-1", "agent", False))
        (own,) = status.agents
        self.assertEqual((own.group, own.state, own.running), ("pool", "live", 0))
        self.agent.server.draining = True
        status = parse_message(NodeStatus, (await self._get("/status", **KEY))[1])
        self.assertEqual((status.draining, status.agents[0].state), (True, "draining"))

    async def test_status_requires_the_operator_key(self) -> None:
        self.assertEqual((await self._get("/status"))[0], 401)
        self.assertEqual((await self._get("/status", Authorization="Bearer x"))[0], 401)

    async def test_key_that_is_not_utf_8_is_refused(self) -> None:
        # Guards against an encoding error of the key, which the sender sees as status 500.
        for path, url in (
            ("/status", self.agent.operator.base_url),
            (ATTEMPT_PATH, self.agent.data.base_url),
        ):
            with self.subTest(path=path):
                self.assertEqual(await _post_with_key(url, path, b"Bearer \xff"), 401)

    async def test_record_status_shows_revision_in_force(self) -> None:
        await self.fleet.add_router("r-1")
        body: Any = {}
        while not body.get("record_revision"):
            body = (await self._get("/status/record/group/pool", **KEY))[1]
        status = parse_message(RecordStatus, body)
        self.assertEqual((status.record_revision, status.nodes[0].node), (1, "pool-1"))


async def _post_with_key(url: str, path: str, key: bytes) -> int:
    """:return: status of the response to a request with a key as raw bytes"""
    port = URL(url).port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nAuthorization: ".encode()
    writer.write(head + key + b"\r\n\r\n")
    status_line = await reader.readline()
    writer.transport.abort()
    return int(status_line.split()[1])


if __name__ == "__main__":
    unittest.main()
