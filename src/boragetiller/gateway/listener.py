"""One listening port of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.gateway.listening_socket import BACKLOG

if TYPE_CHECKING:
    from socket import socket

    from boragetiller.gateway.settings import Endpoint

SHUTDOWN_TIMEOUT_S = 1.0


class Listener:
    """An HTTP server on its port."""

    def __init__(
        self, server: web.Server, endpoint: Endpoint, listening_socket: socket | None = None
    ) -> None:
        """
        Prepare the port.

        :param server: handles requests
        :param endpoint: where to listen; port 0 takes a free one
        :param listening: socket that listens there already, None to open one
        """
        self._listening_socket = listening_socket
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._endpoint = endpoint
        self._site: web.BaseSite | None = None

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        if self._listening_socket is not None:
            self._site = web.SockSite(self._runner, self._listening_socket, backlog=BACKLOG)
        else:
            address, port = self._endpoint.address, self._endpoint.port
            self._site = web.TCPSite(self._runner, address, port, backlog=BACKLOG)
        await self._site.start()

    @property
    def port(self) -> int:
        """:return: the real port, once started"""
        port: int = self._runner.addresses[0][1]
        return port

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Close all connections."""
        await self.stop_listening()
        await self._runner.cleanup()


__all__ = ["Listener"]
