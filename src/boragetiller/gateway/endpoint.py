"""Addresses of TCP ports."""

from __future__ import annotations

import ipaddress

import attrs

MAX_PORT = 65_535


@attrs.frozen
class Endpoint:
    """An IP address and a TCP port."""

    address: str
    port: int

    @property
    def is_valid(self) -> bool:
        """:return: whether a connection can be opened to it, with an IP address and a port"""
        try:
            ipaddress.ip_address(self.address)
        except ValueError:
            return False
        return 0 < self.port <= MAX_PORT


__all__ = ["MAX_PORT", "Endpoint"]
