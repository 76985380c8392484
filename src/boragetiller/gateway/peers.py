"""
Exchange of beliefs between routers without agents.

Each router connects to every other one that it knows and sends on that connection: its work at
the backend servers, prompts that were read for it, and store entries that the other lacks. It
hears on the connections that others open. Nothing is asked for, so a router that hears nothing
goes on with what it knows itself.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import attrs

from boragetiller.clock import new_incarnation
from boragetiller.control.errors import BadFrame, FrameTooLarge
from boragetiller.events import Event, log_event
from boragetiller.gateway.beliefs import FollowedRevisions
from boragetiller.gateway.connections import detect_silence
from boragetiller.gateway.peer_messages import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    PeerHello,
    PeerItems,
    PeerReport,
    decode_payload,
    encode_frame,
)
from boragetiller.gateway.settings import Endpoint
from boragetiller.timeouts import within

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.beliefs import Beliefs
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.peer_messages import PeerMessage
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.tables.store_view import StoredItem

REPORT_INTERVAL_MS = 100  # a long prompt takes longer to read, so each one is seen by the others
QUIET_INTERVAL_MS = 500  # between reports that say nothing new
CONNECT_TIMEOUT_MS = 1_000
RECONNECT_MS = 1_000
SILENT_MS = 3_000  # without a report
LAG_MS = 300  # how long a peer may lag behind the store before it is sent what it lacks
MAX_BUFFER_BYTES = 2_000_000  # a peer that does not read loses its connection
MAX_PEERS = 64  # bounds the exchange: 64 reports of 100 to 300 bytes ten times a second
FORGET_MS = 30_000  # a router that cannot be reached for so long, and is no seed, is gone


@attrs.define
class HeardPeer:
    """What was last heard of a peer."""

    incarnation: int
    revisions: FollowedRevisions = FollowedRevisions(0, 0)
    behind_since_ms: int | None = None


class PeerExchange:
    """Connections to and from the other routers."""

    def __init__(
        self, settings: GatewaySettings, beliefs: Beliefs, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        """
        Prepare the exchange.

        :param settings: where to listen, and whom to try first
        :param beliefs: what is sent, and who takes what is heard
        :param clock: monotonic time
        :param metrics: counters
        """
        self._settings = settings
        self._beliefs = beliefs
        self._clock = clock
        self._metrics = metrics
        self._incarnation = new_incarnation()
        self._heard: dict[str, HeardPeer] = {}
        self._dialed: dict[Endpoint, asyncio.Task[None]] = {}
        self._inbound: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._seeds: tuple[Endpoint, ...] = ()
        self.endpoint: Endpoint | None = None  # where this router listens, once started

    async def start(self) -> None:
        """Listen and connect to the seeds."""
        own = self._settings.peers
        if own is None:
            return
        self._server = await asyncio.start_server(self._accept, own.address, own.port)
        port: int = self._server.sockets[0].getsockname()[1]
        self.endpoint = Endpoint(own.address, port)
        self.connect(self._settings.seeds)

    def connect(self, endpoints: tuple[Endpoint, ...]) -> None:
        """
        Connect to routers that are not connected yet, and keep trying.

        :param endpoints: where they listen; these are tried for ever
        """
        self._seeds = endpoints
        for endpoint in endpoints:
            self._dial(endpoint)

    def reached(self) -> set[Endpoint]:
        """:return: routers to which a connection is kept or tried"""
        return set(self._dialed)

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._inbound:
            writer.transport.abort()
        for task in self._dialed.values():
            task.cancel()
        await asyncio.gather(*self._dialed.values(), return_exceptions=True)

    def _dial(self, endpoint: Endpoint) -> None:
        if endpoint in self._dialed or endpoint == self.endpoint:
            return
        if len(self._dialed) >= MAX_PEERS:
            return
        self._dialed[endpoint] = asyncio.create_task(self._keep_sending(endpoint))

    async def _keep_sending(self, endpoint: Endpoint) -> None:
        reached_ms = self._clock.now_ms()
        while endpoint in self._seeds or self._clock.now_ms() - reached_ms < FORGET_MS:
            with suppress(OSError, TimeoutError):
                _, writer = await within(
                    CONNECT_TIMEOUT_MS / 1_000,
                    asyncio.open_connection(endpoint.address, endpoint.port),
                )
                try:
                    detect_silence(writer.get_extra_info("socket"))
                    await self._send_reports(writer)
                finally:
                    writer.transport.abort()
                    reached_ms = self._clock.now_ms()
            await asyncio.sleep(RECONNECT_MS / 1_000)
        del self._dialed[endpoint]

    async def _send_reports(self, writer: asyncio.StreamWriter) -> None:
        assert self.endpoint is not None
        hello = PeerHello(
            name=self._settings.name,
            incarnation=self._incarnation,
            address=self.endpoint.address,
            port=self.endpoint.port,
        )
        writer.write(encode_frame(hello))
        sent: PeerReport | None = None
        sent_ms = 0
        told = self._beliefs.begin_telling()
        while not writer.transport.is_closing():
            now_ms = self._clock.now_ms()
            report = self._beliefs.report(told)
            if report.tells_news(sent) or now_ms - sent_ms >= QUIET_INTERVAL_MS:
                writer.write(encode_frame(report))
                sent, sent_ms = report, now_ms
            self._send_missing(writer)
            if writer.transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
                return
            await asyncio.sleep(REPORT_INTERVAL_MS / 1_000)

    def _send_missing(self, writer: asyncio.StreamWriter) -> None:
        """Send store entries to the peer at the other end, which its own reports name."""
        peer = self._peer_at(writer.get_extra_info("peername"))
        if peer is None or peer.behind_since_ms is None:
            return
        if self._clock.now_ms() - peer.behind_since_ms < LAG_MS:
            return
        items = self._beliefs.items_after(peer.revisions)
        if items:
            self._send_items(writer, items)
        peer.behind_since_ms = self._clock.now_ms()

    def _send_items(self, writer: asyncio.StreamWriter, items: list[StoredItem]) -> None:
        for item in items:  # one by one, so that a large one keeps back no other
            try:
                writer.write(encode_frame(PeerItems((item,))))
            except FrameTooLarge as error:
                log_event(Event.PEER_ITEM_WITHHELD, key=item.key, reason=str(error))

    def _peer_at(self, address: tuple[str, int]) -> HeardPeer | None:
        name = self._beliefs.peer_names.get(Endpoint(*address[:2]))
        return self._heard.get(name) if name else None

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._inbound.add(writer)
        try:
            detect_silence(writer.get_extra_info("socket"))
            await self._hear(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, BadFrame) as error:
            peer = writer.get_extra_info("peername")
            log_event(Event.PEER_LOST, peer=str(peer), reason=repr(error))
        finally:
            self._inbound.discard(writer)
            writer.transport.abort()

    async def _hear(self, reader: asyncio.StreamReader) -> None:
        hello = await _read_message(reader)
        if not isinstance(hello, PeerHello) or hello.name == self._settings.name:
            raise BadFrame("the first message is no hello of another router")
        endpoint = Endpoint(hello.address, hello.port)
        self._beliefs.peer_names[endpoint] = hello.name
        self._heard[hello.name] = peer = HeardPeer(hello.incarnation)
        self._beliefs.forget_peer(hello.name)  # it tells all of its work anew
        self._metrics.peers.set(len(self._heard))
        log_event(Event.PEER_HEARD, peer=hello.name, incarnation=hello.incarnation)
        self._dial(endpoint)
        try:
            await self._take_messages(reader, hello.name, peer)
        finally:
            if self._heard.get(hello.name) is peer:
                del self._heard[hello.name]
                self._beliefs.forget_peer(hello.name)
            self._metrics.peers.set(len(self._heard))

    async def _take_messages(
        self, reader: asyncio.StreamReader, name: str, peer: HeardPeer
    ) -> None:
        while True:
            message = await _read_message(reader)
            if isinstance(message, PeerReport):
                self._note_revisions(peer, message)
                self._beliefs.take_report(name, message)
            elif isinstance(message, PeerItems):
                self._beliefs.take_items(message.items, name)

    def _note_revisions(self, peer: HeardPeer, report: PeerReport) -> None:
        peer.revisions = FollowedRevisions(report.config_revision, report.servers_revision)
        if not self._beliefs.revisions().is_ahead_of(peer.revisions):
            peer.behind_since_ms = None
        elif peer.behind_since_ms is None:
            peer.behind_since_ms = self._clock.now_ms()


async def _read_message(reader: asyncio.StreamReader) -> PeerMessage:
    async with asyncio.timeout(SILENT_MS / 1_000):
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise BadFrame(f"{size} bytes")
        return decode_payload(await reader.readexactly(size))


__all__ = ["PeerExchange"]
