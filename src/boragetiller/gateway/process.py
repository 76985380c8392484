"""A router without agents: its parts, start and graceful stop."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.clock import SystemClock
from boragetiller.events import Event, log_event
from boragetiller.gateway.beliefs import Beliefs
from boragetiller.gateway.callers import BACKLOG, CallerPort
from boragetiller.gateway.fleet import Fleet
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.peers import PeerExchange
from boragetiller.gateway.runner import CallRunner
from boragetiller.gateway.store_follower import StoreFollower
from boragetiller.systems.first_token import PlacementCosts
from boragetiller.timeouts import wait_until_idle

if TYPE_CHECKING:
    from boragetiller.gateway.ports import Dialect, ReadStore
    from boragetiller.gateway.settings import Endpoint, GatewaySettings

REFUSE_AFTER_MS = 3_000  # the balancer asks once a second and takes a node out after two misses
EXIT_MARGIN_MS = 600  # before SIGKILL
QUIET_MS = 200  # without a call, before the ports are closed


class GatewayProcess:
    """One process."""

    def __init__(self, settings: GatewaySettings, dialect: Dialect, store: ReadStore) -> None:
        """
        Build the parts.

        :param settings: settings of the process
        :param dialect: words of the platform
        :param store: the platform's store
        """
        self._settings = settings
        clock = SystemClock()
        self.metrics = GatewayMetrics()
        self.fleet = Fleet(settings, dialect, clock)
        costs = PlacementCosts()
        beliefs = Beliefs(self.fleet, costs, clock)
        rng = random.Random(settings.name)
        runner = CallRunner(settings, self.fleet, beliefs, dialect, costs, clock, self.metrics, rng)
        self._peers = PeerExchange(settings, beliefs, clock, self.metrics)
        self._callers = CallerPort(self.fleet, runner, dialect, clock, self.metrics)
        self._follower = StoreFollower(store, self.fleet, dialect, clock, self.metrics)
        self._runners: list[web.ServerRunner] = []
        self._caller_site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        await self._follower.start()
        await self._peers.start()
        await self._listen(
            web.Server(self._handle_ready, access_log=None), self._settings.readiness
        )
        if self._settings.metrics is not None:
            await self._listen(
                web.Server(self._handle_metrics, access_log=None), self._settings.metrics
            )
        self._caller_site = await self._listen(self._callers.server(), self._settings.callers)
        log_event(Event.PROCESS_STARTED, role="gateway", name=self._settings.name)

    async def close(self) -> None:
        """Leave the balancer's rotation, let calls end, then close."""
        log_event(Event.PROCESS_STOPPING, role="gateway", name=self._settings.name)
        self._callers.stopping = True
        await asyncio.sleep(REFUSE_AFTER_MS / 1_000)
        self._callers.refusing = True
        left_ms = self._settings.grace_ms - REFUSE_AFTER_MS - EXIT_MARGIN_MS
        await wait_until_idle(lambda: self._callers.in_progress, left_ms)
        await asyncio.sleep(QUIET_MS / 1_000)
        if self._caller_site is not None:
            await self._caller_site.stop()
        await self._follower.close()
        await self._peers.close()
        await self.fleet.close()
        log_event(Event.PROCESS_STOPPED, role="gateway", name=self._settings.name)

    def apply(self, settings: GatewaySettings) -> None:
        """
        Take changed settings; see :data:`boragetiller.gateway.reload.LIVE_FIELDS`.

        :param settings: the new settings
        """
        self._peers.connect(settings.seeds)

    async def _listen(self, server: web.Server, endpoint: Endpoint) -> web.TCPSite:
        runner = web.ServerRunner(server)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, endpoint.address, endpoint.port, backlog=BACKLOG)
        await site.start()
        return site

    async def _handle_ready(self, _request: web.BaseRequest) -> web.Response:
        ready = self.fleet.config is not None and self.fleet.listed and not self._callers.stopping
        return web.Response(status=200 if ready else 503)

    async def _handle_metrics(self, _request: web.BaseRequest) -> web.Response:
        return web.Response(body=self.metrics.text(), content_type="text/plain")


__all__ = ["GatewayProcess"]
