"""
Listen for callers before the rest of a router is loaded.

Most of a start is the import of libraries. Callers that connect meanwhile wait in the port's queue,
where a port that is still closed would refuse them. So this module imports nothing large.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.gateway.settings import Endpoint

BACKLOG = 1_024  # connections that wait to be taken; a full queue costs callers seconds


def open_listening_socket(endpoint: Endpoint) -> socket.socket:
    """
    Listen on a port.

    :param endpoint: where to listen
    :return: the socket, which takes connections from now on
    :raises OSError: the address cannot be used
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
