"""Routers that reach backend servers directly, found by a list, without agents beside them."""

from __future__ import annotations

__all__: list[str] = []
