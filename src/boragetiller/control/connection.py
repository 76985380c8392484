"""Control connection over a socket, with timeouts for silent peers."""

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

SILENCE_TIMEOUT_FACTOR = 2  # multiple of suspect_after_ms after which a connection is closed


class ConnectionObserver(Protocol):
    """Callbacks of a connection."""

    def on_opened(self, connection: Connection) -> None:
        """Handle a new connection whose handshake has not finished."""
        ...

    def on_authenticated(self, connection: Connection) -> None:
        """Handle the end of the handshake."""
        ...

    def on_message_received(self, connection: Connection, message: Message) -> None:
        """Handle a message."""
        ...

    def on_bytes_received(self, size_bytes: int) -> None:
        """Handle the arrival of bytes."""
        ...

    def on_closed(self, connection: Connection, error: ControlError | None) -> None:
        """Handle the close; `error` is the reason if this side aborted the connection."""
        ...


class Connection(asyncio.Protocol):
    """Transfers bytes between a socket and a session."""

    def __init__(
        self,
        session: Session,
        observer: ConnectionObserver,
        settings: ControlSettings,
        clock: Clock,
    ) -> None:
        """
        Set up a connection that is not yet open.

        :param session: handshake, framing and authentication
        :param observer: callbacks for messages and the close
        :param settings: limits and timeouts
        :param clock: monotonic time for the timeouts
        """
        self.session = session
        self.closed = asyncio.Event()
        self._observer = observer
        self._settings = settings
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._error: ControlError | None = None
        self._last_received_ms = clock.now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._observer.on_opened(self)
        self._flush()

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        self._last_received_ms = self._clock.now_ms()
        self._observer.on_bytes_received(len(data))
        was_authenticated = self.session.authenticated
        try:
            messages = self.session.receive(data)
        except ControlError as error:
            self.abort(error)
            return
        self._flush()
        if self.session.authenticated and not was_authenticated:
            self._observer.on_authenticated(self)
        for message in messages:
            if self._error is None:
                self._observer.on_message_received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """See :class:`asyncio.Protocol`."""
        self.closed.set()
        self._observer.on_closed(self, self._error)

    def send(self, payload: bytes) -> int:
        """
        Send an encoded message; the connection is aborted if the peer does not read.

        :param payload: encoded message
        :return: bytes written, 0 if the connection is closed
        :raises FrameTooLarge: the message exceeds the frame limit; nothing was sent
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        self.session.send_payload(payload)
        if self._transport.get_write_buffer_size() > 2 * self._settings.max_frame_bytes:
            self.abort(PeerSlow())
            return 0
        return self._flush()

    def check_timeouts(self) -> None:
        """Abort the connection if the handshake is overdue or the peer is silent for too long."""
        silence_ms = self._clock.now_ms() - self._last_received_ms
        if not self.session.authenticated and silence_ms > self._settings.suspect_after_ms:
            self.abort(HandshakeTimeout())
        elif silence_ms > SILENCE_TIMEOUT_FACTOR * self._settings.suspect_after_ms:
            self.abort(PeerSilent())

    def abort(self, error: ControlError) -> None:
        """
        Close immediately because of an error.

        :param error: reason, passed to the observer unless an earlier one was set
        """
        if self._error is None:
            self._error = error
        if self._transport is not None:
            self._transport.abort()

    def abort_as_replaced(self) -> None:
        """Close because another connection to the same peer is kept."""
        self.abort(ConnectionReplaced())

    def close(self) -> None:
        """Close after the buffered bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def _flush(self) -> int:
        data = self.session.pop_outgoing()
        if data and self._transport is not None:
            self._transport.write(data)
        return len(data)


__all__ = ["Connection", "ConnectionObserver"]
