"""One listening port of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from boragetiller.gateway.settings import Endpoint

BACKLOG = 1_024  # connections that wait to be taken; a full queue costs callers seconds
SHUTDOWN_TIMEOUT_S = 1.0


class Listener:
    """An HTTP server on its port."""

    def __init__(self, server: web.Server, endpoint: Endpoint) -> None:
        """
        Prepare the port.

        :param server: handles requests
        :param endpoint: where to listen; port 0 takes a free one
        """
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._endpoint = endpoint
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        endpoint = self._endpoint
        self._site = web.TCPSite(self._runner, endpoint.address, endpoint.port, backlog=BACKLOG)
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
