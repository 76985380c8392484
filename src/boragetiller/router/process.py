"""The router process: builds, starts and stops all parts of the role."""

from __future__ import annotations

import asyncio
import secrets
from random import Random
from typing import TYPE_CHECKING

from boragetiller.caller_limits.server import INTERNAL_PORT_CONNECTIONS
from boragetiller.clock import SystemClock, new_incarnation
from boragetiller.control.router_node import RouterDependencies, RouterNode
from boragetiller.events import Event, log_event
from boragetiller.http_server import HttpServer, build_caller_budget
from boragetiller.installation.build_info import get_build_info
from boragetiller.operator_api import build_operator_app
from boragetiller.process import Endpoints, build_metrics
from boragetiller.process_start import log_process_started
from boragetiller.router.agent_client import AgentClient
from boragetiller.router.agent_selector import AgentSelector
from boragetiller.router.config_sync import ConfigSync
from boragetiller.router.control_adapters import (
    ShardOwnersAdapter,
    ShareLenderAdapter,
    build_group_members_getter,
)
from boragetiller.router.customer_limits import CustomerLimits
from boragetiller.router.dispatcher import RequestDispatcher
from boragetiller.router.host_list_poller import HostListPoller
from boragetiller.router.load_balancer import LoadBalancer
from boragetiller.router.operator import add_router_routes
from boragetiller.router.quarantine import Quarantine
from boragetiller.router.server import CallerServer
from boragetiller.router.shard_owners import ShardOwners
from boragetiller.router.traces import TraceTable
from boragetiller.tables.agents import AgentTable
from boragetiller.tables.config import ConfigTable
from boragetiller.timeouts import wait_until_idle

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.platform_clients.hosts import Host
    from boragetiller.settings import Settings

SEED_BITS = 64
MAINTENANCE_INTERVAL_S = 1.0


class RouterProcess:
    """A router on an entry host."""

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        *,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """
        Build the parts.

        :param settings: settings of the process
        :param platform: clients of the platform's services
        :param clock: monotonic time
        :param metrics: counters
        """
        self.settings = settings
        self.platform = platform
        self.clock = clock or SystemClock()
        self.metrics = metrics or build_metrics(settings)
        self.incarnation = new_incarnation()
        seed = secrets.randbits(SEED_BITS) if settings.seed is None else settings.seed
        # the name makes request ids differ between routers
        self.rng = Random(f"{seed}/{settings.name}")
        self.config = ConfigTable()
        self.configured = asyncio.Event()
        self.agents = AgentTable()
        self.sync = ConfigSync(platform.store, self.config, settings, self.clock, self._on_config)
        self.traces = TraceTable(self.clock)
        self.client = AgentClient(settings)
        self.limits = CustomerLimits(settings, self.clock)
        self.shard_owners = ShardOwners()
        self.quarantine = Quarantine(settings.strikes, self.clock)
        self.node = self._build_node()
        self.host_list_poller = HostListPoller(
            settings, platform.hosts, self._on_hosts, self.metrics
        )
        self.load_balancer = LoadBalancer(
            settings, self.agents, self.node.members, self.config, self.clock, self.rng
        )
        self.agent_selector = AgentSelector(self.load_balancer, self.shard_owners, self.quarantine)
        self.dispatcher = RequestDispatcher(
            settings,
            self.agent_selector,
            self.client,
            self.traces,
            self.clock,
            self.metrics,
            self.rng,
        )
        self.server = CallerServer(
            settings,
            self.config,
            self.dispatcher,
            self.limits,
            self.sync,
            self.traces,
            self.metrics,
            self.rng,
        )
        budget = build_caller_budget(settings.limits, self.metrics, "router")
        self.caller_listener = HttpServer(
            self.server.build_app(),
            settings.listen.address,
            settings.listen.port,
            limits=settings.limits,
            tls=settings.listen.tls,
            count_refusal=self.server.count_refusal,
            budget=budget,
        )
        operator_routes = build_operator_app(settings.operator, self.metrics)
        add_router_routes(operator_routes, self)
        self.operator = HttpServer(
            operator_routes,
            settings.operator.address,
            settings.operator.port,
            limits=settings.limits,
            budget=budget,
            max_connections=INTERNAL_PORT_CONNECTIONS,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Connect to agents, start to read the configuration and listen for callers."""
        await self.client.start()
        await self.sync.start()
        await self.node.start()
        await self.host_list_poller.start()
        self._tasks = [asyncio.create_task(self._run_maintenance())]
        await self.caller_listener.start()
        await self.operator.start()
        log_process_started("router", self.settings.name, get_build_info())

    def endpoints(self) -> Endpoints:
        """:return: ports on which the process listens"""
        return Endpoints(
            role=self.settings.role.value,
            name=self.settings.name,
            data_port=self.caller_listener.port,
            operator_port=self.operator.port,
            control_port=self.node.port,
        )

    async def close(self) -> None:
        """Report not ready to the balancer, refuse requests, finish running ones, then stop."""
        log_event(Event.PROCESS_STOPPING, role="router", name=self.settings.name)
        self.server.draining = True
        self.caller_listener.disable_keepalive()
        await asyncio.sleep(self.settings.lame_duck_ms / 1_000)
        self.server.refusing = True
        await wait_until_idle(lambda: self.server.in_progress, self.settings.drain_timeout_ms)
        await self.caller_listener.close()
        await self.host_list_poller.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.node.close()
        await self.sync.close()
        await self.client.close()
        await self.operator.close()
        log_event(Event.PROCESS_STOPPED, role="router", name=self.settings.name)

    def _build_node(self) -> RouterNode:
        dependencies = RouterDependencies(
            get_group_members=build_group_members_getter(self.config),
            shard_owners=ShardOwnersAdapter(self.shard_owners),
            crash_report_handler=self.quarantine,
            share_lender=ShareLenderAdapter(self.settings, self.limits, self.config),
        )
        return RouterNode(
            self.settings,
            self.incarnation,
            self.agents,
            self.sync,
            self.clock,
            self.metrics,
            dependencies,
        )

    def _on_hosts(self, hosts: list[Host]) -> None:
        self.node.apply_host_list(hosts)
        self.limits.table.routers = self.node.count_live_routers()

    def _on_config(self) -> None:
        self.node.handle_config_change()
        if self.config.ready:
            self.configured.set()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.load_balancer.mark_slow_agents()
            self.quarantine.expire_crashes()


__all__ = ["RouterProcess"]
