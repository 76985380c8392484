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
        self.loads_in_progress = 0
        self.peak_loads = 0
        self.excess_loads = 0  # loads begun while the limit was reached

    async def get_load_limit(self) -> int:
        """See :class:`WeightStore`."""
        return self.limit

    def begin_load(self) -> None:
        """Count a load that begins."""
        self.excess_loads += self.loads_in_progress >= self.limit
        self.loads_in_progress += 1
        self.peak_loads = max(self.peak_loads, self.loads_in_progress)

    def end_load(self) -> None:
        """Count a load that ended."""
        self.loads_in_progress -= 1

    async def start(self) -> None:
        """Do nothing; the store is ready when built."""

    async def close(self) -> None:
        """Do nothing."""


__all__ = ["MemoryWeightStore"]
