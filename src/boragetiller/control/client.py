"""Keeps a connection to one peer open."""

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
    """Where another process listens for the control exchange."""

    name: str
    address: str
    port: int


class PeerConnections(Protocol):
    """Knows which peers are connected."""

    def get_connection(self, name: str) -> Connection | None:
        """:return: the live connection to a peer, whoever opened it"""
        ...


class PeerClient:
    """Dials one peer, again after an exponential delay with jitter."""

    def __init__(
        self,
        peer: PeerEndpoint,
        *,
        settings: ControlSettings,
        peer_connections: PeerConnections,
        make_connection: Callable[[], Connection],
        dial_slots: asyncio.Semaphore,
        rng: Random,
    ) -> None:
        """
        Prepare the client.

        :param peer: whom to dial
        :param settings: delays
        :param links: tells whether the peer is connected already
        :param make_connection: builds the protocol of a new connection
        :param dial_slots: bounds how many peers are dialed at once
        :param rng: seeded generator for the jitter
        """
        self.peer = peer
        self._settings = settings
        self._peer_connections = peer_connections
        self._make_connection = make_connection
        self._dial_slots = dial_slots
        self._rng = rng
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to dial."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop dialing; an open connection is left to its owner."""
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
                self._note_result(connection)
            else:
                self._failures += 1
            await asyncio.sleep(self._next_delay_ms() / MS_PER_S)

    async def _dial(self) -> Connection | None:
        loop = asyncio.get_running_loop()
        async with self._dial_slots:
            try:
                async with asyncio.timeout(self._settings.suspect_after_ms / MS_PER_S):
                    _, connection = await loop.create_connection(
                        self._make_connection, self.peer.address, self.peer.port
                    )
            except OSError:
                return None
        return connection

    def _note_result(self, connection: Connection) -> None:
        self._failures = 0 if connection.session.authenticated else self._failures + 1

    def _next_delay_ms(self) -> float:
        doublings = min(self._failures, 16)
        ceiling_ms = self._settings.reconnect_base_ms * 2**doublings
        ceiling_ms = min(ceiling_ms, self._settings.reconnect_max_ms)
        return ceiling_ms * (0.5 + self._rng.random() / 2)


__all__ = ["PeerClient", "PeerEndpoint"]
