"""Free ports on addresses of the loopback network."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def find_free_ports(address: str, count: int) -> list[int]:
    """:return: different TCP ports on which nothing listens now"""
    with ExitStack() as opened:
        listeners = [opened.enter_context(socket.socket()) for _ in range(count)]
        for listener in listeners:
            listener.bind((address, 0))
        return [listener.getsockname()[1] for listener in listeners]


__all__ = ["find_free_ports"]
