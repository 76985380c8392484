"""
Control node of a process: connects the control exchange with the tables of the process.

Usage
-----
Router::

    node = RouterNode(
        settings, incarnation, agents, config_sync, clock, metrics, RouterDependencies()
    )
    await node.start()           # after config_sync.start()
    node.apply_host_list(hosts)  # after each poll of the host list
    node.handle_config_change()  # called by ConfigSync's on_change
    await node.close()

Agent::

    node = AgentNode(
        settings, incarnation, state, config_sync, clock, metrics, crash_report_handler
    )
    await node.start()           # with port 0 the system picks one: see node.port
    node.handle_config_change()
    node.send_report()           # when draining begins or shard ownership changes
    node.report_crashes([CrashReport(...)])  # after a crash of the backend server
    await node.close()           # sends a goodbye message

The router's node maintains its ``AgentTable``: it adds and removes entries and sets ``leaving``,
``draining``, ``suspected``, ``incarnation`` and ``load``.
"""

from __future__ import annotations

import asyncio
import contextlib
from functools import singledispatch
from random import Random
from typing import TYPE_CHECKING

from boragetiller.control.config_page_relay import ConfigPageRelay
from boragetiller.control.crash_reports import CrashReportRelay
from boragetiller.control.exchange import ControlExchange
from boragetiller.control.messages import (
    CrashReportList,
    Goodbye,
    Hello,
    PageRequest,
    PageResponse,
    PageVersions,
    Report,
    ShareGrant,
    ShareRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import AgentState, ConfigPages, CrashReportHandler
    from boragetiller.control.messages import CrashReport, Message
    from boragetiller.metrics import Metrics
    from boragetiller.settings import Settings

MS_PER_S = 1_000
BEAT_JITTER_SHARE = 0.1  # heartbeats of many nodes must not fall into step


class ControlNode:
    """What routers and agents have in common."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        config: ConfigPages,
        clock: Clock,
        metrics: Metrics,
        crash_report_handler: CrashReportHandler | None = None,
    ) -> None:
        """
        Prepare the node; nothing is sent before `start`.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param config: configuration of this process
        :param clock: monotonic time
        :param metrics: counters
        :param crash_report_handler: receives the crash reports of other nodes
        """
        self.exchange = ControlExchange(settings, incarnation, self, clock, metrics)
        self._settings = settings.control
        self._clock = clock
        self._metrics = metrics
        self._rng = Random(None if settings.seed is None else f"{settings.seed}/{settings.name}")
        self._pages = ConfigPageRelay(config, settings.control, self.exchange.send, clock)
        self._crash_reports = CrashReportRelay(
            crash_report_handler, self.exchange.send, lambda: self.exchange.connected_peers, clock
        )
        self._config_dirty = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def port(self) -> int:
        """:return: the control port in use"""
        return self.exchange.port

    async def start(self) -> None:
        """Listen, and begin to send heartbeats and announcements."""
        await self.exchange.start()
        self.handle_config_change()
        self._tasks = [
            asyncio.create_task(self._run_beats()),
            asyncio.create_task(self._run_announcements()),
        ]

    async def close(self) -> None:
        """Say goodbye and stop."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.exchange.close()

    def handle_config_change(self) -> None:
        """Announce pages that came into force, soon."""
        self._config_dirty.set()

    def report_crashes(self, reports: Iterable[CrashReport]) -> None:
        """
        Spread strikes that this process saw.

        :param reports: reports of crashes that this process observed
        """
        self._crash_reports.publish(reports)

    def on_connected(self, peer: Hello) -> None:
        """See :class:`ControlHandler`."""
        self._pages.on_connected(peer.name)
        self._crash_reports.on_connected(peer.name)
        self._after_connected(peer)

    def on_disconnected(self, peer: Hello) -> None:
        """See :class:`ControlHandler`."""
        self._pages.on_disconnected(peer.name)
        self._after_lost(peer)

    def on_message(self, peer: Hello, message: Message) -> None:
        """See :class:`ControlHandler`."""
        _take(message, self, peer)

    def _after_connected(self, peer: Hello) -> None:
        """Act on a new connection."""

    def _after_lost(self, peer: Hello) -> None:
        """Act on a lost connection."""

    def _take_report(self, peer: Hello, message: Report) -> None:
        """Act on a heartbeat."""

    def _take_share_request(self, peer: Hello, message: ShareRequest) -> None:
        """Act on a peer that wants a part of a customer's limits."""

    def _take_share_grant(self, peer: Hello, message: ShareGrant) -> None:
        """Act on a part of a customer's limits that a peer lends."""

    def _take_goodbye(self, peer: Hello, message: Goodbye) -> None:
        """Act on a peer that leaves."""

    def _beat(self) -> None:
        """Send heartbeats and let timers run."""

    async def _run_beats(self) -> None:
        while True:
            self._pages.request_missing()
            self._beat()
            share = self._rng.uniform(1 - BEAT_JITTER_SHARE, 1 + BEAT_JITTER_SHARE)
            await asyncio.sleep(self._settings.heartbeat_ms * share / MS_PER_S)

    async def _run_announcements(self) -> None:
        while True:
            await self._config_dirty.wait()
            self._config_dirty.clear()
            self._pages.announce()
            await asyncio.sleep(self._settings.announce_interval_ms / MS_PER_S)


class AgentNode(ControlNode):
    """Listens to routers and tells them the state of one backend server."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        state: AgentState,
        config: ConfigPages,
        clock: Clock,
        metrics: Metrics,
        crash_report_handler: CrashReportHandler | None = None,
    ) -> None:
        """
        Prepare the node.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param state: load, draining and owned shards
        :param config: configuration of this process
        :param clock: monotonic time
        :param metrics: counters
        :param crash_report_handler: receives the crash reports of other nodes
        """
        super().__init__(settings, incarnation, config, clock, metrics, crash_report_handler)
        self._state = state
        self._told_shards: tuple[int, ...] | None = None

    def send_report(self) -> None:
        """Send a heartbeat to every connected router at once."""
        self._beat()

    def _after_connected(self, peer: Hello) -> None:
        self.exchange.send(peer.name, self._report(self._state.owned_shards()))

    def _beat(self) -> None:
        shards = self._state.owned_shards()
        changed = shards != self._told_shards
        self._told_shards = shards
        self.exchange.broadcast(self._report(shards if changed else None))

    def _report(self, owned_shards: tuple[int, ...] | None) -> Report:
        load = self._state.build_load_report()
        queued = (*load.queued, 0, 0, 0, 0)
        return Report(
            draining=self._state.is_draining(),
            running=load.running,
            max_running=load.max_running,
            queued=(queued[0], queued[1], queued[2], queued[3]),
            service_ms=load.service_ms,
            first_token_ms=load.first_token_ms,
            between_tokens_ms=load.between_tokens_ms,
            protected_running=load.protected_running,
            pages_digest=self._pages.digest,
            owned_shards=owned_shards,
        )


@singledispatch
def _take(message: Message, node: ControlNode, peer: Hello) -> None:
    raise TypeError(f"{type(message).__name__} from {peer.name} for {node}")


@_take.register
def _(message: Report, node: ControlNode, peer: Hello) -> None:
    node._pages.on_digest(peer.name, message.pages_digest)
    if message.crash_reports:
        node._crash_reports.on_reports(peer.name, message.crash_reports)
    node._take_report(peer, message)


@_take.register
def _(message: PageVersions, node: ControlNode, peer: Hello) -> None:
    node._pages.on_versions(peer.name, message)


@_take.register
def _(message: PageRequest, node: ControlNode, peer: Hello) -> None:
    node._pages.on_request(peer.name, message)


@_take.register
def _(message: PageResponse, node: ControlNode, peer: Hello) -> None:
    if node._pages.on_response(peer.name, message):
        node.handle_config_change()


@_take.register
def _(message: CrashReportList, node: ControlNode, peer: Hello) -> None:
    node._crash_reports.on_reports(peer.name, message.crash_reports)


@_take.register
def _(message: ShareRequest, node: ControlNode, peer: Hello) -> None:
    node._take_share_request(peer, message)


@_take.register
def _(message: ShareGrant, node: ControlNode, peer: Hello) -> None:
    node._take_share_grant(peer, message)


@_take.register
def _(message: Goodbye, node: ControlNode, peer: Hello) -> None:
    node._take_goodbye(peer, message)


__all__ = ["AgentNode", "ControlNode"]
