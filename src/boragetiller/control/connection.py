"""A control connection on its socket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from boragetiller.control.errors import (
    ConnectionReplaced,
    ControlError,
    HandshakeTimeout,
    PeerSilent,
    PeerSlow,
)

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.control.messages import Message
    from boragetiller.control.session import Session
    from boragetiller.settings import ControlSettings

SILENT_INTERVALS = 2  # of suspect_after_ms, until a silent connection is closed


class ConnectionOwner(Protocol):
    """Who is told of a connection's life."""

    def on_opened(self, connection: Connection) -> None:
        """Tell that a connection waits for its handshake."""
        ...

    def on_authenticated(self, connection: Connection) -> None:
        """Tell that the handshake is done."""
        ...

    def on_received(self, connection: Connection, message: Message) -> None:
        """Hand over a message."""
        ...

    def on_bytes(self, size_bytes: int) -> None:
        """Count bytes that arrived."""
        ...

    def on_closed(self, connection: Connection, error: ControlError | None) -> None:
        """Tell that the connection is closed, and why when this side closed it for a fault."""
        ...


class Connection(asyncio.Protocol):
    """Feeds a session from its socket and back."""

    def __init__(
        self, session: Session, owner: ConnectionOwner, settings: ControlSettings, clock: Clock
    ) -> None:
        """
        Prepare a connection.

        :param session: handshake and framing
        :param owner: told of messages and of the end
        :param settings: limits
        :param clock: for timeouts
        """
        self.session = session
        self.closed = asyncio.Event()
        self._owner = owner
        self._settings = settings
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._error: ControlError | None = None
        self._heard_ms = clock.now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._owner.on_opened(self)
        self._flush()

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        self._heard_ms = self._clock.now_ms()
        self._owner.on_bytes(len(data))
        was_authenticated = self.session.authenticated
        try:
            messages = self.session.receive(data)
        except ControlError as error:
            self.abort(error)
            return
        self._flush()
        if self.session.authenticated and not was_authenticated:
            self._owner.on_authenticated(self)
        for message in messages:
            if self._error is None:
                self._owner.on_received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """See :class:`asyncio.Protocol`."""
        self.closed.set()
        self._owner.on_closed(self, self._error)

    def send(self, payload: bytes) -> int:
        """
        Send an encoded message; a peer that does not read loses its connection.

        :param payload: the message
        :return: bytes written
        :raises FrameTooLarge: it is over the limit; nothing was sent
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        self.session.send_payload(payload)
        if self._transport.get_write_buffer_size() > 2 * self._settings.max_frame_bytes:
            self.abort(PeerSlow())
            return 0
        return self._flush()

    def check_timeouts(self) -> None:
        """Close the connection when the handshake or the peer takes too long."""
        silent_ms = self._clock.now_ms() - self._heard_ms
        if not self.session.authenticated and silent_ms > self._settings.suspect_after_ms:
            self.abort(HandshakeTimeout())
        elif silent_ms > SILENT_INTERVALS * self._settings.suspect_after_ms:
            self.abort(PeerSilent())

    def abort(self, error: ControlError) -> None:
        """
        Close at once for a fault.

        :param error: the reason, counted
        """
        if self._error is None:
            self._error = error
        if self._transport is not None:
            self._transport.abort()

    def abort_as_replaced(self) -> None:
        """Close in favour of another connection to the same peer."""
        self.abort(ConnectionReplaced())

    def close(self) -> None:
        """Close after what was sent has left."""
        if self._transport is not None:
            self._transport.close()

    def _flush(self) -> int:
        data = self.session.take_outgoing()
        if data and self._transport is not None:
            self._transport.write(data)
        return len(data)


__all__ = ["Connection", "ConnectionOwner"]
