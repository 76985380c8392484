"""The platform's rate-limited weight store."""

from __future__ import annotations

from typing import Protocol


class WeightStore(Protocol):
    """Where engines fetch model weights from."""

    async def get_load_limit(self) -> int:
        """:return: how many loads the store allows at once over the whole fleet"""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["WeightStore"]
