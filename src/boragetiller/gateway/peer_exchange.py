"""
State exchange with other routers.

Each router connects to the peers that it knows and sends on these connections: its loads at the
backend servers, prompts that engines have prefilled for it, store entries that the peer lacks, and
the addresses of routers that report to it. It receives on the connections that its peers open.
Routers never request state from each other, so a router without peers goes on with its own state.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from boragetiller.clock import new_incarnation
from boragetiller.events import Event, log_event
from boragetiller.gateway.backend_connections import enable_keepalive
from boragetiller.gateway.heard_routers import HeardRouters
from boragetiller.gateway.inbound_peers import MAX_KNOWN_ROUTERS, InboundPeers
from boragetiller.gateway.item_relay import ItemRelay, compute_resend_turn_ms
from boragetiller.gateway.peer_messages import (
    PeerHello,
    PeerReport,
    PeerRouters,
    encode_frame,
)
from boragetiller.gateway.peer_states import InboundPeer, OutboundPeer
from boragetiller.gateway.settings import Endpoint
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.systems.report_peers import (
    MAX_PEERS,
    are_peers,
    compute_reporting_share,
    report_interval_ms,
)
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:

    from boragetiller.clock import Clock
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.gateway.state_sync import StateSync

MIN_REPORT_INTERVAL_MS = 20  # also for changes that peers must know at once
KEEPALIVE_INTERVAL_MS = 500  # between reports without changes
CONNECT_TIMEOUT_MS = 1_000
RECONNECT_DELAY_MS = 1_000
MAX_BUFFER_BYTES = 2_000_000  # of unsent data, after which a slow peer is disconnected
MIN_INBOUND_PEERS = 8  # with fewer, seeds stay connected, so that lost peers isolate no router
REMOVE_AFTER_MS = 30_000  # an unreachable router is removed after this time unless it is a seed


class PeerExchange:
    """Connections to and from other routers, and the reports on them."""

    def __init__(
        self,
        settings: GatewaySettings,
        state_sync: StateSync,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the exchange; it is inactive until started.

        :param settings: address to listen on, and seeds
        :param state_sync: builds sent reports and applies received ones
        :param clock: monotonic clock
        :param metrics: gauge of connected peers
        """
        self._settings = settings
        self._state_sync = state_sync
        self._clock = clock
        self._metrics = metrics
        self._incarnation = new_incarnation()
        self._connection_tasks: dict[Endpoint, asyncio.Task[None]] = {}
        self._known_endpoints: set[Endpoint] = set()  # of other routers, connected or not
        self._outbound_peers: dict[Endpoint, OutboundPeer] = {}
        self._report_task: asyncio.Task[None] | None = None
        self._item_relay = ItemRelay(settings.name, state_sync, clock)
        self._inbound = InboundPeers(
            settings.name,
            state_sync,
            self._item_relay,
            on_changed=self._update_peer_counts,
            on_endpoint=self._add_endpoint,
        )
        self.heard_routers = HeardRouters(settings.name)
        self._server: asyncio.Server | None = None
        self._seeds: tuple[Endpoint, ...] = ()
        self.endpoint: Endpoint | None = None  # address that this router listens on, once started

    async def start(self) -> None:
        """Listen, and connect to the seeds."""
        own = self._settings.peers
        if own is None:
            return
        self._server = await asyncio.start_server(self._inbound.accept, own.address, own.port)
        port: int = self._server.sockets[0].getsockname()[1]
        self.endpoint = Endpoint(own.address, port)
        self._report_task = asyncio.create_task(
            run_supervised("report to peers", self._send_reports, self._metrics)
        )
        self.set_seeds(self._settings.seeds)

    def set_seeds(self, endpoints: tuple[Endpoint, ...]) -> None:
        """
        Replace the seeds and connect to new ones.

        :param endpoints: addresses of the seeds, which are retried without end
        """
        self._seeds = endpoints
        for endpoint in endpoints:
            self._add_endpoint(endpoint)

    @property
    def known_count(self) -> int:
        """:return: number of other routers whose address is known"""
        return len(self._known_endpoints)

    def list_known_endpoints(self) -> set[Endpoint]:
        """:return: addresses of all other routers that are known"""
        return set(self._known_endpoints)

    def list_dialed_endpoints(self) -> set[Endpoint]:
        """:return: addresses of routers that are connected or being connected to"""
        return set(self._connection_tasks)

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        self._inbound.abort()
        tasks = list(self._connection_tasks.values())
        if self._report_task is not None:
            tasks.append(self._report_task)
        self._known_endpoints.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_endpoint(self, endpoint: Endpoint) -> None:
        if not endpoint.is_valid:
            log_event(Event.PEER_ADDRESS_INVALID, address=endpoint.address, port=endpoint.port)
            return
        if (
            endpoint in self._known_endpoints
            or endpoint == self.endpoint
            or len(self._known_endpoints) >= MAX_KNOWN_ROUTERS
        ):
            return
        self._known_endpoints.add(endpoint)
        self._update_peer_counts()

    def _update_connections(self) -> None:
        """Connect to the peers, and to other seeds while there are too few inbound peers."""
        own, known = str(self.endpoint), len(self._known_endpoints)
        seeds = set(self._seeds) if len(self._inbound.by_name) < MIN_INBOUND_PEERS else set()
        for endpoint in self._known_endpoints:
            wanted = endpoint in seeds or are_peers(own, str(endpoint), known)
            if wanted and endpoint not in self._connection_tasks:
                self._connection_tasks[endpoint] = asyncio.create_task(
                    self._maintain_connection(endpoint)
                )
            elif not wanted and endpoint in self._connection_tasks:
                self._connection_tasks.pop(endpoint).cancel()

    def _update_peer_counts(self) -> None:
        share = compute_reporting_share(len(self._known_endpoints), len(self._inbound.by_name))
        if share < 1.0 <= self._state_sync.reporting_share:
            log_event(Event.PEERS_BOUNDED, known=len(self._known_endpoints), peers=MAX_PEERS)
        self._state_sync.reporting_share = share
        self._update_members()
        self._metrics.peers.set(len(self._inbound.by_name))
        self._update_connections()

    def _update_members(self) -> None:
        """Update the routers that share limits and duties."""
        connected = self._inbound.list_endpoints()
        known, now_ms = self._known_endpoints, self._clock.now_ms()
        self.heard_routers.update(self.endpoint, connected, known, now_ms)
        self._state_sync.set_members(str(self.endpoint), self.heard_routers.view.known)

    async def _maintain_connection(self, endpoint: Endpoint) -> None:
        reached_ms = self._clock.now_ms()
        while endpoint in self._seeds or self._clock.now_ms() - reached_ms < REMOVE_AFTER_MS:
            with suppress(OSError, TimeoutError):
                reader, writer = await wait_with_timeout(
                    CONNECT_TIMEOUT_MS / 1_000,
                    asyncio.open_connection(endpoint.address, endpoint.port),
                )
                try:
                    enable_keepalive(writer.get_extra_info("socket"))
                    self._send_first_report(endpoint, writer)
                    await reader.read(1)  # the peer never sends here; this waits for the end
                finally:
                    self._outbound_peers.pop(endpoint, None)
                    writer.transport.abort()
                    reached_ms = self._clock.now_ms()
            await asyncio.sleep(RECONNECT_DELAY_MS / 1_000)
        self._connection_tasks.pop(endpoint, None)
        self._known_endpoints.discard(endpoint)
        self._update_peer_counts()

    def _send_first_report(self, endpoint: Endpoint, writer: asyncio.StreamWriter) -> None:
        """Send a hello and a report of the whole state; later reports hold only changes."""
        assert self.endpoint is not None
        hello = PeerHello(
            name=self._settings.name,
            incarnation=self._incarnation,
            address=self.endpoint.address,
            port=self.endpoint.port,
            asks_for_config=True,
        )
        first_report = self._state_sync.build_first_report()
        writer.write(encode_frame(hello) + encode_frame(first_report))
        self._outbound_peers[endpoint] = peer = OutboundPeer(writer)
        self._item_relay.send_lost_items(peer, self._find_inbound(peer))

    async def _send_reports(self) -> None:
        """Send reports to all peers; each one is built and encoded once for all of them."""
        cursor = self._state_sync.create_cursor()
        sent: PeerReport | None = None
        sent_ms = 0
        while True:
            await self._wait_for_report_time()
            self._update_members()
            report = self._state_sync.build_report(cursor)
            now_ms = self._clock.now_ms()
            frame = b""
            if report.differs_from(sent) or now_ms - sent_ms >= KEEPALIVE_INTERVAL_MS:
                frame = encode_frame(report)
                sent, sent_ms = report, now_ms
            removals = self._state_sync.take_removals(cursor)
            lost_items_due = self._item_relay.update_eras(now_ms)
            for peer in list(self._outbound_peers.values()):
                self._send_report(peer, frame)
                self._item_relay.send_items(peer.writer, removals)
                if lost_items_due:
                    self._item_relay.send_lost_items(peer, self._find_inbound(peer))

    async def _wait_for_report_time(self) -> None:
        """Wait for the next interval, or for a state change that peers must know at once."""
        await asyncio.sleep(MIN_REPORT_INTERVAL_MS / 1_000)
        interval_ms = report_interval_ms(len(self._outbound_peers)) - MIN_REPORT_INTERVAL_MS
        with suppress(TimeoutError):
            await wait_with_timeout(interval_ms / 1_000, self._state_sync.report_due.wait())
        self._state_sync.report_due.clear()

    def _send_report(self, peer: OutboundPeer, frame: bytes) -> None:
        writer = peer.writer
        if writer.transport.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
            writer.transport.abort()
            return
        writer.write(frame)
        inbound = self._find_inbound(peer)
        if inbound is not None:
            self._item_relay.send_missing_items(inbound, peer, self._get_resend_turn_ms(inbound))
        peer.routers = self._send_routers(writer, peer.routers)

    def _find_inbound(self, peer: OutboundPeer) -> InboundPeer | None:
        return self._inbound.find(peer.writer.get_extra_info("peername"))

    def _send_routers(
        self, writer: asyncio.StreamWriter, already_sent: set[Endpoint]
    ) -> set[Endpoint]:
        """Send new addresses of inbound peers; return all that the peer has been sent."""
        current = self._inbound.list_endpoints()
        if current - already_sent:
            writer.write(encode_frame(PeerRouters(tuple(sorted(current - already_sent, key=str)))))
        return current

    def _get_resend_turn_ms(self, peer: InboundPeer) -> int:
        return compute_resend_turn_ms(
            str(self.endpoint),
            str(peer.endpoint),
            len(self._inbound.by_name),
            len(self._outbound_peers),
        )


__all__ = ["MAX_KNOWN_ROUTERS", "PeerExchange"]
