"""Routers with duties in virtual time, and the calls that arrive at the platform's API."""

from __future__ import annotations

import asyncio
from random import Random

import attrs

from boragetiller.gateway.duties.holder import DutyHolder
from boragetiller.gateway.duties.metrics import DutyMetrics
from boragetiller.gateway.duties.settings import DutySettings
from boragetiller.gateway.endpoint import Endpoint
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.systems.duties.validity import FLIGHT_MS
from boragetiller.tables.duties import Duty, DutyKind, Holding, LossReason
from boragetiller.tables.known_routers import KnownRouters
from tests.gateway.duty_store import DutyStore, StoreLink, sleep_ms
from tests.virtual_time import VirtualClock

USAGE = Duty(DutyKind.USAGE_REPORT)
SETTINGS = DutySettings(
    api=Endpoint("127.0.0.1", 1),
    kinds=(DutyKind.USAGE_REPORT,),
    calls_per_s=50.0,
    lease_ms=3_000,
    thaw_slack_ms=300,
    window_ms=5_000,
    usage_tolerance=0.05,
    usage_late_ms=10_000,
)


@attrs.frozen
class Arrival:
    """A call that arrived at the API."""

    at_ms: int
    holder: str
    token: int


class DutyRouter:
    """A router that holds duties; its task calls the API in each run."""

    def __init__(self, name: str, fleet: DutyFleet) -> None:
        """Start a process of the router."""
        self.name = name
        self.link = StoreLink(fleet.store)
        self.link.eras.observe(str(fleet.store.era))  # as the watches of the configuration do
        metrics = GatewayMetrics()
        self.holder = DutyHolder(
            name,
            SETTINGS,
            self.link,
            lambda: fleet.views.get(name, KnownRouters(own=name, known=fleet.known)),
            VirtualClock(),
            metrics,
            DutyMetrics(metrics.registry),
        )
        self.hanging = False  # whether runs of the task do not end
        self.lost: list[LossReason] = []
        self._fleet = fleet
        self.holder.register(USAGE, self)

    async def run_once(self, holding: Holding) -> None:
        """See :class:`DutyTask`."""
        await self.link.running.wait()
        if self.hanging:
            await sleep_ms(60_000)
        valid = self.holder.get_valid(USAGE, FLIGHT_MS)
        if valid is None:
            return
        assert valid.token == holding.token
        loop, flight_ms = asyncio.get_running_loop(), self._fleet.get_flight_ms(self.name)
        loop.call_later(flight_ms / 1_000, self._fleet.arrive, self.name, valid.token)
        await sleep_ms(flight_ms)

    async def on_lost(self, reason: LossReason) -> None:
        """See :class:`DutyTask`."""
        self.lost.append(reason)


class DutyFleet:
    """Several routers, one store, and the calls that arrived at the API."""

    def __init__(self, names: tuple[str, ...], seed: int = 1) -> None:
        """Create the fleet; routers are started by :meth:`start`."""
        self.store = DutyStore()
        self.known = frozenset(names)
        self.views: dict[str, KnownRouters] = {}
        self.routers: dict[str, DutyRouter] = {}
        self.arrivals: list[Arrival] = []
        self.flights_ms: dict[str, int] = {}  # of the calls of a router, random for others
        self.rng = Random(seed)

    def get_flight_ms(self, name: str) -> int:
        """:return: time until the next call of a router arrives"""
        return self.flights_ms.get(name, self.rng.randrange(FLIGHT_MS))

    async def start(self, *names: str) -> None:
        """:param names: routers to start, all without any"""
        for name in names or sorted(self.known):
            self.routers[name] = DutyRouter(name, self)
            await self.routers[name].holder.start()

    async def kill(self, *names: str) -> None:
        """:param names: routers to end at once, all without any"""
        for name in names or tuple(self.routers):
            await self.routers.pop(name).holder.abort()

    async def find_holder(self, timeout_ms: int = 10_000) -> DutyRouter:
        """:return: the router that holds the duty, as soon as there is one"""
        for _ in range(timeout_ms // 10):
            for router in self.routers.values():
                if router.holder.get_valid(USAGE, 0) is not None:
                    return router
            await sleep_ms(10)
        raise AssertionError("no router holds the duty")

    def arrive(self, holder: str, token: int) -> None:
        """Record a call that arrives."""
        self.arrivals.append(Arrival(VirtualClock().now_ms(), holder, token))

    def find_violations(self) -> list[str]:
        """:return: how the calls that arrived break the contract"""
        found = []
        holders: dict[int, str] = {}
        last_ms: dict[str, int] = {}
        previous: Arrival | None = None
        for arrival in self.arrivals:
            if holders.setdefault(arrival.token, arrival.holder) != arrival.holder:
                found.append(f"two holders with one token: {arrival}")
            if previous is not None and arrival.token < previous.token:
                found.append(f"lower token: {arrival} after {previous}")
            came_back = previous is not None and previous.holder != arrival.holder
            since_ms = arrival.at_ms - last_ms.get(arrival.holder, -SETTINGS.lease_ms)
            if came_back and since_ms < SETTINGS.lease_ms:
                found.append(f"returned after {since_ms} ms: {arrival}")
            last_ms[arrival.holder] = arrival.at_ms
            previous = arrival
        return found


__all__ = ["FLIGHT_MS", "SETTINGS", "USAGE", "DutyFleet", "DutyRouter", "sleep_ms"]
