"""Runs small versions of both user deployments in one process, over real sockets."""

from __future__ import annotations

import asyncio
import time
from importlib import resources
from random import Random
from typing import TYPE_CHECKING

import attrs

from boragetiller.agent.process import AgentProcess
from boragetiller.cli.writer import RecordWriter
from boragetiller.errors import BoragetillerError
from boragetiller.platform_clients.clients import open_http_clients
from boragetiller.platform_clients.hosts import Host
from boragetiller.records.documents import parse_documents
from boragetiller.records.writes import WriteState
from boragetiller.router.process import RouterProcess
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    ListenSettings,
    OperatorSettings,
    OrderSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.standin.engine_simulation import EngineSimulationSettings
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings
from boragetiller.standin.service import ServiceServer, ServiceSettings
from boragetiller.standin.web_server import ListenAddress

if TYPE_CHECKING:
    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.process import Endpoints

LOOPBACK = "127.0.0.1"
OPERATOR_KEY = "demo-operator"
CONTROL_KEY = "demo-control"
CUSTOMER_KEYS = {"kopar-vakt": "demo-kopar", "kalisz-dzial-deszczowki": "demo-kalisz"}
READY_TIMEOUT_S = 10.0
READY_POLL_INTERVAL_S = 0.02


@attrs.frozen(kw_only=True)
class DemoGroup:
    """A backend group of the demo and the failure domains of its servers."""

    name: str
    kind: BackendKind
    region: str
    failure_domains: tuple[str, ...]
    models: tuple[str, ...] = ()


GROUPS = (
    DemoGroup(
        name="tiller-pool",
        kind=BackendKind.ENGINE,
        region="vesturland",
        failure_domains=("vl-a", "vl-b"),
        models=("kopar-1",),
    ),
    DemoGroup(
        name="lager-app",
        kind=BackendKind.SERVICE,
        region="vesturland",
        failure_domains=("vl-b", "vl-c"),
    ),
    DemoGroup(
        name="model-doradca",
        kind=BackendKind.ENGINE,
        region="wielkopolska",
        failure_domains=("strefa-n", "strefa-s"),
        models=("doradca-1",),
    ),
    DemoGroup(
        name="sklep-app",
        kind=BackendKind.SERVICE,
        region="wielkopolska",
        failure_domains=("strefa-s", "strefa-ostrow"),
    ),
)
ROUTERS = (("router-1", "vesturland", "vl-a"), ("router-2", "wielkopolska", "strefa-n"))


@attrs.frozen(kw_only=True)
class DemoSettings:
    """Ports and speed; the platform listens on `port`, the routers on the ports that follow."""

    port: int = 8470  # 0 picks free ports
    step_ms: float = 20.0
    order_check_ms: int = 1_000
    seed: int = 1


class Demo:
    """Stand-ins of the platform and the backend servers, with agents and two routers."""

    def __init__(self, settings: DemoSettings) -> None:
        """:param settings: ports and speed"""
        self._settings = settings
        listen = ListenAddress(port=settings.port)
        self.platform = PlatformServer(PlatformServerSettings(listen=listen))
        self.engines: dict[str, EngineServer] = {}
        self.services: dict[str, ServiceServer] = {}
        self.agents: dict[str, AgentProcess] = {}
        self.routers: list[RouterProcess] = []
        self._clients: list[PlatformClients] = []

    async def start(self) -> None:
        """
        Start everything and wait until both routers have loaded the configuration.

        :raises OSError: a port is in use
        :raises BoragetillerError: the records could not be written or were not accepted
        :raises TimeoutError: a router did not load the configuration in time
        """
        await self.platform.start()
        await self._write_records()
        for group in GROUPS:
            for number, failure_domain in enumerate(group.failure_domains, start=1):
                await self._start_backend(group, f"{group.name}-{number}", failure_domain)
        for number, (name, region, failure_domain) in enumerate(ROUTERS):
            await self._start_router(number, name, region, failure_domain)
        await self._wait_until_ready()

    async def close(self) -> None:
        """Stop gracefully: routers first, then agents, clients, backend servers and platform."""
        await asyncio.gather(*(router.close() for router in self.routers))
        await asyncio.gather(*(agent.close() for agent in self.agents.values()))
        for clients in self._clients:
            await clients.close()
        for engine in self.engines.values():
            await engine.close()
        for service in self.services.values():
            await service.close()
        await self.platform.close()

    async def _write_records(self) -> None:
        text = resources.files("boragetiller.standin").joinpath("records/demo.yaml").read_text()
        clients = await self._open_clients()
        writer = RecordWriter(clients.store, "demo", Random(self._settings.seed))
        results = await writer.write(
            parse_documents(text, source="demo.yaml"), _read_wall_clock_ms()
        )
        for result in results:
            if result.state is not WriteState.ACCEPTED:
                raise BoragetillerError(f"{result.record_id} was not accepted: {result.message}")

    async def _start_backend(self, group: DemoGroup, name: str, failure_domain: str) -> None:
        server: EngineServer | ServiceServer
        if group.kind is BackendKind.ENGINE:
            simulation = EngineSimulationSettings(step_ms=self._settings.step_ms)
            server = EngineServer(EngineSettings(models=group.models, simulation=simulation))
            self.engines[name] = server
        else:
            server = ServiceServer(ServiceSettings())
            self.services[name] = server
        await server.start()
        backend = BackendSettings(
            name=f"{name}-server", group=group.name, kind=group.kind, url=server.url
        )
        settings = self._build_process_settings(
            Role.AGENT, name, group.region, failure_domain, backend=backend
        )
        agent = AgentProcess(settings, await self._open_clients())
        self.agents[name] = agent
        await agent.start()
        self.platform.host_list.put(_build_host(settings, agent.endpoints()))

    async def _start_router(self, number: int, name: str, region: str, failure_domain: str) -> None:
        first_port = self._settings.port + 1 + 2 * number if self._settings.port else 0
        settings = self._build_process_settings(
            Role.ROUTER,
            name,
            region,
            failure_domain,
            port=first_port,
            operator_port=first_port + 1 if first_port else 0,
        )
        router = RouterProcess(settings, await self._open_clients())
        self.routers.append(router)
        await router.start()
        self.platform.host_list.put(_build_host(settings, router.endpoints()))

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(router.config.ready for router in self.routers):  # noqa: ASYNC110
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _open_clients(self) -> PlatformClients:
        clients = await open_http_clients(self._build_platform_settings())
        self._clients.append(clients)
        return clients

    def _build_platform_settings(self) -> PlatformSettings:
        url = self.platform.url
        return PlatformSettings(store_url=url, host_list_url=url, weight_store_url=url)

    def _build_process_settings(
        self,
        role: Role,
        name: str,
        region: str,
        failure_domain: str,
        *,
        port: int = 0,
        operator_port: int = 0,
        backend: BackendSettings | None = None,
    ) -> Settings:
        return Settings(
            role=role,
            name=name,
            region=region,
            failure_domain=failure_domain,
            listen=ListenSettings(port=port),
            control=ControlSettings(key=CONTROL_KEY),
            operator=OperatorSettings(port=operator_port, key=OPERATOR_KEY),
            platform=self._build_platform_settings(),
            orders=OrderSettings(check_interval_ms=self._settings.order_check_ms),
            backend=backend,
        )


def _build_host(settings: Settings, endpoints: Endpoints) -> Host:
    return Host(
        name=settings.name,
        role=settings.role.value,
        address=LOOPBACK,
        data_port=endpoints.data_port,
        control_port=endpoints.control_port,
        failure_domain=settings.failure_domain,
        region=settings.region,
        group=settings.backend.group if settings.backend else "",
    )


def _read_wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


__all__ = ["CUSTOMER_KEYS", "OPERATOR_KEY", "Demo", "DemoSettings"]
