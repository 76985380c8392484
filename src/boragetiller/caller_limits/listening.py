"""Listening ports that accept a few connections in each turn of the event loop."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

BACKLOG = 1_024  # connections; when it is full, callers retransmit SYNs for seconds
# asyncio accepts as many connections as the backlog before it serves the first one. All of them
# would have a descriptor before any could be refused.
ACCEPTS_PER_TURN = 32
TLS_HANDSHAKE_TIMEOUT_S = 5.0  # a handshake takes two round trips
# The kernel keeps up to twice these sizes of what a process has not read. With 8 KiB a body of
# 100 KB took 1.3 s on loopback, with 16 KiB up to 0.2 s.
RECEIVE_BUFFER_BYTES = 65_536
SMALL_RECEIVE_BUFFER_BYTES = 32_768
LARGE_BUFFER_CONNECTIONS = 256


def open_socket(address: str, port: int) -> socket.socket:
    """
    Open a listening TCP socket.

    :param address: IP address
    :param port: TCP port, 0 for a free one
    :return: the non-blocking socket
    :raises OSError: the address cannot be bound
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    sock = socket.create_server((address, port), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    return sock


def bound_receive_buffer(sock: socket.socket | None, connections: int) -> None:
    """
    Bound what the kernel keeps of a connection that is not read.

    :param sock: its socket, None if it has none
    :param connections: number of connections of the process
    """
    if sock is not None:
        few = connections < LARGE_BUFFER_CONNECTIONS
        size = RECEIVE_BUFFER_BYTES if few else SMALL_RECEIVE_BUFFER_BYTES
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


class BoundedSite(web.SockSite):
    """Accepts connections on a socket; a TLS handshake that takes too long ends."""

    __slots__ = ()

    async def start(self) -> None:
        """Start to accept."""
        await web.BaseSite.start(self)
        server = self._runner.server
        assert server is not None
        self._server = await asyncio.get_running_loop().create_server(
            server,
            sock=self._sock,
            ssl=self._ssl_context,
            backlog=ACCEPTS_PER_TURN,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self._ssl_context else None,
        )
        self._sock.listen(BACKLOG)  # asyncio has set it to the number of accepts


__all__ = ["BoundedSite", "bound_receive_buffer", "open_socket"]
