"""
Control exchange of one process: the listener and the connections to all peers.

Usage
-----
::

    exchange = ControlExchange(settings, incarnation, handler, clock, metrics)
    await exchange.start()                      # listens on the port in settings.control
    exchange.set_peers([PeerEndpoint("agent-1", "10.0.0.7", 7400)])
    exchange.send("agent-1", message)           # False if the peer is not connected
    exchange.broadcast(message)
    await exchange.close()

The methods of the handler are called on the event loop and must not block. A router passes the
agents of its subset and its router peers to ``set_peers``; agents connect to no peer themselves.
``ControlNode`` in ``control/node.py`` wraps all of this for a process.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Protocol

from boragetiller.control.client import PeerClient
from boragetiller.control.codec import encode
from boragetiller.control.connection import Connection
from boragetiller.control.errors import ControlError, FrameTooLarge, TooManyHandshakes
from boragetiller.control.messages import Goodbye, Hello
from boragetiller.control.server import ControlServer
from boragetiller.control.session import NONCE_BYTES, Session
from boragetiller.events import Event, log_event
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.client import PeerEndpoint
    from boragetiller.control.messages import Message
    from boragetiller.metrics import Metrics
    from boragetiller.settings import Settings

MAX_CONCURRENT_DIALS = 16
MAX_PENDING_HANDSHAKES = 256
MS_PER_S = 1_000


class ControlHandler(Protocol):
    """Callbacks of the exchange; `peer` is the authenticated hello message of the peer."""

    def on_connected(self, peer: Hello) -> None:
        """Handle a new connection."""
        ...

    def on_message(self, peer: Hello, message: Message) -> None:
        """Handle a message."""
        ...

    def on_disconnected(self, peer: Hello) -> None:
        """Handle the loss of the connection to a peer."""
        ...


class ControlExchange:
    """Sends messages to peers and passes received messages to a handler."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        handler: ControlHandler,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """
        Configure the exchange; `start` opens the port.

        :param settings: settings of the process
        :param incarnation: number of this start of the process; increases with each start
        :param handler: callbacks for connections and messages
        :param clock: monotonic time
        :param metrics: counters, among them one for each reason to close a connection
        """
        self.traffic_counts: Counter[str] = Counter()
        self._settings = settings.control
        self._hello = Hello(
            role=settings.role,
            name=settings.name,
            incarnation=incarnation,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        self._handler = handler
        self._clock = clock
        self._metrics = metrics
        self._rng = Random(settings.seed)
        self._server = ControlServer(settings.control, lambda: self._make_connection(False))
        self._dial_semaphore = asyncio.Semaphore(MAX_CONCURRENT_DIALS)
        self._clients: dict[str, PeerClient] = {}
        self._connections: set[Connection] = set()
        self._connections_by_peer: dict[str, Connection] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._timeout_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """:return: port that the exchange listens on"""
        return self._server.port

    @property
    def connected_peers(self) -> list[str]:
        """:return: names of the connected peers"""
        return sorted(self._connections_by_peer)

    async def start(self) -> None:
        """Start to listen and to check timeouts."""
        await self._server.start()
        self._timeout_task = asyncio.create_task(self._check_timeouts())

    async def close(self, reason: str = "stopping") -> None:
        """
        Send a goodbye message to each peer and close all connections.

        :param reason: sent to the peers
        """
        await self._server.close()
        if self._timeout_task is not None:
            self._timeout_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._timeout_task
        clients = list(self._clients.values())
        self._clients.clear()
        await asyncio.gather(*(client.close() for client in clients), *self._closing_tasks)
        self.broadcast(Goodbye(reason=reason))
        closing = list(self._connections)
        for connection in closing:
            connection.close()
        with contextlib.suppress(TimeoutError):
            waits = (connection.closed.wait() for connection in closing)
            await wait_with_timeout(self._settings.heartbeat_ms / MS_PER_S, asyncio.gather(*waits))
        for connection in list(self._connections):
            connection.abort(ControlError())

    def set_peers(self, peers: Iterable[PeerEndpoint]) -> None:
        """
        Replace the set of peers to which this process keeps a connection.

        :param peers: peers to connect to; other peers that this side connected to are disconnected
        """
        wanted = {peer.name: peer for peer in peers}
        for name, client in list(self._clients.items()):
            if wanted.get(name) != client.peer:
                self._remove_client(name)
        for name, peer in wanted.items():
            if name not in self._clients and name != self._hello.name:
                self._add_client(peer)

    def get_connection(self, name: str) -> Connection | None:
        """:return: the open connection to a peer, whichever side opened it; None without one"""
        return self._connections_by_peer.get(name)

    def send(self, name: str, message: Message) -> bool:
        """
        Send a message to one peer.

        :param name: name of the peer
        :param message: the message
        :return: whether the message was written to a connection
        """
        return self.send_all([name], message) == 1

    def broadcast(self, message: Message) -> int:
        """
        Send a message to every connected peer.

        :param message: the message
        :return: number of peers to which it was sent
        """
        return self.send_all(list(self._connections_by_peer), message)

    def send_all(self, names: list[str], message: Message) -> int:
        """
        Send a message to several peers.

        :param names: names of the peers; those that are not connected are skipped
        :param message: the message
        :return: number of peers to which it was sent
        """
        connections = [
            self._connections_by_peer[name] for name in names if name in self._connections_by_peer
        ]
        if not connections:
            return 0
        try:
            payload = encode(message)
            sizes = [connection.send(payload) for connection in connections]
        except FrameTooLarge:
            self._metrics.increment("control.not_sent.frame_too_large")
            return 0
        count = sum(size_bytes > 0 for size_bytes in sizes)
        self.traffic_counts[f"sent.{type(message).__name__}"] += count
        self.traffic_counts["sent_bytes"] += sum(sizes)
        return count

    def on_opened(self, connection: Connection) -> None:
        """See :class:`ConnectionObserver`."""
        self._connections.add(connection)
        pending = sum(1 for each in self._connections if not each.session.authenticated)
        if pending > MAX_PENDING_HANDSHAKES:
            connection.abort(TooManyHandshakes())

    def on_authenticated(self, connection: Connection) -> None:
        """See :class:`ConnectionObserver`."""
        peer = _get_peer(connection)
        existing = self._connections_by_peer.get(peer.name)
        if existing is not None and not self._should_replace(connection, existing):
            connection.abort_as_replaced()
            return
        self._connections_by_peer[peer.name] = connection
        if existing is not None:
            existing.abort_as_replaced()
            self._handler.on_disconnected(_get_peer(existing))
        log_event(Event.CONTROL_CONNECTED, peer=peer.name, incarnation=peer.incarnation)
        self._handler.on_connected(peer)

    def on_bytes_received(self, size_bytes: int) -> None:
        """See :class:`ConnectionObserver`."""
        self.traffic_counts["received_bytes"] += size_bytes

    def on_message_received(self, connection: Connection, message: Message) -> None:
        """See :class:`ConnectionObserver`."""
        peer = _get_peer(connection)
        if self._connections_by_peer.get(peer.name) is not connection:
            return
        self.traffic_counts[f"received.{type(message).__name__}"] += 1
        self._handler.on_message(peer, message)

    def on_closed(self, connection: Connection, error: ControlError | None) -> None:
        """See :class:`ConnectionObserver`."""
        self._connections.discard(connection)
        peer = connection.session.peer
        reason = error.code if error else "by_peer"
        self._metrics.increment(f"control.closed.{reason}")
        name = peer.name if peer else "unknown"
        log_event(Event.CONTROL_CLOSED, peer=name, reason=reason)
        if peer is not None and self._connections_by_peer.get(peer.name) is connection:
            del self._connections_by_peer[peer.name]
            self._handler.on_disconnected(peer)

    def _should_replace(self, new: Connection, existing: Connection) -> bool:
        new_peer, existing_peer = _get_peer(new), _get_peer(existing)
        if new_peer.incarnation != existing_peer.incarnation:
            return new_peer.incarnation > existing_peer.incarnation
        if new.session.is_dialer == existing.session.is_dialer:
            return True  # the side that opened both has abandoned the earlier one
        return new.session.is_dialer == (self._hello.name < new_peer.name)

    def _make_connection(self, is_dialer: bool) -> Connection:
        nonce = secrets.token_bytes(NONCE_BYTES)
        session = Session(self._settings, self._hello, nonce, is_dialer)
        return Connection(session, self, self._settings, self._clock)

    def _add_client(self, peer: PeerEndpoint) -> None:
        client = PeerClient(
            peer,
            settings=self._settings,
            peer_connections=self,
            make_connection=lambda: self._make_connection(True),
            dial_semaphore=self._dial_semaphore,
            rng=self._rng,
        )
        self._clients[peer.name] = client
        client.start()

    def _remove_client(self, name: str) -> None:
        task = asyncio.create_task(self._clients.pop(name).close())
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)
        connection = self._connections_by_peer.get(name)
        if connection is not None and connection.session.is_dialer:
            self.send(name, Goodbye(reason="not_needed"))
            connection.close()

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / MS_PER_S)
            for connection in list(self._connections):
                connection.check_timeouts()


def _get_peer(connection: Connection) -> Hello:
    peer = connection.session.peer
    assert peer is not None
    return peer


__all__ = ["ControlExchange", "ControlHandler"]
