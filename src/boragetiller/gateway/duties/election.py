"""What all contenders of a router share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from boragetiller.clock import Clock
from boragetiller.gateway.duties.metrics import DutyMetrics
from boragetiller.gateway.duties.router_lease import RouterLease
from boragetiller.gateway.duties.settings import DutySettings
from boragetiller.gateway.duty_interface import LeaseStore
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.systems.duties.candidates import list_candidates
from boragetiller.systems.duties.validity import compute_era_wait_ms, observe_era
from boragetiller.tables.duties import Duty, FormerDuty, SeenEra
from boragetiller.tables.known_routers import KnownRouters


@attrs.define(kw_only=True)
class Election:
    """Settings, clients and state that do not belong to one duty."""

    name: str  # of this router
    incarnation: int  # of this process
    settings: DutySettings
    store: LeaseStore
    lease: RouterLease
    clock: Clock  # includes suspended time
    get_routers: Callable[[], KnownRouters]
    metrics: GatewayMetrics
    duty_metrics: DutyMetrics
    seen_era: SeenEra
    attempts: int = 0
    former: dict[Duty, FormerDuty] = attrs.field(factory=dict)
    _ranked_routers: KnownRouters | None = None  # for which the candidates were computed
    _candidates: dict[Duty, tuple[str, ...]] = attrs.field(factory=dict)

    @property
    def era(self) -> int:
        """:return: newest known era of the store, 0 if it has named none"""
        return self.store.eras.era or 0

    def compute_era_wait_ms(self) -> int:
        """:return: time in which no duty may be acquired after a restore or a start"""
        now_ms = self.clock.now_ms()
        observe_era(self.seen_era, self.era, now_ms)
        return compute_era_wait_ms(self.seen_era, self.settings.lease_ms, now_ms)

    def list_candidates(self, duty: Duty) -> tuple[str, ...]:
        """
        List the candidates of a duty.

        They are kept until the known routers change, because to rank 400 routers for each of many
        duties twice a second would cost percents of a core.

        :param duty: the duty
        :return: addresses of the routers that may acquire the duty, best first
        """
        routers = self.get_routers()
        if routers != self._ranked_routers:
            self._ranked_routers = routers
            self._candidates.clear()
        if duty not in self._candidates:
            self._candidates[duty] = list_candidates(duty, routers)
        return self._candidates[duty]


__all__ = ["Election"]
