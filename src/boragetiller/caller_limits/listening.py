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


__all__ = ["BoundedSite", "open_socket"]
