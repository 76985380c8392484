"""A listening HTTP port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.caller_limits.listening import BoundedSite

if TYPE_CHECKING:
    from socket import socket

    from boragetiller.gateway.settings import Endpoint

SHUTDOWN_TIMEOUT_S = 1.0


class Listener:
    """An HTTP server that listens on one port."""

    def __init__(
        self, server: web.Server, endpoint: Endpoint, listening_socket: socket | None = None
    ) -> None:
        """
        Create the listener; it is inactive until started.

        :param server: HTTP server that handles requests
        :param endpoint: address to listen on; port 0 takes a free port
        :param listening_socket: socket that already listens there, None to open one
        """
        self._listening_socket = listening_socket
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._endpoint = endpoint
        self._site: web.BaseSite | None = None

    async def start(self) -> None:
        """Start to listen."""
        await self._runner.setup()
        where = self._listening_socket or (self._endpoint.address, self._endpoint.port)
        self._site = BoundedSite(self._runner, where)
        await self._site.start()

    @property
    def port(self) -> int:
        """:return: actual port, once started"""
        port: int = self._runner.addresses[0][1]
        return port

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.stop_listening()
        await self._runner.cleanup()


__all__ = ["Listener"]
