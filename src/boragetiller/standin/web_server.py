"""What the stand-ins share: an embeddable HTTP server and its life as a process."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Protocol

import attrs
from aiohttp import web


@attrs.frozen(kw_only=True)
class ListenAddress:
    """Where a stand-in listens; port 0 takes a free one."""

    address: str = "127.0.0.1"
    port: int = 0


class Server(Protocol):
    """A stand-in that can be run as a process."""

    @property
    def url(self) -> str:
        """:return: its base URL"""
        ...

    async def start(self) -> None:
        """Begin to serve."""
        ...

    async def close(self) -> None:
        """Stop serving."""
        ...


class WebServer:
    """An aiohttp application on one port, which can go down and come back on the same port."""

    def __init__(self, app: web.Application, address: ListenAddress) -> None:
        """
        Prepare the server.

        :param app: what to serve
        :param address: where to listen
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
        """Begin to serve; the port stays reserved until :meth:`close`."""
        self._port_reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._port_reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_reservation.bind((self._address, self.port))
        self.port = self._port_reservation.getsockname()[1]
        await self._runner.setup()
        await self.start_listening()

    async def start_listening(self) -> None:
        """Accept connections."""
        self._site = web.TCPSite(self._runner, self._address, self.port, reuse_port=True)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset each open connection."""
        server = self._runner.server
        for handler in list(server.connections) if server else []:
            if handler.transport is not None:
                reset_connection(handler.transport)

    async def close(self) -> None:
        """Stop serving and give the port back."""
        await self._runner.cleanup()
        if self._port_reservation is not None:
            self._port_reservation.close()
            self._port_reservation = None


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """
    Close a connection so that the peer sees a reset.

    :param transport: the connection, None when it is gone already
    """
    if isinstance(transport, asyncio.Transport):
        transport.abort()


async def serve_until_signal(server: Server) -> None:
    """
    Run a stand-in until SIGINT or SIGTERM.

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
