"""Free ports on addresses of the loopback network."""

from __future__ import annotations

import socket


def find_free_port(address: str) -> int:
    """:return: a TCP port on which nothing listens now"""
    with socket.socket() as listener:
        listener.bind((address, 0))
        port: int = listener.getsockname()[1]
        return port


__all__ = ["find_free_port"]
