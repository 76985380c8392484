"""Listening ports that accept a few connections in each turn of the event loop."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from ssl import SSLContext

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


class BoundedSite(web.BaseSite):
    """Accepts connections; a TLS handshake that takes too long ends."""

    __slots__ = ("_where",)

    def __init__(
        self,
        runner: web.BaseRunner,
        where: socket.socket | tuple[str, int],
        *,
        ssl_context: SSLContext | None = None,
    ) -> None:
        """
        Create the site; it is inactive until started.

        :param runner: runner of the server
        :param where: socket that already listens, or IP address and TCP port, 0 for a free one
        :param ssl_context: certificate and key, None for plain TCP
        """
        super().__init__(runner, ssl_context=ssl_context, backlog=ACCEPTS_PER_TURN)
        self._where = where

    @property
    def name(self) -> str:
        """:return: name of the site, unique in its runner"""
        return str(self._where)

    async def start(self) -> None:
        """Start to accept."""
        await super().start()
        server = self._runner.server
        assert server is not None
        where: dict[str, Any]
        if isinstance(self._where, socket.socket):
            where = {"sock": self._where}
        else:
            where = {"host": self._where[0], "port": self._where[1]}
        self._server = listener = await asyncio.get_running_loop().create_server(
            server,
            **where,
            ssl=self._ssl_context,
            backlog=self._backlog,
            ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self._ssl_context else None,
        )
        for each in listener.sockets:  # asyncio has set the backlog to the number of accepts
            with each.dup() as sock:
                sock.listen(BACKLOG)


__all__ = ["BoundedSite", "bound_receive_buffer"]
