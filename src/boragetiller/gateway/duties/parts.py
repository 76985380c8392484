"""Components of a process that has duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.clock import BoottimeClock
from boragetiller.gateway.duties.holder import DutyHolder
from boragetiller.gateway.duties.measured_store import MeasuredLeaseStore
from boragetiller.gateway.duties.metrics import DutyMetrics
from boragetiller.gateway.duties.paced_api import PacedDutyApi

if TYPE_CHECKING:
    from random import Random

    from boragetiller.clock import Clock
    from boragetiller.gateway.duties.settings import DutySettings
    from boragetiller.gateway.duty_interface import DutyClients
    from boragetiller.gateway.heard_routers import HeardRouters
    from boragetiller.gateway.metrics import GatewayMetrics


class DutyParts:
    """The holder of duties, and the clients that their tasks use."""

    def __init__(
        self,
        name: str,
        settings: DutySettings,
        clients: DutyClients,
        heard_routers: HeardRouters,
        clock: Clock,
        rng: Random,
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the components; they are inactive until started.

        :param name: name of this router
        :param settings: settings of duties
        :param clients: clients of the platform
        :param heard_routers: the known routers
        :param clock: monotonic clock
        :param rng: seeded random generator
        :param metrics: metrics of the process
        """
        duty_metrics = DutyMetrics(metrics.registry)
        self.store = MeasuredLeaseStore(clients.store, metrics)
        self.api = PacedDutyApi(settings, clients.api, clock, rng, duty_metrics)
        self.holder = DutyHolder(
            name,
            settings,
            self.store,
            lambda: heard_routers.view,
            BoottimeClock(),
            metrics,
            duty_metrics,
        )
        self.api.count_duties = lambda: self.holder.duty_count

    async def start(self) -> None:
        """Start to acquire duties."""
        await self.holder.start()

    async def close(self) -> None:
        """Release all duties after the last calls of their tasks were answered."""
        await self.holder.close()

    async def abort(self) -> None:
        """Stop at once and close the client of the API."""
        await self.holder.abort()
        await self.api.close()


__all__ = ["DutyParts"]
