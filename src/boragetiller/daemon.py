"""Entry point of `boragetillerd`."""

from __future__ import annotations


def main() -> None:
    """Start one process of the system."""
    raise SystemExit("no role is built yet")


__all__ = ["main"]
