"""
Open the listening socket for callers early in the start of a process.

Most of the start-up time is spent on imports. Connections made meanwhile wait in the backlog of
the socket instead of being refused, so this module must not import large libraries.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.gateway.settings import Endpoint

BACKLOG = 1_024  # connections; when it is full, callers retransmit SYNs for seconds


def open_listening_socket(endpoint: Endpoint) -> socket.socket:
    """
    Open a listening TCP socket.

    :param endpoint: address to listen on
    :return: the non-blocking socket
    :raises OSError: the address cannot be bound
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((endpoint.address, endpoint.port))
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


__all__ = ["BACKLOG", "open_listening_socket"]
