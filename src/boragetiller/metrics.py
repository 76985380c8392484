"""Counters and timings, kept in memory and sent to statsd."""

from __future__ import annotations

from collections import Counter

import statsd


class Metrics:
    """Counts by name, mirrored to a statsd server when one is set."""

    def __init__(self, address: str | None = None, port: int = 8125, prefix: str = "") -> None:
        """
        Prepare the counters.

        :param address: IP number of the statsd server, None to keep counts in memory only
        :param port: UDP port of the statsd server
        :param prefix: put before each name
        """
        self.counts: Counter[str] = Counter()
        self._client = statsd.StatsClient(address, port, prefix=prefix) if address else None

    def increment(self, name: str, amount: int = 1) -> None:
        """
        Add to a counter.

        :param name: dotted name
        :param amount: what to add
        """
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name: str, value_ms: float) -> None:
        """
        Report a duration.

        :param name: dotted name
        :param value_ms: duration in milliseconds
        """
        if self._client is not None:
            self._client.timing(name, value_ms)


__all__ = ["Metrics"]
