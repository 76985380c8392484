"""Router that sends calls directly to the backend servers in the platform's store, without agents."""

from __future__ import annotations

__all__: list[str] = []
