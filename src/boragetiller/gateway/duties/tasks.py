"""Registers the tasks of the duties that the settings name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.gateway.duties.group_loads import GroupLoads
from boragetiller.gateway.duties.metrics import ServerOrderMetrics
from boragetiller.gateway.duties.server_controller import ServerController
from boragetiller.gateway.duties.usage_links import UsageLinks
from boragetiller.gateway.duties.usage_reporter import UsageReporter
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.tables.duties import Duty, DutyKind

if TYPE_CHECKING:
    from random import Random

    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duties.parts import DutyParts
    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.peer_exchange import PeerExchange
    from boragetiller.gateway.platform_interface import StoreClient
    from boragetiller.gateway.state_sync import StateSync

UPDATE_INTERVAL_MS = 1_000  # until a changed configuration changes the duties


class DutyTasks:
    """The tasks of one process; all routers register the same duties."""

    def __init__(
        self,
        name: str,
        settings: DutySettings,
        parts: DutyParts,
        store: StoreClient,
        registry: BackendRegistry,
        state_sync: StateSync,
        peer_exchange: PeerExchange,
        clock: Clock,
        metrics: GatewayMetrics,
        rng: Random,
    ) -> None:
        """
        Register the usage report; the duties of groups follow from the configuration.

        :param name: name of this router
        :param settings: which duties there are
        :param parts: holder of the duties, and the clients that their tasks use
        :param store: lists the stored windows
        :param registry: configuration and backend servers
        :param state_sync: counts of this router and its peers
        :param peer_exchange: the known routers
        :param clock: monotonic clock
        :param metrics: metrics of the process
        :param rng: seeded random generator
        """
        self._settings = settings
        self._parts = parts
        self._peer_exchange = peer_exchange
        self._links: UsageLinks | None = None
        self._clock = clock
        self._metrics = metrics
        self._order_metrics = ServerOrderMetrics(metrics.registry)
        self._loads = GroupLoads(registry, state_sync, peer_exchange.heard_routers, metrics)
        self._subjects: dict[tuple[str, str], Duty] = {}
        self._update_task: asyncio.Task[None] | None = None
        if state_sync.usage is not None:
            reporter = UsageReporter(
                state_sync.usage, parts.holder, parts.store, store, parts.api, clock, rng
            )
            duty = Duty(DutyKind.USAGE_REPORT)
            parts.holder.register(duty, reporter)
            self._links = UsageLinks(
                name,
                state_sync.usage,
                peer_exchange.list_known_endpoints,
                lambda: parts.holder.list_candidates(duty),
                metrics,
            )

    async def start(self) -> None:
        """Start to follow the configuration and, in a large fleet, to send counts."""
        if self._links is not None and self._peer_exchange.endpoint is not None:
            await self._links.start(self._peer_exchange.endpoint)
        if DutyKind.SERVER_COUNT in self._settings.kinds:
            self._update_task = asyncio.create_task(
                run_supervised("scaled groups", self._follow_configuration, self._metrics)
            )

    async def close(self) -> None:
        """Stop to send counts."""
        await self.stop_updates()
        if self._links is not None:
            await self._links.close()

    async def stop_updates(self) -> None:
        """Stop to follow the configuration."""
        if self._update_task is not None:
            self._update_task.cancel()
            await asyncio.gather(self._update_task, return_exceptions=True)

    async def _follow_configuration(self) -> None:
        while True:
            await self._update_duties()
            await asyncio.sleep(UPDATE_INTERVAL_MS / 1_000)

    async def _update_duties(self) -> None:
        known = self._loads.list_subjects()
        # A failure domain that lost all servers keeps its duty, which may order new ones.
        wanted = known | {
            subject for subject in self._subjects if self._loads.get_policy(subject[0]) is not None
        }
        for subject in sorted(wanted - self._subjects.keys()):
            duty = self._subjects[subject] = Duty(DutyKind.SERVER_COUNT, "/".join(subject))
            self._parts.holder.register(duty, self._build_controller(duty, *subject))
        for subject in sorted(self._subjects.keys() - wanted):
            await self._parts.holder.unregister(self._subjects.pop(subject))

    def _build_controller(self, duty: Duty, group: str, domain: str) -> ServerController:
        return ServerController(
            duty,
            group,
            domain,
            self._loads,
            self._parts.holder,
            self._parts.store,
            self._parts.api,
            self._clock,
            self._order_metrics,
        )


__all__ = ["DutyTasks"]
