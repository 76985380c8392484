"""Tests the table of failure points in docs/OUTCOMES.md against routers and agents."""

from __future__ import annotations

import asyncio
import re
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import attrs

from boragetiller.settings import BackendKind, PlacementSettings
from tests.faulty_server import Fault, FaultyServer
from tests.fleet import MODEL, Fleet, build_sample_records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.router.process import RouterProcess

PAGE = Path(__file__).resolve().parent.parent / "docs" / "OUTCOMES.md"
ROW = re.compile(r"^\| `([a-z-]+)` \|(.*)\|$", re.MULTILINE)
SILENCE_TIMEOUT_MS = 150


@attrs.frozen(kw_only=True)
class Row:
    """Expected outcome at one failure point, as listed on the page."""

    code: str
    verdict: str
    retried: bool


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome that the caller received and the counters of the router show."""

    code: str
    verdict: str
    retried: bool


class OutcomesTableTest(unittest.IsolatedAsyncioTestCase):
    """One scenario per row; rows and scenarios must match one to one."""

    async def asyncSetUp(self) -> None:
        placement = PlacementSettings(silence_timeout_ms=SILENCE_TIMEOUT_MS * 4, max_attempts=2)
        self.fleet = Fleet({"placement": placement, "keepalive_ms": SILENCE_TIMEOUT_MS})
        await self.fleet.start()
        self.servers: list[FaultyServer] = []

    async def asyncTearDown(self) -> None:
        for server in self.servers:
            await server.close()
        await self.fleet.close()

    async def test_table_matches_observed_outcomes(self) -> None:
        rows = _read_rows()
        scenarios = self._scenarios()
        self.assertEqual(sorted(rows), sorted(scenarios))
        for name, scenario in scenarios.items():
            with self.subTest(name):
                try:
                    outcome = await scenario()
                finally:
                    await self.asyncTearDown()
                    await self.asyncSetUp()
                self.assertEqual(attrs.asdict(outcome), attrs.asdict(rows[name]))

    def _scenarios(self) -> dict[str, Callable[[], Awaitable[Outcome]]]:
        def faulty_backend(fault: Fault, method: str) -> Callable[[], Awaitable[Outcome]]:
            return lambda: self._call_faulty_backend(fault, method)

        return {
            "connect-refused": self._call_backend_that_refuses_connections,
            "reset-before-first-byte": faulty_backend(Fault.RESET_BEFORE_FIRST_BYTE, "POST"),
            "reset-before-first-byte-get": faulty_backend(Fault.RESET_BEFORE_FIRST_BYTE, "GET"),
            "silent-before-first-byte": faulty_backend(Fault.SILENT, "POST"),
            "reset-in-body": faulty_backend(Fault.RESET_IN_BODY, "POST"),
            "truncated-body": faulty_backend(Fault.TRUNCATED, "POST"),
            "silent-in-body": faulty_backend(Fault.SILENT_IN_BODY, "POST"),
            "unavailable": faulty_backend(Fault.UNAVAILABLE, "POST"),
            "unavailable-get": faulty_backend(Fault.UNAVAILABLE, "GET"),
            "engine-server-error": self._call_failing_engine,
            "agent-gone": self._call_stopped_agent,
            "agent-lost": lambda: self._call_faulty_agent(Fault.RESET_BEFORE_FIRST_BYTE),
            "agent-silent": lambda: self._call_faulty_agent(Fault.SILENT),
            "agent-draining": self._call_draining_agent,
            "agent-answer-cut": lambda: self._call_faulty_agent(Fault.TRUNCATED),
        }

    async def _start_faulty_server(self, fault: Fault) -> FaultyServer:
        server = FaultyServer(fault)
        await server.start()
        self.servers.append(server)
        return server

    async def _start_router(self) -> RouterProcess:
        await self.fleet.apply(build_sample_records(("pool-0",), ("app-0",)))
        return await self.fleet.add_router("router-0")

    async def _add_app(self, url: str) -> None:
        await self.fleet.add_agent(
            "app-0", "app", url, BackendKind.SERVICE, silence_timeout_ms=SILENCE_TIMEOUT_MS
        )

    async def _call_faulty_backend(self, fault: Fault, method: str) -> Outcome:
        server = await self._start_faulty_server(fault)
        await self._add_app(server.url)
        return await self._call(await self._start_router(), method)

    async def _call_backend_that_refuses_connections(self) -> Outcome:
        server = await self._start_faulty_server(Fault.NONE)
        await self._add_app(server.url)
        await server.close()
        return await self._call(await self._start_router())

    async def _call_failing_engine(self) -> Outcome:
        server = await self._start_faulty_server(Fault.SERVER_ERROR)
        await self.fleet.add_agent("pool-0", "pool", server.url)
        router = await self._start_router()
        body = {"model": MODEL, "messages": [{"role": "user", "content": "gauge?"}]}
        async with self.fleet.post(router, "/v1/chat/completions", body) as response:
            return _build_outcome(router, (await response.json())["error"])

    async def _call_stopped_agent(self) -> Outcome:
        server = await self._start_faulty_server(Fault.NONE)
        await self._add_app(server.url)
        router = await self._start_router()
        await self.fleet.agents["app-0"].data.close()  # like SIGKILL: no goodbye message is sent
        return await self._call(router)

    async def _call_draining_agent(self) -> Outcome:
        server = await self._start_faulty_server(Fault.NONE)
        await self._add_app(server.url)
        router = await self._start_router()
        self.fleet.agents["app-0"].server.draining = True
        return await self._call(router)

    async def _call_faulty_agent(self, fault: Fault) -> Outcome:
        server = await self._start_faulty_server(fault)
        await self._add_app(server.url)
        router = await self._start_router()
        router.agents.entries["app-0"].data_port = server.port
        return await self._call(router)

    async def _call(self, router: RouterProcess, method: str = "POST") -> Outcome:
        url = router.caller_listener.base_url + "/services/app/reserve"
        headers = {"Authorization": "Bearer test-key"}
        assert self.fleet.session is not None
        async with self.fleet.session.request(method, url, data=b"x", headers=headers) as response:
            try:
                content = await response.json(content_type=None)
                return _build_outcome(router, content["error"])
            except aiohttp.ClientPayloadError:
                return await self._read_truncated_outcome(router)

    async def _read_truncated_outcome(self, router: RouterProcess) -> Outcome:
        await asyncio.sleep(0)
        steps = [step for trace in router.traces.list_traces() for step in trace.steps]
        failed = dict(part.split("=") for part in steps[-1].detail.split())
        return Outcome(code=failed["code"], verdict=failed["verdict"], retried=_has_retried(router))


def _build_outcome(router: RouterProcess, error: dict[str, str]) -> Outcome:
    return Outcome(code=error["code"], verdict=error["verdict"], retried=_has_retried(router))


def _has_retried(router: RouterProcess) -> bool:
    return any(name.startswith("router.retry.") for name in router.metrics.counts)


def _read_rows() -> dict[str, Row]:
    rows: dict[str, Row] = {}
    for name, rest in ROW.findall(PAGE.read_text(encoding="utf-8")):
        _point, code, verdict, retried, _why = (cell.strip() for cell in rest.split("|"))
        rows[name] = Row(code=code.strip("`"), verdict=verdict, retried=retried == "yes")
    return rows


if __name__ == "__main__":
    unittest.main()
