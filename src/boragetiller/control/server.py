"""Server that accepts control connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.control.connection import Connection
    from boragetiller.settings import ControlSettings

BACKLOG = 512


class ControlServer:
    """Listener on the control port."""

    def __init__(
        self, settings: ControlSettings, make_connection: Callable[[], Connection]
    ) -> None:
        """
        Configure the server; `start` opens the port.

        :param settings: address and port
        :param make_connection: factory for the protocol of an accepted connection
        """
        self._settings = settings
        self._make_connection = make_connection
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """:return: port that the server listens on"""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection, self._settings.address, self._settings.port, backlog=BACKLOG
        )

    async def close(self) -> None:
        """Stop listening; does not close open connections."""
        if self._server is not None:
            self._server.close()


__all__ = ["ControlServer"]
