"""Interface of the platform's weight store, which limits concurrent loads."""

from __future__ import annotations

from typing import Protocol


class WeightStore(Protocol):
    """Store from which engines load model weights."""

    async def get_load_limit(self) -> int:
        """:return: number of concurrent loads that the store allows over the whole fleet"""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["WeightStore"]
