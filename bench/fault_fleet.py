"""A fleet on loopback with faults of its processes, store and backend servers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import attrs

from bench.fault_processes import FaultyProcess
from boragetiller.cli.writer import RecordWriter
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.records.documents import parse_documents
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ClaimSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.standin.engine import EngineServer
from boragetiller.standin.engine_settings import EngineSettings
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings
from boragetiller.standin.service import ServiceServer, ServiceSettings
from tests.fleet import build_sample_records

LOOPBACK = "127.0.0.1"
ROUTERS = ("router-1", "router-2")
ENGINES = ("pool-1", "pool-2", "pool-3", "pool-4")
SERVICES = ("app-1", "app-2", "app-3")
CLAIMS = ClaimSettings(
    memory_after_ms=3_000,
    renew_ms=700,
    pause_limit_ms=700,
    max_clock_skew_ms=100,
    commit_interval_ms=50,
    commit_timeout_ms=8_000,
    poll_ms=100,
    rebalance_after_ms=2_000,
    release_timeout_ms=1_500,
    retry_horizon_ms=10_000,
    max_call_age_ms=5_000,
)


@attrs.define
class FaultFleet:
    """Two routers, and four engines and three plain services with an agent each."""

    platform: PlatformServer = attrs.Factory(lambda: PlatformServer(PlatformServerSettings()))
    engines: dict[str, EngineServer] = attrs.Factory(dict)
    services: dict[str, ServiceServer] = attrs.Factory(dict)
    processes: dict[str, FaultyProcess] = attrs.Factory(dict)
    caller_urls: dict[str, str] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)
    replaced_processes: list[FaultyProcess | None] = attrs.Factory(
        list
    )  # retained: they must not be finalized

    async def start(self) -> None:
        """Start all servers and processes, and wait until the routers have their records."""
        await self.platform.start()
        await self._apply(build_sample_records(ENGINES, SERVICES))
        for name in ENGINES:
            self.engines[name] = EngineServer(EngineSettings(restart_ms=500))
            await self.engines[name].start()
        for name in SERVICES:
            self.services[name] = ServiceServer(ServiceSettings(delay_ms=20))
            await self.services[name].start()
        for name in (*ENGINES, *SERVICES, *ROUTERS):
            await self.start_process(name)
        for name in ROUTERS:
            await self.processes[name].wait_until_configured()

    async def close(self) -> None:
        """Stop all processes and servers that still run."""
        for process in self.processes.values():
            if process.alive:
                await process.stop()
        for server in (*self.engines.values(), *self.services.values(), self.platform):
            await server.close()

    async def start_process(self, name: str) -> None:
        """
        Start or restart a router or agent, and add its host to the host list.

        :param name: host name
        """
        process = FaultyProcess(self._settings(name))
        self.replaced_processes.append(self.processes.get(name))
        endpoints = await process.start()
        self.processes[name] = process
        host = Host(
            name=name,
            role=endpoints.role,
            address=LOOPBACK,
            data_port=endpoints.data_port,
            control_port=endpoints.control_port,
            failure_domain="fd-1",
            group=_get_group(name),
        )
        self.hosts[name] = host
        self.platform.host_list.put(host)
        if name in ROUTERS:
            self.caller_urls[name] = f"http://{LOOPBACK}:{endpoints.data_port}"

    async def stop_process(self, name: str) -> None:
        """
        Mark a host as leaving on the host list, and stop its process gracefully.

        :param name: host name
        """
        self.platform.host_list.put(attrs.evolve(self.hosts[name], state=HostState.LEAVING))
        await self.processes[name].stop()

    def count_runs_of_key(self, key: str) -> int:
        """:return: how many times all plain services together ran a key"""
        return sum(server.ledger.by_key[key] for server in self.services.values())

    def count_runs_of_request(self, request_id: str) -> int:
        """:return: how many times all backend servers together ran a request"""
        servers = (*self.services.values(), *self.engines.values())
        return sum(server.ledger.by_request_id[request_id] for server in servers)

    def count_engine_crashes(self) -> int:
        """:return: number of crashes of all engines"""
        return sum(server.ledger.crashes for server in self.engines.values())

    async def _apply(self, records: str) -> None:
        writer = RecordWriter(self.platform.store, "vesturland", Random(1))
        await writer.write(parse_documents(records), 1_000)
        await asyncio.sleep(0)

    def _settings(self, name: str) -> Settings:
        url = self.platform.url
        backend_settings: dict[str, Any] = {}
        if name not in ROUTERS:
            kind = BackendKind.ENGINE if name in ENGINES else BackendKind.SERVICE
            server = self.engines.get(name) or self.services[name]
            backend_settings["backend"] = BackendSettings(
                name=f"{name}-server", group=_get_group(name), kind=kind, url=server.url
            )
        return Settings(
            role=Role.ROUTER if name in ROUTERS else Role.AGENT,
            name=name,
            failure_domain="fd-1",
            control=ControlSettings(key="control-key"),
            operator=OperatorSettings(key="operator-key"),
            platform=PlatformSettings(
                store_url=url, host_list_url=url, host_list_interval_ms=200, timeout_ms=500
            ),
            claims=CLAIMS,
            **backend_settings,
        )


def _get_group(name: str) -> str:
    if name in ROUTERS:
        return ""
    return "pool" if name in ENGINES else "app"


__all__ = ["ENGINES", "ROUTERS", "SERVICES", "FaultFleet"]
