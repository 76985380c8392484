"""Counters that are kept in memory, and timings; both are sent to statsd if it is configured."""

from __future__ import annotations

from collections import Counter

import statsd


class Metrics:
    """Counters by name, also sent to a statsd server if one is configured."""

    def __init__(self, address: str | None = None, port: int = 8125, prefix: str = "") -> None:
        """
        Create the counters.

        :param address: IP address of the statsd server, None to keep counters in memory only
        :param port: UDP port of the statsd server
        :param prefix: prepended to each name sent to statsd
        """
        self.counts: Counter[str] = Counter()
        self._client = statsd.StatsClient(address, port, prefix=prefix) if address else None

    def increment(self, name: str, amount: int = 1) -> None:
        """
        Increment a counter.

        :param name: dotted name
        :param amount: increment
        """
        self.counts[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name: str, value_ms: float) -> None:
        """
        Send a duration to statsd, if it is configured; it is not kept in memory.

        :param name: dotted name
        :param value_ms: duration in milliseconds
        """
        if self._client is not None:
            self._client.timing(name, value_ms)


__all__ = ["Metrics"]
