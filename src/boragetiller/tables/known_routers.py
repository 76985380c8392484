"""Routers that a router knows."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class KnownRouters:
    """Routers that a router knows, as texts of their addresses."""

    own: str
    known: frozenset[str]  # own address included
    lost: frozenset[str] = frozenset()  # heard in the last 30 s, but not connected now
    heard: int = 0  # number of other routers that are connected now


__all__ = ["KnownRouters"]
