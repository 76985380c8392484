"""Run a session and write down its requests, decisions, events and answers."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
from loguru import logger

from boragetiller.clock import ManualClock, SystemClock
from boragetiller.settings import BackendKind, OrderSettings
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_model import EngineModelSettings
from boragetiller.standin.service import ServiceServer, ServiceSettings
from boragetiller.timeouts import wait_with_timeout
from tests.fleet import MODEL, Fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from loguru import Message

    from boragetiller.router.process import RouterProcess
    from boragetiller.tables.config import ConfigTable

CHAT = "/v1/chat/completions"
FAST_STEP_MS = 2.0
SLOW_STEP_MS = 300.0
STATE_CHECK_S = 0.005
STATE_TIMEOUT_S = 20.0
SHOWN_HEADERS = ("Content-Type", "Retry-After", "x-request-id", "x-verdict")
FIRST_CONTROL_EVENT = 700  # their number and order depend on when peers connect


class Session:
    """A fleet whose clock stands still, and the text of what it did."""

    def __init__(self, title: str) -> None:
        """:param title: first line of the text"""
        self.fleet = Fleet(clock=ManualClock(1_000_000))
        self.engines: dict[str, EngineServer] = {}
        self.services: dict[str, ServiceServer] = {}
        self._lines = [f"# {title}"]
        self._events: list[str] = []
        self._sink = 0
        self._began = False

    async def start(self) -> None:
        """Begin to listen to events."""
        self._sink = logger.add(self._take_event, level="INFO", format="{message}")
        await self.fleet.start()

    async def close(self) -> None:
        """Close the fleet."""
        await self.fleet.close()
        for server in (*self.engines.values(), *self.services.values()):
            await server.close()
        logger.remove(self._sink)

    async def add_engine(
        self, name: str, *, step_ms: float = FAST_STEP_MS, **settings: Any
    ) -> EngineServer:
        """
        Start an engine and its agent.

        :param name: host name
        :param step_ms: time of one decoding step
        :param settings: further settings of the agent
        :return: the engine
        """
        model = EngineModelSettings(step_ms=step_ms)
        engine = EngineServer(EngineSettings(model=model, restart_ms=60_000))
        await engine.start()
        self.engines[name] = engine
        await self.fleet.add_agent(
            name,
            "pool",
            engine.url,
            clock=SystemClock(),
            orders=OrderSettings(enabled=False),
            **settings,
        )
        return engine

    async def add_service(self, name: str) -> ServiceServer:
        """
        Start a plain service and its agent.

        :param name: host name
        :return: the service
        """
        service = ServiceServer(ServiceSettings())
        await service.start()
        self.services[name] = service
        await self.fleet.add_agent(
            name, "app", service.url, BackendKind.SERVICE, clock=SystemClock()
        )  # commits of claims are paced
        return service

    async def add_router(self, name: str, seed: int = 7) -> RouterProcess:
        """
        Start a router and wait until it hears from every agent.

        :param name: host name
        :param seed: of its random choices, request ids among them
        :return: the router
        """
        router = await self.fleet.add_router(name, seed=seed)
        entries = router.agents.entries
        await self.until(lambda: _heard_from(entries, self.fleet.agents))
        return router

    async def change(self, records: str, in_force: Callable[[ConfigTable], bool]) -> None:
        """
        Change records and wait until every process has the change.

        :param records: YAML documents that change
        :param in_force: tells whether a configuration has the change
        """
        await self.fleet.apply(records)
        processes = (*self.fleet.routers, *self.fleet.agents.values())
        await self.until(lambda: all(in_force(process.config) for process in processes))

    async def until(self, condition: Callable[[], bool]) -> None:
        """
        Wait for a state.

        :param condition: tells whether it is reached
        """
        await wait_with_timeout(STATE_TIMEOUT_S, _poll(condition))

    @asynccontextmanager
    async def call(
        self, router: RouterProcess, path: str, body: dict[str, Any], **headers: str
    ) -> AsyncIterator[Call]:
        """
        Send a request; its answer is written down when the context ends.

        :param router: which router
        :param path: path with leading slash
        :param body: JSON object
        :param headers: headers, underscores for dashes
        :return: the call
        """
        await self._begin()
        self.note("request", f"POST {path} to {router.settings.name}")
        for name, value in headers.items():
            self._lines.append(f"  {name.replace('_', '-')}: {value}")
        self._lines.append(f"  {json.dumps(body)}")
        async with self.fleet.post(router, path, body, **headers) as response:
            call = Call(router, response)
            yield call
            await call.read()
        await self.settle()
        self._write_answer(call)

    async def ask(
        self, router: RouterProcess, path: str, body: dict[str, Any], **headers: str
    ) -> None:
        """
        Send a request and write down its whole answer.

        :param router: which router
        :param path: path with leading slash
        :param body: JSON object
        :param headers: headers, underscores for dashes
        """
        async with self.call(router, path, body, **headers):
            pass

    async def settle(self) -> None:
        """Wait until no agent works on an ended request."""
        running = [router.server for router in self.fleet.routers]
        busy = sum(server.in_progress for server in running)
        agents = self.fleet.agents.values()
        await self.until(lambda: sum(agent.server.in_progress for agent in agents) <= busy)

    def note(self, kind: str, text: str) -> None:
        """
        Write a line.

        :param kind: what the line is about
        :param text: what happened
        """
        self._lines += ["", f"{kind}: {text}"]

    def text(self) -> str:
        """:return: the whole session"""
        events = sorted(self._events)
        return "\n".join(
            [
                *self._lines,
                "",
                "events of all processes from the first request on, sorted:",
                *events,
                "",
            ]
        )

    async def _begin(self) -> None:
        """Leave out the events of the start, whose order depends on who connects first."""
        if self._began:
            return
        processes = (*self.fleet.routers, *self.fleet.agents.values())
        await self.until(lambda: all(len(process.config.classes) == 3 for process in processes))
        await self.until(lambda: all(process.config.customers for process in processes))
        await self.until(lambda: all(len(process.config.groups) == 2 for process in processes))
        self._began = True
        self._events.clear()

    def _write_answer(self, call: Call) -> None:
        response = call.response
        request_id = response.headers["x-request-id"]
        self.note("answer", f"{response.status} {request_id}")
        for name in SHOWN_HEADERS:
            if name in response.headers:
                self._lines.append(f"  {name}: {response.headers[name]}")
        self._lines += [f"  | {line}" for line in call.content.decode().splitlines()]
        self.note("decisions", request_id)
        trace = call.router.traces.get(request_id)
        steps = trace.steps if trace is not None else []
        self._lines += [f"  {step.step} {step.detail}".rstrip() for step in steps]

    def _take_event(self, message: Message) -> None:
        extra = dict(message.record["extra"])
        number = extra.pop("event", None)
        if number is None or number >= FIRST_CONTROL_EVENT:
            return
        name = message.record["message"].split()[1]
        fields = " ".join(f"{field}={value}" for field, value in extra.items())
        self._events.append(f"  {number} {name} {fields}".rstrip())


class Call:
    """One request on its way."""

    def __init__(self, router: RouterProcess, response: aiohttp.ClientResponse) -> None:
        """
        Prepare the call.

        :param router: where it was sent
        :param response: the response, whose body was not read
        """
        self.router = router
        self.response = response
        self.content = b""

    async def first_event(self) -> None:
        """Wait for the first event of a streamed answer."""
        self.content += await self.response.content.readuntil(b"\n\n")

    async def read(self) -> None:
        """Read the rest of the answer."""
        try:
            async for chunk in self.response.content.iter_any():
                self.content += chunk
        except aiohttp.ClientPayloadError:
            self.content += b"\n(cut off)"


def chat(prompt: str, **more: object) -> dict[str, Any]:
    """
    Build the body of a chat completion.

    :param prompt: the question
    :param more: further fields
    :return: an object for JSON
    """
    return {"model": MODEL, "messages": [{"role": "user", "content": prompt}], **more}


def _heard_from(entries: Any, agents: Any) -> bool:
    return all(name in entries and entries[name].incarnation for name in agents)


async def _poll(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(STATE_CHECK_S)


__all__ = ["CHAT", "SLOW_STEP_MS", "Call", "Session", "chat"]
