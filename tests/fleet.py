"""A small fleet in one event loop: memory platform, stand-in backends, real agents and routers."""

from __future__ import annotations

import hashlib
from random import Random
from typing import Any

import aiohttp
import attrs
import yaml

from boragetiller.agent.process import AgentProcess
from boragetiller.cli.writer import RecordWriter
from boragetiller.clock import Clock, SystemClock
from boragetiller.platform.clients import PlatformClients
from boragetiller.platform.hosts import Host
from boragetiller.platform.memory import MemoryStore
from boragetiller.platform.memory_hosts import MemoryHostList
from boragetiller.records.documents import parse_documents
from boragetiller.records.writes import WriteState
from boragetiller.router.process import RouterProcess
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)

KEY = "test-key"
LOOPBACK = "127.0.0.1"
GRACE_MS = 20
MODEL = "kopar-1"


def key_hash(key: str) -> str:
    """:return: what the records keep of a bearer key"""
    return hashlib.sha256(key.encode()).hexdigest()


def sample_records(engines: tuple[str, ...], services: tuple[str, ...]) -> str:
    """
    Write records for one engine group and one plain-service group.

    :param engines: agents of the engine group
    :param services: agents of the service group
    :return: YAML documents of customer, classes and groups
    """
    documents: list[dict[str, Any]] = [
        {"kind": "group", "name": "pool", "members": list(engines), "models": [MODEL]},
        {"kind": "group", "name": "app", "backend": "service", "members": list(services)},
        {"kind": "class", "name": "quote", "group": "pool", "tier": 0, "protected": True},
        {"kind": "class", "name": "note", "group": "pool", "tier": 3},
        {"kind": "class", "name": "booking", "group": "app", "tier": 0, "idempotent": False},
        {
            "kind": "customer",
            "name": "acme",
            "key_hashes": [key_hash(KEY)],
            "classes": ["quote", "note", "booking"],
        },
    ]
    return yaml.safe_dump_all({"schema_version": 2, **each} for each in documents)


@attrs.define
class Fleet:
    """Starts and closes everything; `settings` go to each process."""

    settings: dict[str, Any] = attrs.Factory(dict)
    clock: Clock = attrs.Factory(SystemClock)  # of agents and routers
    store: MemoryStore = attrs.Factory(lambda: MemoryStore(SystemClock()))
    hosts: MemoryHostList = attrs.Factory(lambda: MemoryHostList(SystemClock()))
    agents: dict[str, AgentProcess] = attrs.Factory(dict)
    routers: list[RouterProcess] = attrs.Factory(list)
    session: aiohttp.ClientSession | None = None

    async def add_agent(
        self,
        name: str,
        group: str,
        url: str,
        kind: BackendKind = BackendKind.ENGINE,
        *,
        silence_timeout_ms: int = 30_000,
        clock: Clock | None = None,
        **more: Any,
    ) -> AgentProcess:
        """
        Start an agent and list its host.

        :param name: host name
        :param group: backend group
        :param url: its backend server
        :param kind: what the backend server is
        :param silence_timeout_ms: how long the backend server may stay silent
        :param clock: monotonic time of this agent, by default that of the fleet
        :param more: further settings
        :return: the agent
        """
        backend = BackendSettings(
            name=f"{name}-server",
            group=group,
            kind=kind,
            url=url,
            silence_timeout_ms=silence_timeout_ms,
        )
        settings = self._settings(Role.AGENT, name, backend=backend, **more)
        agent = AgentProcess(settings, self._platform(), clock=clock or self.clock)
        await agent.start()
        self.agents[name] = agent
        self.hosts.put(_host(name, "agent", agent.endpoints(), group))
        return agent

    async def add_router(self, name: str, **more: Any) -> RouterProcess:
        """
        Start a router and wait until the stored records are in force.

        :param name: host name
        :param more: further settings
        :return: the router
        """
        settings = self._settings(Role.ROUTER, name, **{"seed": 7, **more})
        router = RouterProcess(settings, self._platform(), clock=self.clock)
        await router.start()
        self.routers.append(router)
        self.hosts.put(_host(name, "router", router.endpoints(), ""))
        await router.configured.wait()
        return router

    async def apply(self, records: str) -> None:
        """
        Write records as an operator would.

        :param records: YAML documents
        """
        writer = RecordWriter(self.store, "vesturland", Random(1))
        results = await writer.write(parse_documents(records), 1_000)
        refused = [result for result in results if result.state is not WriteState.ACCEPTED]
        if refused:
            raise AssertionError(refused)

    async def start(self) -> None:
        """Open the callers' session."""
        self.session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close every process."""
        if self.session is not None:
            await self.session.close()
        for router in self.routers:
            await router.close()
        for agent in self.agents.values():
            await agent.close()

    def post(
        self, router: RouterProcess, path: str, body: dict[str, Any] | bytes, **headers: str
    ) -> Any:
        """
        Send a caller's request.

        :param router: which router
        :param path: path with leading slash
        :param body: JSON object or raw bytes
        :param headers: headers, underscores for dashes
        :return: context manager of the response
        """
        assert self.session is not None
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("Authorization", f"Bearer {KEY}")
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        return self.session.post(router.callers.base_url + path, headers=named, **content)

    def _platform(self) -> PlatformClients:
        return PlatformClients(self.store, self.hosts)

    def _settings(self, role: Role, name: str, **more: Any) -> Settings:
        return Settings(
            role=role,
            name=name,
            failure_domain="fd-1",
            control=ControlSettings(key="control-key"),
            operator=OperatorSettings(key="operator-key"),
            platform=PlatformSettings(store_url="", host_list_url=""),
            **{"drain_grace_ms": GRACE_MS, "lame_duck_ms": 0, **self.settings, **more},
        )


def _host(name: str, role: str, endpoints: Any, group: str) -> Host:
    return Host(
        name=name,
        role=role,
        address=LOOPBACK,
        data_port=endpoints.data_port,
        control_port=endpoints.control_port,
        failure_domain="fd-1",
        group=group,
    )


__all__ = ["KEY", "MODEL", "Fleet", "key_hash", "sample_records"]
