"""Analysis of the structured logs of several processes after an incident."""

from __future__ import annotations

__all__: list[str] = []
