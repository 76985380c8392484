"""HTTP server of the stand-ins, in a test or as a process of its own."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Protocol

import attrs
from aiohttp import web


@attrs.frozen(kw_only=True)
class ListenAddress:
    """IP address and port to listen on; port 0 picks a free one."""

    address: str = "127.0.0.1"
    port: int = 0


class Server(Protocol):
    """A stand-in that can run as a process."""

    @property
    def url(self) -> str:
        """:return: its base URL"""
        ...

    async def start(self) -> None:
        """Start serving."""
        ...

    async def close(self) -> None:
        """Stop serving."""
        ...


class WebServer:
    """Serves an aiohttp application; can stop and start listening again on the same port."""

    def __init__(self, app: web.Application, address: ListenAddress) -> None:
        """
        Create the server without listening.

        :param app: application to serve
        :param address: address to listen on
        """
        self.port = address.port
        self._address = address.address
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
        )
        self._port_reservation: socket.socket | None = None
        self._site: web.TCPSite | None = None

    @property
    def url(self) -> str:
        """:return: base URL"""
        return f"http://{self._address}:{self.port}"

    async def start(self) -> None:
        """Start listening; the port stays reserved until :meth:`close`."""
        self._port_reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_reservation.bind((self._address, self.port))
        self.port = self._port_reservation.getsockname()[1]
        await self._runner.setup()
        await self.start_listening()

    async def start_listening(self) -> None:
        """Listen on the reserved port."""
        self._site = web.TCPSite(self._runner, self._address, self.port, reuse_port=True)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Stop listening and reset the open connections."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        server = self._runner.server
        for handler in list(server.connections) if server else []:
            if handler.transport is not None:
                reset_connection(handler.transport)

    async def close(self) -> None:
        """Stop serving and release the port."""
        await self._runner.cleanup()
        if self._port_reservation is not None:
            self._port_reservation.close()
            self._port_reservation = None


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """
    Abort a connection so that the peer sees a reset.

    :param transport: the connection, None if it is closed already
    """
    if isinstance(transport, asyncio.Transport):
        transport.abort()


async def serve_until_signal(server: Server) -> None:
    """
    Run a stand-in until SIGINT or SIGTERM, printing its base URL to standard output.

    :param server: the stand-in
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await server.start()
    print(server.url, flush=True)
    await stop.wait()
    await server.close()


__all__ = ["ListenAddress", "Server", "WebServer", "reset_connection", "serve_until_signal"]
