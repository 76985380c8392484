"""The gateway process: its components, start and graceful stop."""

from __future__ import annotations

import asyncio
import inspect
import random
from pathlib import Path
from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.caller_limits.budget import CallerBudget
from boragetiller.caller_limits.server import INTERNAL_PORT_CONNECTIONS, BudgetedServer
from boragetiller.clock import SystemClock
from boragetiller.events import Event, log_event
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.call_handler import DEFAULT_LIMITS, CallHandler
from boragetiller.gateway.dispatcher import CallDispatcher
from boragetiller.gateway.duties.parts import DutyParts
from boragetiller.gateway.duties.tasks import DutyTasks
from boragetiller.gateway.duties.usage_counter import build_usage_counter
from boragetiller.gateway.listener import Listener
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.peer_exchange import PeerExchange
from boragetiller.gateway.prefix_cache_reader import PrefixCacheReader
from boragetiller.gateway.server_choice import ServerChooser
from boragetiller.gateway.state_sync import StateSync
from boragetiller.gateway.store_watcher import StoreWatcher
from boragetiller.gateway.streams.stream_versions import StreamVersions
from boragetiller.installation.build_info import get_build_info
from boragetiller.process_start import log_process_started
from boragetiller.systems.overload.caller_budget import derive_limits
from boragetiller.tables.server_placement import PlacementCostModel
from boragetiller.timeouts import wait_until, wait_until_idle

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from socket import socket

    from boragetiller.gateway.duty_interface import DutyClients, RecordStore
    from boragetiller.gateway.placement_query import PlacementQueries
    from boragetiller.gateway.platform_interface import Dialect, StoreClient
    from boragetiller.gateway.policy_file import Policy
    from boragetiller.gateway.settings import GatewaySettings

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

EXIT_MARGIN_MS = 600  # left for closing connections before SIGKILL
INITIAL_SYNC_TIMEOUT_MS = 300  # a listing takes a few ms; callers give up an unread call after 1 s
QUERY_PATH = "/where"  # on the metrics listener
CLOSE_DELAY_MS = 200  # between the end of the last call and closing the ports


class GatewayProcess:
    """A gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: StoreClient,
        caller_socket: socket | None = None,
        duty_clients: DutyClients | None = None,
        lease_store: RecordStore | None = None,
        policy: Policy | None = None,
    ) -> None:
        """
        Create the components.

        :param settings: settings of the process
        :param dialect: header names and data formats of the platform
        :param store: the platform's store
        :param caller_socket: listening socket for callers, None to open one
        :param duty_clients: clients that duties need, None without duties
        :param lease_store: the platform's store for writes, None to write nothing but duties
        :param policy: settings of the policy file, None for none
        """
        self._settings = settings
        self._adapter = Path(inspect.getfile(type(dialect))).parent
        clock = SystemClock()
        costs = PlacementCostModel()
        self.metrics = GatewayMetrics()
        limits = derive_limits(settings.memory_bytes, settings.max_descriptors)
        self.budget = CallerBudget(limits, clock.now_ms, self.metrics.count_caller_limit)
        self.metrics.show_budget(self.budget)
        self.registry = BackendRegistry(settings, dialect, clock, self.metrics)
        self.state_sync = StateSync(settings.name, self.registry, costs, clock)
        self.state_sync.usage = self._usage = build_usage_counter(settings, self.metrics)
        rng = random.Random(settings.name)
        chooser = ServerChooser(settings, self.registry, self.state_sync, clock, rng)
        self._stream_versions = StreamVersions(
            self.registry, self.state_sync, lease_store, clock, self.metrics
        )
        self._dispatcher = CallDispatcher(
            chooser,
            self.registry,
            self.state_sync,
            dialect,
            self._stream_versions,
            clock,
            self.metrics,
        )
        if policy is not None and policy.hedging is not None:
            self._dispatcher.enable_hedging(policy.hedging, self.state_sync)
        self.peer_exchange = PeerExchange(settings, self.state_sync, clock, self.metrics)
        self.call_handler = CallHandler(
            self.registry, self._dispatcher, dialect, clock, self.metrics, self.budget
        )
        self._store_watcher = StoreWatcher(
            settings, store, self.registry, dialect, self.state_sync, clock, self.metrics, rng
        )
        self.duties: DutyParts | None = None
        if settings.duties is not None and duty_clients is not None:
            heard = self.peer_exchange.heard_routers
            self.duties = DutyParts(
                settings.name, settings.duties, duty_clients, heard, clock, rng, self.metrics
            )
            self._duty_tasks = DutyTasks(
                settings.name,
                settings.duties,
                self.duties,
                store,
                self.registry,
                self.state_sync,
                self.peer_exchange,
                clock,
                self.metrics,
                rng,
            )
        self._prefix_cache_reader = PrefixCacheReader(self.registry, dialect)
        self.caller_listener = Listener(
            self.call_handler.build_server(), settings.callers, caller_socket
        )
        self.readiness_listener = Listener(
            self._build_server(self._handle_ready), settings.readiness
        )
        self._listeners = [self.readiness_listener, self.caller_listener]
        if settings.metrics is not None:
            self.metrics_listener = Listener(
                self._build_server(self._handle_metrics), settings.metrics
            )
            self._listeners.insert(0, self.metrics_listener)
        self._queries: PlacementQueries | None = None  # None if operators may not ask
        if policy is not None and policy.operator_key is not None:
            from boragetiller.gateway.placement_query import PlacementQueries  # noqa: PLC0415

            self._queries = PlacementQueries(
                settings.name,
                policy.operator_key,
                self.registry,
                chooser,
                self.call_handler,
                dialect,
                clock,
            )
        self._initial_sync_timeout_ms = INITIAL_SYNC_TIMEOUT_MS if caller_socket is not None else 0

    async def start(self) -> None:
        """
        Start to watch the store, then listen.

        If the socket for callers is open already, connections wait in its backlog until routes and
        backend servers are known or INITIAL_SYNC_TIMEOUT_MS is over. Otherwise their calls would be
        refused.
        """
        await self._prefix_cache_reader.start()
        await self._store_watcher.start()
        await self.peer_exchange.start()
        await self._stream_versions.start()
        if self._usage is not None:
            await self._usage.start(self.state_sync.report_due.set)
        if self.duties is not None:
            await self.duties.start()
            await self._duty_tasks.start()
        await wait_until(lambda: self.registry.is_ready, self._initial_sync_timeout_ms)
        for listener in self._listeners:
            await listener.start()
        build = get_build_info(self._adapter)
        self.metrics.record_build(build)
        log_process_started("gateway", self._settings.name, build)
        self._dispatcher.log_settings()

    async def close(self) -> None:
        """
        Fail readiness checks, drain calls, then close.

        The port stays open until the end: with too few ready nodes the load balancer keeps sending
        to this one, and a refusal lets a caller retry elsewhere sooner than a closed port.
        """
        log_event(Event.PROCESS_STOPPING, role="gateway", name=self._settings.name)
        settings = self._settings
        self.call_handler.stopping = True
        releasing = asyncio.create_task(self._release_duties())
        await asyncio.sleep(settings.refuse_after_ms / 1_000)
        self.call_handler.refusing = True
        left_ms = settings.grace_ms - settings.refuse_after_ms - EXIT_MARGIN_MS
        await wait_until_idle(lambda: self.call_handler.in_progress, left_ms)
        await releasing  # takes up to 4 s if the store and the API do not answer
        await asyncio.sleep(CLOSE_DELAY_MS / 1_000)
        await self.caller_listener.stop_listening()
        await self.abort()
        log_event(Event.PROCESS_STOPPED, role="gateway", name=self._settings.name)

    async def abort(self) -> None:
        """Close everything at once and abort calls in progress."""
        for listener in self._listeners:
            await listener.close()
        await self._dispatcher.close()
        if self.duties is not None:
            await self.duties.abort()
        await self._prefix_cache_reader.close()
        await self._stream_versions.close()
        await self._store_watcher.close()
        if self._usage is not None:
            await self._usage.close()
        if self.duties is not None:
            await self._duty_tasks.close()
        await self.peer_exchange.close()
        await self.registry.close()

    def apply(self, settings: GatewaySettings) -> None:
        """
        Apply changed settings, of the fields in settings_reloader.RELOADABLE_FIELDS.

        :param settings: the new settings
        """
        self.peer_exchange.set_seeds(settings.seeds)

    async def _release_duties(self) -> None:
        """Hand over duties while calls are drained, so that the duties do not wait for that."""
        if self.duties is not None:
            await self._duty_tasks.stop_updates()
            await self.duties.close()

    def _build_server(self, handler: Handler) -> web.Server:
        return BudgetedServer(
            handler,
            self.budget,
            lambda: DEFAULT_LIMITS,
            lambda code: self.metrics.refused.labels(code).inc(),
            max_connections=INTERNAL_PORT_CONNECTIONS,
            access_log=None,
        )

    async def _handle_ready(self, _request: web.BaseRequest) -> web.Response:
        ready = self.registry.is_ready and not self.call_handler.stopping
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        if self._queries is not None and request.path == QUERY_PATH:
            return await self._queries.handle(request)
        return web.Response(body=self.metrics.render(), content_type="text/plain")


__all__ = ["GatewayProcess"]
