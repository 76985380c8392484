"""The agent process: builds, starts and stops its components."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.agent.admission import AdmissionQueue
from boragetiller.agent.backend import BackendClient
from boragetiller.agent.claims import ClaimRegistry, MemoryClaimRegistry
from boragetiller.agent.crash_isolation import CrashIsolation
from boragetiller.agent.operator import add_agent_routes
from boragetiller.agent.order_client import HttpOrderClient
from boragetiller.agent.orders import OrderReconciler
from boragetiller.agent.server import AttemptServer
from boragetiller.agent.state import AgentState
from boragetiller.agent.store_claims import StoreClaimRegistry
from boragetiller.agent_protocol.attempt import MAX_ATTEMPT_HEADER_BYTES
from boragetiller.caller_limits.server import INTERNAL_PORT_CONNECTIONS
from boragetiller.clock import SystemClock, new_incarnation
from boragetiller.control.node import AgentNode
from boragetiller.events import Event, log_event
from boragetiller.http_server import HttpServer, build_caller_budget
from boragetiller.installation.build_info import get_build_info
from boragetiller.operator_api import build_operator_app
from boragetiller.process import Endpoints, build_metrics
from boragetiller.process_start import log_process_started
from boragetiller.router.config_sync import ConfigSync
from boragetiller.settings import BackendKind
from boragetiller.tables.config import ConfigTable
from boragetiller.timeouts import wait_until_idle

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.control.messages import CrashReport
    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.settings import BackendSettings, Settings


class AgentProcess:
    """One agent, which serves one backend server."""

    def __init__(
        self,
        settings: Settings,
        platform: PlatformClients,
        *,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """
        Create the components without starting them.

        :param settings: settings of the process, which include a backend server
        :param platform: clients of the platform's services
        :param clock: monotonic time
        :param metrics: counters
        """
        assert settings.backend is not None
        self.settings = settings
        self.platform = platform
        self.clock = clock or SystemClock()
        self.metrics = metrics or build_metrics(settings)
        self.incarnation = new_incarnation()
        self.config = ConfigTable()
        self.sync = ConfigSync(
            platform.store, self.config, settings, self.clock, self._on_config_changed
        )
        self.admission = AdmissionQueue(settings.admission, self.clock, self.metrics)
        self.backend = BackendClient(settings.backend)
        self.claims = self._build_claims(settings.backend)
        self.order_client = HttpOrderClient(settings.backend, settings.orders)
        self.orders = self._build_orders(settings.backend)
        self.crash_isolation = CrashIsolation(
            settings.name, settings.strikes, self.clock, self._publish_crashes
        )
        self.server = AttemptServer(
            settings,
            self.admission,
            self.backend,
            self.claims,
            self.crash_isolation,
            self.clock,
            self.metrics,
            self.incarnation,
        )
        self.state = AgentState(self.admission, self.server, self.claims, self.clock)
        self.node = AgentNode(
            settings,
            self.incarnation,
            self.state,
            self.sync,
            self.clock,
            self.metrics,
            self.crash_isolation,
        )
        budget = build_caller_budget(settings.limits, self.metrics, "agent")
        self.data = HttpServer(
            self.server.build_app(),
            settings.listen.address,
            settings.listen.port,
            limits=settings.limits,
            tls=settings.peer_tls,
            max_field_bytes=MAX_ATTEMPT_HEADER_BYTES,
            budget=budget,
            max_unread_s=None,  # routers pause for their callers, and limit them
        )
        operator_routes = build_operator_app(settings.operator, self.metrics)
        add_agent_routes(operator_routes, self)
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
        """Start all components, listen and accept work."""
        await self.backend.start()
        await self.sync.start()
        await self.claims.start()
        await self.data.start()
        await self.operator.start()
        await self.node.start()
        if self.orders is not None:
            await self.order_client.start()
            await self.orders.start()
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_keepalives()),
        ]
        log_process_started("agent", self.settings.name, get_build_info())

    def endpoints(self) -> Endpoints:
        """:return: ports on which the process listens"""
        return Endpoints(
            role=self.settings.role.value,
            name=self.settings.name,
            data_port=self.data.port,
            operator_port=self.operator.port,
            control_port=self.node.port,
        )

    async def close(self) -> None:
        """Refuse new work, finish work in progress, then stop all components."""
        log_event(Event.PROCESS_STOPPING, role="agent", name=self.settings.name)
        self.server.draining = True
        self.data.disable_keepalive()
        self.node.send_report()
        await self.claims.drain()  # release shards without calls now, for other agents
        await wait_until_idle(lambda: self.server.in_progress, self.settings.drain_timeout_ms)
        await self.claims.drain()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.orders is not None:
            await self.orders.close()
            await self.order_client.close()
        await self.node.close()
        await self.claims.close()
        await self.sync.close()
        await self.data.close()
        await self.operator.close()
        await self.backend.close()
        log_event(Event.PROCESS_STOPPED, role="agent", name=self.settings.name)

    def _build_claims(self, backend: BackendSettings) -> ClaimRegistry:
        if backend.kind is BackendKind.ENGINE:
            return MemoryClaimRegistry()  # routers send no keyed calls to engines
        return StoreClaimRegistry(
            self.settings,
            self.platform.store,
            self.platform.hosts,
            self.incarnation,
            self.metrics,
            clock=self.clock,
        )

    def _build_orders(self, backend: BackendSettings) -> OrderReconciler | None:
        if backend.kind is not BackendKind.ENGINE or not self.settings.orders.enabled:
            return None
        return OrderReconciler(
            self.settings,
            self.platform,
            self.order_client,
            self.config,
            self.clock,
            self.metrics,
            self.incarnation,
        )

    def _publish_crashes(self, reports: list[CrashReport]) -> None:
        self.node.report_crashes(reports)

    def _on_config_changed(self) -> None:
        self.node.handle_config_change()

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(self.settings.tick_ms / 1_000)
            self.admission.tick()
            self.crash_isolation.tick()

    async def _run_keepalives(self) -> None:
        while True:
            await asyncio.sleep(self.settings.keepalive_ms / 1_000)
            await self.server.send_keepalives()


__all__ = ["AgentProcess"]
