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
HEARTBEAT_JITTER_SHARE = 0.1  # prevents synchronized heartbeats of many nodes


class ControlNode:
    """Base class of the control nodes of routers and agents."""

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
        Configure the node; `start` opens the port and begins to send.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param config: configuration pages of this process
        :param clock: monotonic time
        :param metrics: counters
        :param crash_report_handler: receives the crash reports of other nodes
        """
        self.exchange = ControlExchange(settings, incarnation, self, clock, metrics)
        self._settings = settings.control
        self._clock = clock
        self._metrics = metrics
        self._rng = Random(None if settings.seed is None else f"{settings.seed}/{settings.name}")
        self._page_relay = ConfigPageRelay(config, settings.control, self.exchange.send, clock)
        self._crash_report_relay = CrashReportRelay(
            crash_report_handler, self.exchange.send, lambda: self.exchange.connected_peers, clock
        )
        self._config_changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def port(self) -> int:
        """:return: port that the control exchange listens on"""
        return self.exchange.port

    async def start(self) -> None:
        """Start to listen and to send heartbeats and page announcements."""
        await self.exchange.start()
        self.handle_config_change()
        self._tasks = [
            asyncio.create_task(self._run_heartbeats()),
            asyncio.create_task(self._run_announcements()),
        ]

    async def close(self) -> None:
        """Send goodbye messages and stop."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.exchange.close()

    def handle_config_change(self) -> None:
        """Schedule an announcement of the pages that were applied."""
        self._config_changed.set()

    def report_crashes(self, reports: Iterable[CrashReport]) -> None:
        """
        Send reports of crashes to all connected peers, which forward them.

        :param reports: reports of crashes that this process observed
        """
        self._crash_report_relay.publish(reports)

    def on_connected(self, peer: Hello) -> None:
        """See :class:`ControlHandler`."""
        self._page_relay.on_connected(peer.name)
        self._crash_report_relay.on_connected(peer.name)
        self._handle_connected(peer)

    def on_disconnected(self, peer: Hello) -> None:
        """See :class:`ControlHandler`."""
        self._page_relay.on_disconnected(peer.name)
        self._handle_disconnected(peer)

    def on_message(self, peer: Hello, message: Message) -> None:
        """See :class:`ControlHandler`."""
        _dispatch_message(message, self, peer)

    def _handle_connected(self, peer: Hello) -> None:
        """Handle a new connection."""

    def _handle_disconnected(self, peer: Hello) -> None:
        """Handle the loss of a connection."""

    def _handle_report(self, peer: Hello, message: Report) -> None:
        """Handle a heartbeat."""

    def _handle_share_request(self, peer: Hello, message: ShareRequest) -> None:
        """Handle a peer's request to borrow a share of a customer's limits."""

    def _handle_share_grant(self, peer: Hello, message: ShareGrant) -> None:
        """Handle a peer's loan of a share of a customer's limits."""

    def _handle_goodbye(self, peer: Hello, message: Goodbye) -> None:
        """Handle the goodbye message of a peer."""

    def _send_heartbeats(self) -> None:
        """Send heartbeats, and do other periodic work."""

    async def _run_heartbeats(self) -> None:
        while True:
            self._page_relay.retry_overdue_requests()
            self._send_heartbeats()
            share = self._rng.uniform(1 - HEARTBEAT_JITTER_SHARE, 1 + HEARTBEAT_JITTER_SHARE)
            await asyncio.sleep(self._settings.heartbeat_ms * share / MS_PER_S)

    async def _run_announcements(self) -> None:
        while True:
            await self._config_changed.wait()
            self._config_changed.clear()
            self._page_relay.announce_changes()
            await asyncio.sleep(self._settings.announce_interval_ms / MS_PER_S)


class AgentNode(ControlNode):
    """Control node of an agent: reports the state of its backend server to the routers."""

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
        Configure the node; `start` opens the port and begins to send.

        :param settings: settings of the process
        :param incarnation: number of this start of the process
        :param state: source of the load, draining state and owned shards
        :param config: configuration pages of this process
        :param clock: monotonic time
        :param metrics: counters
        :param crash_report_handler: receives the crash reports of other nodes
        """
        super().__init__(settings, incarnation, config, clock, metrics, crash_report_handler)
        self._state = state
        self._reported_shards: tuple[int, ...] | None = None

    def send_report(self) -> None:
        """Send a heartbeat to each connected router immediately."""
        self._send_heartbeats()

    def _handle_connected(self, peer: Hello) -> None:
        self.exchange.send(peer.name, self._build_report(self._state.owned_shards()))

    def _send_heartbeats(self) -> None:
        shards = self._state.owned_shards()
        changed = shards != self._reported_shards
        self._reported_shards = shards
        self.exchange.broadcast(self._build_report(shards if changed else None))

    def _build_report(self, owned_shards: tuple[int, ...] | None) -> Report:
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
            pages_digest=self._page_relay.digest,
            owned_shards=owned_shards,
        )


@singledispatch
def _dispatch_message(message: Message, node: ControlNode, peer: Hello) -> None:
    raise TypeError(f"no handler for {type(message).__name__} from {peer.name} in {node}")


@_dispatch_message.register
def _(message: Report, node: ControlNode, peer: Hello) -> None:
    node._page_relay.on_digest(peer.name, message.pages_digest)
    if message.crash_reports:
        node._crash_report_relay.on_reports(peer.name, message.crash_reports)
    node._handle_report(peer, message)


@_dispatch_message.register
def _(message: PageVersions, node: ControlNode, peer: Hello) -> None:
    node._page_relay.on_page_versions(peer.name, message)


@_dispatch_message.register
def _(message: PageRequest, node: ControlNode, peer: Hello) -> None:
    node._page_relay.on_page_request(peer.name, message)


@_dispatch_message.register
def _(message: PageResponse, node: ControlNode, peer: Hello) -> None:
    if node._page_relay.on_page_response(peer.name, message):
        node.handle_config_change()


@_dispatch_message.register
def _(message: CrashReportList, node: ControlNode, peer: Hello) -> None:
    node._crash_report_relay.on_reports(peer.name, message.crash_reports)


@_dispatch_message.register
def _(message: ShareRequest, node: ControlNode, peer: Hello) -> None:
    node._handle_share_request(peer, message)


@_dispatch_message.register
def _(message: ShareGrant, node: ControlNode, peer: Hello) -> None:
    node._handle_share_grant(peer, message)


@_dispatch_message.register
def _(message: Goodbye, node: ControlNode, peer: Hello) -> None:
    node._handle_goodbye(peer, message)


__all__ = ["AgentNode", "ControlNode"]
