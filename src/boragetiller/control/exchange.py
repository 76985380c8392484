"""
The control exchange of one process: a listener and a connection to each peer.

How the adapters call it
------------------------
::

    exchange = ControlExchange(settings, incarnation, handler, clock, metrics)
    await exchange.start()                      # listens on settings.control
    exchange.set_peers([PeerEndpoint("agent-1", "10.0.0.7", 7400)])
    exchange.send("agent-1", message)           # False when not connected
    exchange.broadcast(message)
    await exchange.close()

The handler's methods are called on the event loop and must not block. A router names the agents of
its subset and its router peers in ``set_peers``; agents name nobody. ``ControlNode`` in
``control/node.py`` does all this for a process: the daemon needs only that.
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

MAX_DIALS = 16
MAX_HANDSHAKES = 256
MS_PER_S = 1_000


class ControlHandler(Protocol):
    """Receives what the exchange brings; `peer` is the authenticated hello of the sender."""

    def on_connected(self, peer: Hello) -> None:
        """Take notice of a new connection."""
        ...

    def on_message(self, peer: Hello, message: Message) -> None:
        """Take a message."""
        ...

    def on_disconnected(self, peer: Hello) -> None:
        """Take notice that the peer is no longer connected."""
        ...


class ControlExchange:
    """Sends messages to peers and hands theirs to a handler."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        handler: ControlHandler,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """
        Prepare the exchange.

        :param settings: settings of the process
        :param incarnation: number of this start of the process, higher than that of an earlier one
        :param handler: receives messages
        :param clock: monotonic time
        :param metrics: counters, one for each reason of a closed connection
        """
        self.traffic: Counter[str] = Counter()
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
        self._dial_slots = asyncio.Semaphore(MAX_DIALS)
        self._clients: dict[str, PeerClient] = {}
        self._connections: set[Connection] = set()
        self._by_name: dict[str, Connection] = {}
        self._background: set[asyncio.Task[None]] = set()
        self._timer: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """:return: the port that the exchange listens on"""
        return self._server.port

    @property
    def connected_peers(self) -> list[str]:
        """:return: names of the connected peers"""
        return sorted(self._by_name)

    async def start(self) -> None:
        """Listen and watch over timeouts."""
        await self._server.start()
        self._timer = asyncio.create_task(self._check_timeouts())

    async def close(self, reason: str = "stopping") -> None:
        """
        Say goodbye and close every connection.

        :param reason: told to the peers
        """
        await self._server.close()
        if self._timer is not None:
            self._timer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._timer
        clients = list(self._clients.values())
        self._clients.clear()
        await asyncio.gather(*(client.close() for client in clients), *self._background)
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
        Replace the set of peers that this process keeps a connection to.

        :param peers: whom to dial; a peer that is no longer named is disconnected
        """
        wanted = {peer.name: peer for peer in peers}
        for name, client in list(self._clients.items()):
            if wanted.get(name) != client.peer:
                self._drop_client(name)
        for name, peer in wanted.items():
            if name not in self._clients and name != self._hello.name:
                self._add_client(peer)

    def get_connection(self, name: str) -> Connection | None:
        """:return: the live connection to a peer, whoever opened it"""
        return self._by_name.get(name)

    def send(self, name: str, message: Message) -> bool:
        """
        Send a message to one peer.

        :param name: the peer
        :param message: the message
        :return: whether it was handed to a connection
        """
        return self.send_all([name], message) == 1

    def broadcast(self, message: Message) -> int:
        """
        Send a message to every connected peer.

        :param message: the message
        :return: how many peers it went to
        """
        return self.send_all(list(self._by_name), message)

    def send_all(self, names: list[str], message: Message) -> int:
        """
        Send a message to several peers.

        :param names: the peers; those that are not connected are passed over
        :param message: the message
        :return: how many peers it went to
        """
        connections = [self._by_name[name] for name in names if name in self._by_name]
        if not connections:
            return 0
        try:
            payload = encode(message)
            sizes = [connection.send(payload) for connection in connections]
        except FrameTooLarge:
            self._metrics.increment("control.not_sent.frame_too_large")
            return 0
        count = sum(size_bytes > 0 for size_bytes in sizes)
        self.traffic[f"sent.{type(message).__name__}"] += count
        self.traffic["sent_bytes"] += sum(sizes)
        return count

    def on_opened(self, connection: Connection) -> None:
        """See :class:`ConnectionOwner`."""
        self._connections.add(connection)
        pending = sum(1 for each in self._connections if not each.session.authenticated)
        if pending > MAX_HANDSHAKES:
            connection.abort(TooManyHandshakes())

    def on_authenticated(self, connection: Connection) -> None:
        """See :class:`ConnectionOwner`."""
        peer = _peer_of(connection)
        present = self._by_name.get(peer.name)
        if present is not None and not self._prefers(connection, present):
            connection.abort_as_replaced()
            return
        self._by_name[peer.name] = connection
        if present is not None:
            present.abort_as_replaced()
            self._handler.on_disconnected(_peer_of(present))
        log_event(Event.CONTROL_CONNECTED, peer=peer.name, incarnation=peer.incarnation)
        self._handler.on_connected(peer)

    def on_bytes(self, size_bytes: int) -> None:
        """See :class:`ConnectionOwner`."""
        self.traffic["received_bytes"] += size_bytes

    def on_received(self, connection: Connection, message: Message) -> None:
        """See :class:`ConnectionOwner`."""
        peer = _peer_of(connection)
        if self._by_name.get(peer.name) is not connection:
            return
        self.traffic[f"received.{type(message).__name__}"] += 1
        self._handler.on_message(peer, message)

    def on_closed(self, connection: Connection, error: ControlError | None) -> None:
        """See :class:`ConnectionOwner`."""
        self._connections.discard(connection)
        peer = connection.session.peer
        reason = error.code if error else "by_peer"
        self._metrics.increment(f"control.closed.{reason}")
        name = peer.name if peer else "unknown"
        log_event(Event.CONTROL_CLOSED, peer=name, reason=reason)
        if peer is not None and self._by_name.get(peer.name) is connection:
            del self._by_name[peer.name]
            self._handler.on_disconnected(peer)

    def _prefers(self, new: Connection, present: Connection) -> bool:
        new_peer, present_peer = _peer_of(new), _peer_of(present)
        if new_peer.incarnation != present_peer.incarnation:
            return new_peer.incarnation > present_peer.incarnation
        if new.session.dialer == present.session.dialer:
            return True  # the peer has given up the earlier one
        return new.session.dialer == (self._hello.name < new_peer.name)

    def _make_connection(self, dialer: bool) -> Connection:
        nonce = secrets.token_bytes(NONCE_BYTES)
        session = Session(self._settings, self._hello, nonce, dialer)
        return Connection(session, self, self._settings, self._clock)

    def _add_client(self, peer: PeerEndpoint) -> None:
        client = PeerClient(
            peer,
            settings=self._settings,
            peer_connections=self,
            make_connection=lambda: self._make_connection(True),
            dial_slots=self._dial_slots,
            rng=self._rng,
        )
        self._clients[peer.name] = client
        client.start()

    def _drop_client(self, name: str) -> None:
        task = asyncio.create_task(self._clients.pop(name).close())
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        connection = self._by_name.get(name)
        if connection is not None and connection.session.dialer:
            self.send(name, Goodbye(reason="not_needed"))
            connection.close()

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / MS_PER_S)
            for connection in list(self._connections):
                connection.check_timeouts()


def _peer_of(connection: Connection) -> Hello:
    peer = connection.session.peer
    assert peer is not None
    return peer


__all__ = ["ControlExchange", "ControlHandler"]
