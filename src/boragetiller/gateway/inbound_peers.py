"""Connections that other routers open to this one, and what they report on them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.control.errors import BadFrame
from boragetiller.events import Event, log_event
from boragetiller.gateway.backend_connections import enable_keepalive
from boragetiller.gateway.peer_messages import PeerHello, PeerItems, PeerReport, PeerRouters
from boragetiller.gateway.peer_reader import HelloReader, read_message
from boragetiller.gateway.peer_states import InboundPeer
from boragetiller.gateway.settings import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.gateway.item_relay import ItemRelay
    from boragetiller.gateway.state_sync import StateSync

MAX_KNOWN_ROUTERS = 1_024  # more than twice the planned size of the fleet


class InboundPeers:
    """The routers that report to this one."""

    def __init__(
        self,
        own_name: str,
        state_sync: StateSync,
        item_relay: ItemRelay,
        *,
        on_changed: Callable[[], None],
        on_endpoint: Callable[[Endpoint], None],
    ) -> None:
        """
        Start without peers.

        :param own_name: name of this process
        :param state_sync: applies received reports
        :param item_relay: learns what peers know of the store
        :param on_changed: called when a peer connects or disconnects
        :param on_endpoint: called with each address of a router that a peer names
        """
        self.by_name: dict[str, InboundPeer] = {}
        self._own_name = own_name
        self._state_sync = state_sync
        self._item_relay = item_relay
        self._on_changed = on_changed
        self._on_endpoint = on_endpoint
        self._hello_reader = HelloReader()
        self._writers: set[asyncio.StreamWriter] = set()

    def list_endpoints(self) -> set[Endpoint]:
        """:return: addresses of the peers"""
        return {peer.endpoint for peer in self.by_name.values()}

    def find(self, address: tuple[str, int]) -> InboundPeer | None:
        """
        Find the peer that listens on an address.

        :param address: address and port
        :return: the peer, None if no router with that address reports here
        """
        name = self._state_sync.peer_names.get(Endpoint(*address[:2]))
        return self.by_name.get(name) if name else None

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """
        Serve a connection until it ends.

        :param reader: stream from the router that opened it
        :param writer: the other direction, on which nothing is sent
        """
        self._writers.add(writer)
        try:
            enable_keepalive(writer.get_extra_info("socket"))
            await self._receive(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, BadFrame) as error:
            peer = writer.get_extra_info("peername")
            log_event(Event.PEER_LOST, peer=str(peer), reason=repr(error))
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def abort(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        hello = await self._hello_reader.read(reader)
        if not isinstance(hello, PeerHello) or hello.name == self._own_name:
            raise BadFrame("first message is not a hello of another router")
        endpoint = Endpoint(hello.address, hello.port)
        if len(self.by_name) >= MAX_KNOWN_ROUTERS:
            raise BadFrame("more peers than routers")
        if not endpoint.is_valid:
            raise BadFrame(f"the hello of {hello.name} names the address {endpoint}")
        if hello.usage_only:
            await self._handle_usage(reader, hello.name)
            return
        self._state_sync.peer_names[endpoint] = hello.name
        self.by_name[hello.name] = peer = InboundPeer(
            hello.incarnation, endpoint, asks_for_config=hello.asks_for_config
        )
        self._state_sync.remove_peer(hello.name)  # its first report holds all of its loads
        self._on_changed()
        log_event(Event.PEER_HEARD, peer=hello.name, incarnation=hello.incarnation)
        self._on_endpoint(endpoint)
        try:
            await self._handle_messages(reader, hello.name, peer)
        finally:
            if self.by_name.get(hello.name) is peer:
                del self.by_name[hello.name]
                self._state_sync.remove_peer(hello.name)
            self._on_changed()

    async def _handle_usage(self, reader: asyncio.StreamReader, name: str) -> None:
        """Handle a connection of a router that may be no peer; see gateway.duties.usage_links."""
        usage = self._state_sync.usage
        try:
            while True:
                message = await read_message(reader)
                if isinstance(message, PeerReport) and usage is not None:
                    usage.apply_entries(name, message.usage)
        finally:
            if usage is not None:
                usage.remove_peer(name)

    async def _handle_messages(
        self, reader: asyncio.StreamReader, name: str, peer: InboundPeer
    ) -> None:
        while True:
            message = await read_message(reader)
            if isinstance(message, PeerReport):
                self._item_relay.record_report(peer, message)
                self._state_sync.apply_report(name, message)
                if message.config_source == self._own_name:
                    self._state_sync.report_due.set()  # the answer goes with the next report
            elif isinstance(message, PeerItems):
                self._state_sync.apply_items(message.items, name)
            elif isinstance(message, PeerRouters):
                for endpoint in message.endpoints:
                    self._on_endpoint(endpoint)


__all__ = ["MAX_KNOWN_ROUTERS", "InboundPeers"]
