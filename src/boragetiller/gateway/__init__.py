"""Router that sends calls directly to the backend servers, without agents."""

from __future__ import annotations

__all__: list[str] = []
