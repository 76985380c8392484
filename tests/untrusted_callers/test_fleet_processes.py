"""Tests that crowds of untrusted callers end no router or agent of the product's own interface."""

from __future__ import annotations

import asyncio
import unittest

from bench.fleet import ProcessFleet
from tests.fleet import KEY, build_sample_records
from tests.untrusted_callers.crowd import (
    FORMS,
    Crowd,
    Target,
    count_descriptors,
    read_memory_kb,
    receive_status,
    unfinished_head,
)

MAX_BODY_BYTES = 4_194_304
MEMORY_MB = 256  # the default of a process
MAX_DESCRIPTORS = 1_024  # the default of a process
CALLERS = 3 * MEMORY_MB * 1_048_576 // (2 * MAX_BODY_BYTES)
CONNECTIONS = MAX_DESCRIPTORS + MAX_DESCRIPTORS // 4
READY_CHECKS = 600
CHECK_INTERVAL_S = 0.05
LIMITS = {"max_body_bytes": MAX_BODY_BYTES, "max_header_bytes": 16_384}


class FleetProcessesTest(unittest.IsolatedAsyncioTestCase):
    """A router, an agent and a plain service on loopback, one form in each test."""

    async def asyncSetUp(self) -> None:
        self.fleet = ProcessFleet()
        self.addAsyncCleanup(self.fleet.close)  # registered first: it also runs if the set-up fails
        await self.fleet.start()
        service = await self.fleet.start_standin("app-a-server", "service")
        self.agent = await self.fleet.start_agent(
            "app-a", "app", service, kind="service", limits=LIMITS
        )
        await self.fleet.apply_records(build_sample_records((), ("app-a",)))
        self.router = await self.fleet.start_router("router-a", limits=LIMITS)
        lines = ["POST /services/app/stock/1 HTTP/1.1", "Host: shop.example"]
        lines += [f"Authorization: Bearer {KEY}", "Idempotency-Key: key-1"]
        head = "\r\n".join([*lines, ""]).encode()
        self.target = Target(self.router.endpoints["data_port"], head)
        for _ in range(READY_CHECKS):
            if await receive_status(self.target, b"{}") == 200:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_survives(self, form: str, port: int, *, cut_off: bool = False) -> None:
        crowd = Crowd(Target(port, self.target.head))
        self.addCleanup(crowd.close)
        await crowd.send(FORMS[form], CALLERS)
        await self._check_processes()
        if cut_off:
            self.assertEqual(crowd.sent_all, 0, "a caller over a limit could send all it had")

    async def _check_processes(self) -> None:
        status = await receive_status(self.target, b"{}")
        for member in (self.router, self.agent):
            self.assertIsNone(member.process.returncode, f"{member.name} ended")
            pid = member.process.pid
            self.assertLess(read_memory_kb(pid, "VmHWM"), MEMORY_MB * 1_024, member.name)
            self.assertLess(count_descriptors(pid), MAX_DESCRIPTORS, member.name)
        self.assertEqual(status, 200)

    async def test_heads_without_end_at_the_router(self) -> None:
        await self._check_survives("endless_head", self.target.port, cut_off=True)

    async def test_empty_lines_at_the_router(self) -> None:
        await self._check_survives("empty_lines", self.target.port, cut_off=True)

    async def test_unfinished_bodies_in_large_chunks_at_the_router(self) -> None:
        await self._check_survives("large_chunks", self.target.port)

    async def test_unfinished_bodies_in_tiny_chunks_at_the_router(self) -> None:
        await self._check_survives("tiny_chunks", self.target.port)

    async def test_announced_bodies_over_the_limit_at_the_router(self) -> None:
        await self._check_survives("announced_body", self.target.port, cut_off=True)

    async def test_sent_bodies_over_the_limit_at_the_router(self) -> None:
        await self._check_survives("sent_body", self.target.port, cut_off=True)

    async def test_empty_lines_at_the_agent(self) -> None:
        await self._check_survives("empty_lines", self.agent.endpoints["data_port"], cut_off=True)

    async def test_sent_bodies_over_the_limit_at_the_agent(self) -> None:
        await self._check_survives("sent_body", self.agent.endpoints["data_port"], cut_off=True)

    async def test_empty_lines_at_the_operator_port(self) -> None:
        port = self.router.endpoints["operator_port"]
        await self._check_survives("empty_lines", port, cut_off=True)

    async def test_more_connections_than_descriptors(self) -> None:
        crowd = Crowd(self.target)
        self.addCleanup(crowd.close)
        await crowd.send(unfinished_head, CONNECTIONS)
        await self._check_processes()


if __name__ == "__main__":
    unittest.main()
