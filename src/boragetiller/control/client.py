"""Client that keeps a control connection to one peer open."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from boragetiller.control.connection import Connection
    from boragetiller.settings import ControlSettings

MS_PER_S = 1_000


@attrs.frozen
class PeerEndpoint:
    """Address at which another process accepts control connections."""

    name: str
    address: str
    port: int


class PeerConnections(Protocol):
    """Lookup of the connections to peers."""

    def get_connection(self, name: str) -> Connection | None:
        """:return: the open connection to a peer, whichever side opened it; None without one"""
        ...


class PeerClient:
    """Connects to one peer and reconnects with exponential backoff and jitter."""

    def __init__(
        self,
        peer: PeerEndpoint,
        *,
        settings: ControlSettings,
        peer_connections: PeerConnections,
        make_connection: Callable[[], Connection],
        dial_semaphore: asyncio.Semaphore,
        rng: Random,
    ) -> None:
        """
        Configure the client; `start` begins to connect.

        :param peer: peer to connect to
        :param settings: backoff delays and connect timeout
        :param peer_connections: lookup of a connection that the peer opened
        :param make_connection: factory for the protocol of a new connection
        :param dial_semaphore: limits the connection attempts in progress
        :param rng: generator for the jitter
        """
        self.peer = peer
        self._settings = settings
        self._peer_connections = peer_connections
        self._make_connection = make_connection
        self._dial_semaphore = dial_semaphore
        self._rng = rng
        self._consecutive_failures = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to connect in the background."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop connecting; does not close an open connection."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            connection = self._peer_connections.get_connection(self.peer.name)
            if connection is None:
                connection = await self._dial()
            if connection is not None:
                await connection.closed.wait()
                self._record_result(connection)
            else:
                self._consecutive_failures += 1
            await asyncio.sleep(self._draw_retry_delay_ms() / MS_PER_S)

    async def _dial(self) -> Connection | None:
        loop = asyncio.get_running_loop()
        async with self._dial_semaphore:
            try:
                async with asyncio.timeout(self._settings.suspect_after_ms / MS_PER_S):
                    _, connection = await loop.create_connection(
                        self._make_connection, self.peer.address, self.peer.port
                    )
            except OSError:
                return None
        return connection

    def _record_result(self, connection: Connection) -> None:
        self._consecutive_failures = (
            0 if connection.session.authenticated else self._consecutive_failures + 1
        )

    def _draw_retry_delay_ms(self) -> float:
        exponent = min(self._consecutive_failures, 16)
        max_delay_ms = self._settings.reconnect_base_ms * 2**exponent
        max_delay_ms = min(max_delay_ms, self._settings.reconnect_max_ms)
        return max_delay_ms * (0.5 + self._rng.random() / 2)


__all__ = ["PeerClient", "PeerEndpoint"]
