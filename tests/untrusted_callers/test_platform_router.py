"""Tests that crowds of untrusted callers end no router of the platform."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from review.standins import Record, Router
from tests.gateway.harness import HOST, KEY, build_config
from tests.gateway.scripted_engine import ScriptedEngine
from tests.platform_adapter.store_server import PlatformStoreServer
from tests.untrusted_callers.crowd import (
    FORMS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Crowd,
    Target,
    count_descriptors,
    pipelined_head,
    read_memory_kb,
    receive_status,
    unfinished_head,
)

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import ReceivedRequest

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 160  # the smallest memory of a router's host
MAX_DESCRIPTORS = 400  # 200 of them for files; fewer than any host of the platform has
# One and a half times as many as would fill the memory with bodies within the limit.
CALLERS = 3 * MEMORY_MB * 1_048_576 // (2 * MAX_BODY_BYTES)
CONNECTIONS = 2 * MAX_DESCRIPTORS
READY_CHECKS = 600
CHECK_INTERVAL_S = 0.05


async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as an engine that ran the request."""
    echo = f"X-Boragetiller-Attempt-Id: {request.request_id}\r\n".encode()
    seal = b"X-Boragetiller-Response-Seal: seal.shop-1\r\n"
    body = b"a" * MAX_BODY_BYTES if request.path.endswith("/large") else b"ok"
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
    writer.write(head + echo + seal + b"\r\n" + body)


class RouterProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """One router process on loopback."""

    max_descriptors = MAX_DESCRIPTORS

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = PlatformStoreServer()
        endpoint = await self.store.start()
        self.addAsyncCleanup(self.store.close)
        engine = ScriptedEngine(answer)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        limits = {
            "max-header-bytes": MAX_HEAD_BYTES,
            "max-body-bytes": MAX_BODY_BYTES,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        }
        self.store.put("op/config", build_config(limits=limits))
        self.store.register("shop-1", engine, "shop")
        record = Record(Path(folder.name))
        self.addCleanup(record.close)
        store = f"{endpoint.address}:{endpoint.port}"
        router = Router(record, Path(folder.name), 1, "vl-a", store)
        router.write_settings([])
        path = Path(folder.name) / f"{router.name}.toml"
        text = path.read_text().replace("memory-mb = 300", f"memory-mb = {MEMORY_MB}")
        path.write_text(text.replace("max-fds = 4100", f"max-fds = {self.max_descriptors}"))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "router.py"),
            env={**os.environ, "BORAGETILLER_CONFIG": str(path)},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self._end)
        lines = ["POST /stock/1 HTTP/1.1", f"Host: {HOST}", f"Authorization: Token {KEY}"]
        lines += ["X-Boragetiller-Attempt-Id: s", "X-Boragetiller-Deadline-Ms: 4000"]
        self.target = Target(router.front, "\r\n".join([*lines, ""]).encode())
        await self._wait_ready(f"http://127.0.0.1:{router.ready}/ready")

    async def _end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def _wait_ready(self, url: str) -> None:
        async with aiohttp.ClientSession() as session:
            for _ in range(READY_CHECKS):
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(CHECK_INTERVAL_S)
        self.assertEqual(await receive_status(self.target, b"{}"), 200)


class PlatformRouterTest(RouterProcessTestCase):
    """One form of untrusted caller in each test."""

    async def _check_survives(self, form: str, *, cut_off: bool = False) -> None:
        crowd = Crowd(self.target)
        self.addCleanup(crowd.close)
        await crowd.send(FORMS[form], CALLERS)
        status = await receive_status(self.target, b"{}")
        self.assertIsNone(self.process.returncode, "the process ended")
        self.assertLess(read_memory_kb(self.process.pid, "VmHWM"), MEMORY_MB * 1_024)
        self.assertLess(count_descriptors(self.process.pid), MAX_DESCRIPTORS)
        self.assertEqual(status, 200)
        if cut_off:
            self.assertEqual(crowd.sent_all, 0, "a caller over a limit could send all it had")

    async def test_heads_without_end_stay_within_memory(self) -> None:
        await self._check_survives("endless_head", cut_off=True)

    async def test_header_lines_without_end_stay_within_memory(self) -> None:
        await self._check_survives("endless_line", cut_off=True)

    async def test_heads_over_the_limit_stay_within_memory(self) -> None:
        await self._check_survives("large_head")

    async def test_empty_lines_without_end_are_cut_off(self) -> None:
        await self._check_survives("empty_lines", cut_off=True)

    async def test_unfinished_bodies_in_large_chunks_stay_within_memory(self) -> None:
        await self._check_survives("large_chunks")

    async def test_unfinished_bodies_in_tiny_chunks_stay_within_memory(self) -> None:
        await self._check_survives("tiny_chunks")

    async def test_announced_bodies_over_the_limit_stay_within_memory(self) -> None:
        await self._check_survives("announced_body", cut_off=True)

    async def test_sent_bodies_over_the_limit_stay_within_memory(self) -> None:
        await self._check_survives("sent_body", cut_off=True)

    async def test_unread_responses_stay_within_memory(self) -> None:
        await self._check_survives("unread_response")

    async def test_more_connections_than_descriptors_leave_room_for_a_caller(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4 * CONNECTIONS)), hard))
        crowd = Crowd(self.target)
        self.addCleanup(crowd.close)
        await crowd.send(unfinished_head, CONNECTIONS)
        status = await receive_status(self.target, b"{}")
        self.assertLess(count_descriptors(self.process.pid), MAX_DESCRIPTORS)
        self.assertEqual(status, 200)


class PipelinedHeadTest(RouterProcessTestCase):
    """As many descriptors as the smallest host of a router has, so that many callers fit."""

    max_descriptors = 1_638

    async def test_unfinished_heads_behind_complete_requests_stay_within_memory(self) -> None:
        # Guards against lines that the parser keeps for a second head, which nothing counts.
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4 * CONNECTIONS)), hard))
        crowd = Crowd(self.target)
        self.addCleanup(crowd.close)
        await crowd.send(pipelined_head, CONNECTIONS)
        status = await receive_status(self.target, b"{}")
        self.assertIsNone(self.process.returncode, "the process ended")
        self.assertLess(read_memory_kb(self.process.pid, "VmHWM"), MEMORY_MB * 1_024)
        self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
