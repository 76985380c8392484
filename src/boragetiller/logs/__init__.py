"""Read the structured logs of several processes, to explain afterwards what happened."""

from __future__ import annotations

__all__: list[str] = []
