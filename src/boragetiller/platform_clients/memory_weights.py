"""The weight store, kept in memory; it counts loads that exceed its limit."""

from __future__ import annotations


class MemoryWeightStore:
    """Weight store in memory; see :class:`boragetiller.platform_clients.weights.WeightStore`."""

    def __init__(self, limit: int = 2) -> None:
        """
        Start idle.

        :param limit: loads allowed at once over the whole fleet
        """
        self.limit = limit
        self.loading = 0
        self.peak = 0
        self.excess = 0  # loads begun while the limit was reached

    async def concurrent_loads(self) -> int:
        """See :class:`WeightStore`."""
        return self.limit

    def begin_load(self) -> None:
        """Count a load that begins."""
        self.excess += self.loading >= self.limit
        self.loading += 1
        self.peak = max(self.peak, self.loading)

    def remove_load(self) -> None:
        """Count a load that ended."""
        self.loading -= 1

    async def start(self) -> None:
        """Do nothing; the store is ready when built."""

    async def close(self) -> None:
        """Do nothing."""


__all__ = ["MemoryWeightStore"]
