"""In-memory weight store that counts loads in excess of its limit."""

from __future__ import annotations


class MemoryWeightStore:
    """In-memory implementation of :class:`boragetiller.platform_clients.weights.WeightStore`."""

    def __init__(self, limit: int = 2) -> None:
        """
        Create a weight store without loads in progress.

        :param limit: concurrent loads allowed over the whole fleet
        """
        self.limit = limit
        self.loads_in_progress = 0
        self.peak_loads = 0
        self.excess_loads = 0  # loads that began while the limit was reached

    async def get_load_limit(self) -> int:
        """See :class:`WeightStore`."""
        return self.limit

    def begin_load(self) -> None:
        """Record that a load begins, also in excess of the limit."""
        self.excess_loads += self.loads_in_progress >= self.limit
        self.loads_in_progress += 1
        self.peak_loads = max(self.peak_loads, self.loads_in_progress)

    def end_load(self) -> None:
        """Record that a load has ended."""
        self.loads_in_progress -= 1

    async def start(self) -> None:
        """Do nothing; the store needs no connections."""

    async def close(self) -> None:
        """Do nothing; other clients may still use this object."""


__all__ = ["MemoryWeightStore"]
