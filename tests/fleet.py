"""A test fleet in one event loop: agents and routers with in-memory platform services."""

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
from boragetiller.platform_clients.clients import PlatformClients
from boragetiller.platform_clients.hosts import Host
from boragetiller.platform_clients.memory_hosts import MemoryHostList
from boragetiller.platform_clients.memory_store import MemoryStore
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
MODEL = "kopar-1"


def hash_key(key: str) -> str:
    """:return: SHA-256 hash of a bearer key, as stored in customer records"""
    return hashlib.sha256(key.encode()).hexdigest()


def build_sample_records(engines: tuple[str, ...], services: tuple[str, ...]) -> str:
    """
    Build records for one engine group and one plain-service group.

    :param engines: names of the agents in the engine group
    :param services: names of the agents in the service group
    :return: YAML documents of a customer, its request classes and the groups
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
            "key_hashes": [hash_key(KEY)],
            "classes": ["quote", "note", "booking"],
        },
    ]
    return yaml.safe_dump_all({"schema_version": 2, **each} for each in documents)


@attrs.define
class Fleet:
    """Starts and closes agents and routers; each one gets `settings`."""

    settings: dict[str, Any] = attrs.Factory(dict)
    clock: Clock = attrs.Factory(SystemClock)  # clock of agents and routers
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
        Start an agent and add its host to the host list.

        :param name: host name
        :param group: name of the backend group
        :param url: URL of the backend server
        :param kind: kind of the backend server
        :param silence_timeout_ms: time without data from the backend server that fails a call
        :param clock: clock of the agent, by default that of the fleet
        :param more: other settings of the process
        :return: the agent
        """
        backend = BackendSettings(
            name=f"{name}-server",
            group=group,
            kind=kind,
            url=url,
            silence_timeout_ms=silence_timeout_ms,
        )
        settings = self._build_settings(Role.AGENT, name, backend=backend, **more)
        agent = AgentProcess(settings, self._build_platform_clients(), clock=clock or self.clock)
        await agent.start()
        self.agents[name] = agent
        self.hosts.put(_build_host(name, "agent", agent.endpoints(), group))
        return agent

    async def add_router(self, name: str, **more: Any) -> RouterProcess:
        """
        Start a router and wait until it has applied the stored records.

        :param name: host name
        :param more: other settings of the process
        :return: the router
        """
        settings = self._build_settings(Role.ROUTER, name, **{"seed": 7, **more})
        router = RouterProcess(settings, self._build_platform_clients(), clock=self.clock)
        await router.start()
        self.routers.append(router)
        self.hosts.put(_build_host(name, "router", router.endpoints(), ""))
        await router.configured.wait()
        return router

    async def apply(self, records: str) -> None:
        """
        Write records through the writer of the command line.

        :param records: YAML documents
        """
        writer = RecordWriter(self.store, "vesturland", Random(1))
        results = await writer.write(parse_documents(records), 1_000)
        refused = [result for result in results if result.state is not WriteState.ACCEPTED]
        if refused:
            raise AssertionError(refused)

    async def start(self) -> None:
        """Open the HTTP session of the caller."""
        self.session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close the session and every process."""
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
        Send a request as a caller.

        :param router: router to send it to
        :param path: path with a leading slash
        :param body: JSON object or raw bytes
        :param headers: headers, with underscores in place of hyphens
        :return: context manager that yields the response
        """
        assert self.session is not None
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("Authorization", f"Bearer {KEY}")
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        return self.session.post(router.caller_listener.base_url + path, headers=named, **content)

    def _build_platform_clients(self) -> PlatformClients:
        return PlatformClients(self.store, self.hosts)

    def _build_settings(self, role: Role, name: str, **more: Any) -> Settings:
        return Settings(
            role=role,
            name=name,
            failure_domain="fd-1",
            control=ControlSettings(key="control-key"),
            operator=OperatorSettings(key="operator-key"),
            platform=PlatformSettings(store_url="", host_list_url=""),
            **{"lame_duck_ms": 0, **self.settings, **more},
        )


def _build_host(name: str, role: str, endpoints: Any, group: str) -> Host:
    return Host(
        name=name,
        role=role,
        address=LOOPBACK,
        data_port=endpoints.data_port,
        control_port=endpoints.control_port,
        failure_domain="fd-1",
        group=group,
    )


__all__ = ["KEY", "MODEL", "Fleet", "hash_key", "build_sample_records"]
