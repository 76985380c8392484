"""Property: no caller is told that its request was not run unless no server can have run it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import aiohttp
import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from boragetiller.events import Event
from boragetiller.status_verdicts import NOT_RUN_STATUSES
from boragetiller.tables.servers import ServerHealth
from tests.gateway.harness import ROUTES, RouterHarness, build_config
from tests.gateway.scripted_engine import ReceivedRequest, ScriptedEngine, build_event, reset

SERVERS_PER_GROUP = 4
GOAL_MS = 2_000  # no call is hedged within this test, whose answers arrive at once
BODY = build_event(1)
SEAL = "X-Boragetiller-Response-Seal"
BOUNDED = settings(derandomize=True, max_examples=300, deadline=None, database=None)
ENDED_CALLS = (Event.CALL_ANSWERED.value, Event.CALL_FAILED.value)


@attrs.frozen(kw_only=True)
class Answer:
    """A server's answer to one attempt."""

    status: int
    states_not_run: bool
    instance: str | None  # "own", "other" or None for no such header
    sealed: bool
    has_request_id: bool
    retry_after: bool
    framing: str

    @property
    def may_have_run(self) -> bool:
        """:return: whether the answer leaves it open that the server ran the request"""
        if 200 <= self.status < 300:
            return True
        is_misdirected = self.status == 421 and self.instance == "other"
        return self.framing == "reset" or not (self.states_not_run or is_misdirected)

    def build(self, request: ReceivedRequest, server: str) -> bytes:
        """:return: the bytes of the answer"""
        headers = {
            "X-Boragetiller-Attempt-Id": request.request_id if self.has_request_id else None,
            "X-Boragetiller-Not-Executed": "1" if self.states_not_run else None,
            "X-Boragetiller-Instance-Id": server if self.instance == "own" else self.instance,
            SEAL: f"seal-{server}" if self.sealed else None,
            "Retry-After": "2" if self.retry_after else None,
            "Content-Length": str(len(BODY)) if self.framing in ("length", "cut") else None,
            "Transfer-Encoding": "chunked" if self.framing == "chunked" else None,
        }
        lines = [f"HTTP/1.1 {self.status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        match self.framing:
            case "chunked":
                return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)
            case "cut":
                return head + BODY[:3]
            case _:
                return head + BODY


ANSWERS = st.builds(
    Answer,
    status=st.sampled_from(
        (408, 421, 429, 503) * 3 + (200, 302, 400, 404, 409, 425, 500, 502, 504)
    ),
    states_not_run=st.booleans(),
    instance=st.sampled_from((None, "own", "other")),
    sealed=st.booleans(),
    has_request_id=st.booleans(),
    retry_after=st.booleans(),
    framing=st.sampled_from(("length", "length", "chunked", "close", "cut", "reset")),
)


class NotRunStatusPropertyTest(unittest.TestCase):
    """One router in an event loop of its own, with servers that answer as drawn."""

    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.answers: list[Answer] = []
        self.exchanges: list[tuple[str, Answer]] = []  # server and answer of each attempt of a call
        self.lines: list[dict[str, Any]] = []
        self.calls = 0
        sink = logger.add(lambda message: self.lines.append(message.record["extra"]))
        self.addCleanup(logger.remove, sink)
        self.loop.run_until_complete(self._start())
        self.addCleanup(lambda: self.loop.run_until_complete(self._close()))

    def test_no_caller_is_told_wrongly_that_its_request_was_not_run(self) -> None:
        @BOUNDED
        @given(st.sampled_from(sorted(ROUTES)), st.lists(ANSWERS, min_size=1, max_size=5))
        def check(route: str, answers: list[Answer]) -> None:
            self.loop.run_until_complete(self._check_call(route, answers))

        check()

    async def _check_call(self, route: str, answers: list[Answer]) -> None:
        self.answers, self.exchanges = list(answers), []
        self.lines.clear()
        self._reset_health()
        self.calls += 1
        status, headers, body = await self._call(route)
        may_have_run = [answer for _, answer in self.exchanges if answer.may_have_run]
        if status in NOT_RUN_STATUSES:
            self.assertEqual(may_have_run, [])
        if not may_have_run:
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
        if ROUTES[route]["kind"] == "non_idempotent":
            self.assertLessEqual(len(may_have_run), 1)
        if SEAL in headers:
            sealed = [(f"seal-{server}", answer.status) for server, answer in self.exchanges]
            self.assertIn((headers[SEAL], status), sealed)
            self.assertEqual(body, BODY)
        self._check_log_line(status, ran=bool(may_have_run))

    def _check_log_line(self, status: int, *, ran: bool) -> None:
        (line,) = [line for line in self.lines if line.get("event") in ENDED_CALLS]
        self.assertEqual(line["status"], status)
        self.assertEqual(line["verdict"] != "not_run", ran)
        self.assertIn(
            line["server_status"], {answer.status for _, answer in self.exchanges} | {None}
        )

    @property
    def _request_id(self) -> str:
        return f"call-{self.calls}"

    async def _call(self, route: str) -> tuple[int, Any, bytes]:
        headers = {"X_Boragetiller_Attempt_Id": self._request_id}
        if ROUTES[route].get("sticky"):
            parts = f"{self.calls:x}:800,{self.calls:x}f:100"  # none that crashed an engine
            headers |= {"X_Boragetiller_Token_Counts": "900,16"}
            headers |= {"X_Boragetiller_Model": "m", "X_Boragetiller_Prefix_Hash": parts}
        async with self.harness.call(f"/{route}/{self.calls}", **headers) as response:
            try:
                return response.status, response.headers, await response.read()
            except aiohttp.ClientError:  # a stream that was cut off
                return response.status, {}, b""

    def _reset_health(self) -> None:
        for server in self.harness.router.registry.servers.by_name.values():
            server.health = ServerHealth()
            server.full_until_ms = 0

    async def _start(self) -> None:
        self.harness = RouterHarness(retry_slack=1e9)
        config = build_config(2)
        for route in config["routes"]:
            route["goal-ms"] = GOAL_MS
        self.harness.store.put("op/config", config)
        self.engines = []
        for group in ("shop", "engines"):
            for number in range(SERVERS_PER_GROUP):
                name = f"{group}-{number}"
                engine = ScriptedEngine(self._build_script(name))
                await engine.start()
                self.engines.append(engine)
                self.harness.store.register(name, engine, group)
        await self.harness.start()

    def _build_script(self, server: str) -> Any:
        async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
            self.exchanges.append((server, answer))
            if answer.framing == "reset":
                reset(writer)
                return
            writer.write(answer.build(request, server))
            await writer.drain()
            if answer.framing in ("close", "cut"):
                writer.close()

        return respond

    async def _close(self) -> None:
        await self.harness.close()
        for engine in self.engines:
            await engine.close()
        waits = asyncio.all_tasks() - {asyncio.current_task()}  # of the fake store
        for task in waits:
            task.cancel()
        await asyncio.gather(*waits, return_exceptions=True)


if __name__ == "__main__":
    unittest.main()
