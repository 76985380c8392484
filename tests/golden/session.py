"""Recording of sessions: requests, routing decisions, log events and responses as text."""

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
from boragetiller.standin.engine_simulation import EngineSimulationSettings
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
STATE_POLL_INTERVAL_S = 0.005
STATE_TIMEOUT_S = 20.0
SHOWN_HEADERS = ("Content-Type", "Retry-After", "x-request-id", "x-verdict")
FIRST_CONTROL_EVENT = 700  # number and order of control events depend on when peers connect


class Session:
    """A fleet with a stopped clock, and the transcript of its requests and events."""

    def __init__(self, title: str) -> None:
        """:param title: first line of the transcript"""
        self.fleet = Fleet(clock=ManualClock(1_000_000))
        self.engines: dict[str, EngineServer] = {}
        self.services: dict[str, ServiceServer] = {}
        self._lines = [f"# {title}"]
        self._events: list[str] = []
        self._log_sink_id = 0
        self._recording = False

    async def start(self) -> None:
        """Start the fleet and the capture of log events."""
        self._log_sink_id = logger.add(self._record_event, level="INFO", format="{message}")
        await self.fleet.start()

    async def close(self) -> None:
        """Close the fleet, the backend servers and the capture of log events."""
        await self.fleet.close()
        for server in (*self.engines.values(), *self.services.values()):
            await server.close()
        logger.remove(self._log_sink_id)

    async def add_engine(
        self, name: str, *, step_ms: float = FAST_STEP_MS, **settings: Any
    ) -> EngineServer:
        """
        Start an engine and its agent.

        :param name: host name
        :param step_ms: duration of a decoding step in milliseconds
        :param settings: other settings of the agent
        :return: the engine
        """
        simulation = EngineSimulationSettings(step_ms=step_ms)
        engine = EngineServer(EngineSettings(simulation=simulation, restart_ms=60_000))
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
        )  # claim commits are timed by the clock
        return service

    async def add_router(self, name: str, seed: int = 7) -> RouterProcess:
        """
        Start a router and wait until it has a report from every agent.

        :param name: host name
        :param seed: seed of its random numbers, which request IDs are derived from
        :return: the router
        """
        router = await self.fleet.add_router(name, seed=seed)
        entries = router.agents.entries
        await self.wait_until(lambda: _have_reported(entries, self.fleet.agents))
        return router

    async def change(self, records: str, is_applied: Callable[[ConfigTable], bool]) -> None:
        """
        Apply changed records and wait until every process uses them.

        :param records: YAML documents
        :param is_applied: returns whether a configuration has the change
        """
        await self.fleet.apply(records)
        processes = (*self.fleet.routers, *self.fleet.agents.values())
        await self.wait_until(lambda: all(is_applied(process.config) for process in processes))

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """
        Wait until a condition holds.

        :param condition: polled until it returns True
        """
        await wait_with_timeout(STATE_TIMEOUT_S, _poll(condition))

    @asynccontextmanager
    async def call(
        self, router: RouterProcess, path: str, body: dict[str, Any], **headers: str
    ) -> AsyncIterator[Call]:
        """
        Send a request; its response is recorded when the context ends.

        :param router: router to send it to
        :param path: path with a leading slash
        :param body: JSON object
        :param headers: headers, with underscores in place of hyphens
        :return: context manager that yields the call
        """
        await self._start_recording()
        self.add_line("request", f"POST {path} to {router.settings.name}")
        for name, value in headers.items():
            self._lines.append(f"  {name.replace('_', '-')}: {value}")
        self._lines.append(f"  {json.dumps(body)}")
        async with self.fleet.post(router, path, body, **headers) as response:
            call = Call(router, response)
            yield call
            await call.read()
        await self.settle()
        self._record_response(call)

    async def send(
        self, router: RouterProcess, path: str, body: dict[str, Any], **headers: str
    ) -> None:
        """
        Send a request and record its complete response.

        :param router: router to send it to
        :param path: path with a leading slash
        :param body: JSON object
        :param headers: headers, with underscores in place of hyphens
        """
        async with self.call(router, path, body, **headers):
            pass

    async def settle(self) -> None:
        """Wait until agents have finished the requests that have ended at the routers."""
        router_servers = [router.server for router in self.fleet.routers]
        in_progress = sum(server.in_progress for server in router_servers)
        agents = self.fleet.agents.values()
        await self.wait_until(
            lambda: sum(agent.server.in_progress for agent in agents) <= in_progress
        )

    def add_line(self, kind: str, text: str) -> None:
        """
        Add a line to the transcript.

        :param kind: subject of the line
        :param text: text of the line
        """
        self._lines += ["", f"{kind}: {text}"]

    def text(self) -> str:
        """:return: the transcript"""
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

    async def _start_recording(self) -> None:
        """
        Wait for the configuration and discard the events logged so far.

        The order of those events depends on the order in which the processes connect.
        """
        if self._recording:
            return
        processes = (*self.fleet.routers, *self.fleet.agents.values())
        await self.wait_until(
            lambda: all(len(process.config.classes) == 3 for process in processes)
        )
        await self.wait_until(lambda: all(process.config.customers for process in processes))
        await self.wait_until(lambda: all(len(process.config.groups) == 2 for process in processes))
        self._recording = True
        self._events.clear()

    def _record_response(self, call: Call) -> None:
        response = call.response
        request_id = response.headers["x-request-id"]
        self.add_line("answer", f"{response.status} {request_id}")
        for name in SHOWN_HEADERS:
            if name in response.headers:
                self._lines.append(f"  {name}: {response.headers[name]}")
        self._lines += [f"  | {line}" for line in call.content.decode().splitlines()]
        self.add_line("decisions", request_id)
        trace = call.router.traces.get(request_id)
        steps = trace.steps if trace is not None else []
        self._lines += [f"  {step.step} {step.detail}".rstrip() for step in steps]

    def _record_event(self, message: Message) -> None:
        extra = dict(message.record["extra"])
        number = extra.pop("event", None)
        if number is None or number >= FIRST_CONTROL_EVENT:
            return
        name = message.record["message"].split()[1]
        fields = " ".join(f"{field}={value}" for field, value in extra.items())
        self._events.append(f"  {number} {name} {fields}".rstrip())


class Call:
    """A request in progress."""

    def __init__(self, router: RouterProcess, response: aiohttp.ClientResponse) -> None:
        """
        Create the call.

        :param router: router that the request was sent to
        :param response: the response, with its body unread
        """
        self.router = router
        self.response = response
        self.content = b""

    async def read_first_event(self) -> None:
        """Read the first event of a streamed response."""
        self.content += await self.response.content.readuntil(b"\n\n")

    async def read(self) -> None:
        """Read the rest of the response."""
        try:
            async for chunk in self.response.content.iter_any():
                self.content += chunk
        except aiohttp.ClientPayloadError:
            self.content += b"\n(cut off)"


def chat(prompt: str, **more: object) -> dict[str, Any]:
    """
    Build the body of a chat completion.

    :param prompt: text of the user message
    :param more: other fields of the body
    :return: JSON object
    """
    return {"model": MODEL, "messages": [{"role": "user", "content": prompt}], **more}


def _have_reported(entries: Any, agents: Any) -> bool:
    return all(name in entries and entries[name].incarnation for name in agents)


async def _poll(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(STATE_POLL_INTERVAL_S)


__all__ = ["CHAT", "SLOW_STEP_MS", "Call", "Session", "chat"]
