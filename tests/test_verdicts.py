"""Verdicts of requests whose connection between router and agent is reset."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from boragetiller.agent.attempts import AttemptTable
from boragetiller.platform_clients.hosts import Host
from boragetiller.settings import AdmissionSettings, BackendKind, PlacementSettings
from boragetiller.standin.service import ServiceServer, ServiceSettings
from boragetiller.verdict import Verdict
from tests.fault_proxy import FaultProxy
from tests.fleet import Fleet, build_sample_records

RESERVE = "/services/app/reserve"
SLOW_MS = 400
POLL_INTERVAL_S = 0.01


class VerdictTest(unittest.IsolatedAsyncioTestCase):
    """
    A router, a proxy, and an agent that runs one call at a time on a slow plain service.

    Guards against a verdict of not_run for a request that reached the backend server: the caller
    would send it again and it would run twice.
    """

    async def asyncSetUp(self) -> None:
        self.service = ServiceServer(ServiceSettings(delay_ms=SLOW_MS))
        await self.service.start()
        admission = AdmissionSettings(initial_running=1, max_running=1)
        placement = PlacementSettings(max_attempts=3)
        self.fleet = Fleet({"admission": admission, "placement": placement})
        await self.fleet.start()
        agent = await self.fleet.add_agent("app-0", "app", self.service.url, BackendKind.SERVICE)
        self.agent = agent
        self.proxy = FaultProxy(agent.data.port)
        await self.proxy.start()
        self.fleet.hosts.put(_build_host(agent.node.port, self.proxy.port))
        await self.fleet.apply(build_sample_records((), ("app-0",)))
        self.router = await self.fleet.add_router("router-0")
        await self._wait_until(lambda: bool(self.router.agents.entries["app-0"].incarnation))

    async def asyncTearDown(self) -> None:
        self.proxy.reset_connections()
        await self.fleet.close()
        await self.proxy.close()
        await self.service.close()

    async def test_request_queued_at_reset_is_retried_and_runs_once(self) -> None:
        first = asyncio.create_task(self._post(b"first"))
        await self._wait_until(lambda: len(self.agent.admission.table.running) == 1)
        second = asyncio.create_task(self._post(b"second"))
        await self._wait_until(lambda: len(self.agent.admission.table.queued) == 1)
        self.proxy.reset_connections()
        self.assertEqual(await first, (502, "may_have_run"))
        self.assertEqual((await second)[0], 200)
        await self._wait_until(lambda: not self.agent.admission.table.running)
        self.assertEqual(self._count_runs(), 2)

    async def test_request_running_at_reset_may_have_run(self) -> None:
        status, verdict = await self._reset_while_running()
        self.assertEqual((status, verdict), (502, "may_have_run"))
        self.assertEqual(self._count_runs(), 1)

    async def test_agent_that_reports_not_run_for_a_sent_request_is_detected(self) -> None:
        def report_not_run(table: AttemptTable, request_id: str, number: int) -> Verdict:
            return Verdict.NOT_RUN

        with patch.object(AttemptTable, "withdraw", report_not_run):
            await self._reset_while_running()
        self.assertGreater(self._count_runs(), 1)

    async def _reset_while_running(self) -> tuple[int, str]:
        call = asyncio.create_task(self._post(b"only"))
        await self._wait_until(lambda: self._count_runs() == 1)
        self.proxy.reset_connections()
        return await call

    async def _post(self, body: bytes) -> tuple[int, str]:
        async with self.fleet.post(self.router, RESERVE, body) as response:
            await response.read()
            return response.status, response.headers.get("x-verdict", "")

    def _count_runs(self) -> int:
        return sum(self.service.ledger.by_body.values())

    async def _wait_until(self, condition: object) -> None:
        for _ in range(500):
            if condition():  # type: ignore[operator]
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail("the condition was not met within 5 s")


def _build_host(control_port: int, data_port: int) -> Host:
    return Host(
        name="app-0",
        role="agent",
        address="127.0.0.1",
        data_port=data_port,
        control_port=control_port,
        failure_domain="fd-1",
        group="app",
    )


if __name__ == "__main__":
    unittest.main()
