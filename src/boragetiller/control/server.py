"""Accepts control connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.control.connection import Connection
    from boragetiller.settings import ControlSettings

BACKLOG = 512


class ControlServer:
    """Listens on the control port."""

    def __init__(
        self, settings: ControlSettings, make_connection: Callable[[], Connection]
    ) -> None:
        """
        Prepare the server.

        :param settings: address and port
        :param make_connection: builds the protocol of an accepted connection
        """
        self._settings = settings
        self._make_connection = make_connection
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """:return: the port in use"""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, self._settings.address, self._settings.port, backlog=BACKLOG
        )

    async def close(self) -> None:
        """Stop listening; open connections are left to their owner."""
        if self._server is not None:
            self._server.close()


__all__ = ["ControlServer"]
