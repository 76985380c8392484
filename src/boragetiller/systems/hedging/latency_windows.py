"""
Recent distribution of the response times of a route.

Two sketches take turns, each for WINDOW_MS, so that a quantile covers the last 10 to 20 s. Only
routers with hedging configured import this module, since the library for sketches takes time to
load.
"""

from __future__ import annotations

import attrs
from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import DenseStore

WINDOW_MS = 10_000
# Relative error of a quantile. The bins from 1 ms to 2 minutes are then fewer than 120, so that a
# summary of all of them fits into MAX_SUMMARY_BYTES.
ACCURACY = 0.05
MIN_MS = 1.0
MAX_MS = 120_000.0
REFRESH_MS = 500  # interval in which the quantiles are computed anew


MAPPING = LogarithmicMapping(ACCURACY)


class LatencySketch(BaseDDSketch):
    """Sketch of response times."""

    def __init__(self) -> None:
        """Create an empty sketch."""
        self.bins = DenseStore()
        super().__init__(MAPPING, self.bins, DenseStore(), 0.0)

    def record(self, took_ms: float, count: int = 1) -> None:
        """
        Add response times.

        :param took_ms: response time in milliseconds
        :param count: number of such responses
        """
        self.add(min(MAX_MS, max(MIN_MS, took_ms)), count)


@attrs.frozen
class LatencyQuantiles:
    """Quantiles of the recent response times."""

    samples: float
    median_ms: float
    # Upper end of the bin of the quantile that was asked for. Its middle could lie before many
    # response times of the same bin, and would use the limits up for requests that are not slow.
    hedge_ms: float


@attrs.define
class LatencyWindows:
    """Recent response times of one route over all routers that report."""

    started_ms: int  # monotonic time of the start of the current window
    current: LatencySketch = attrs.field(factory=LatencySketch)
    previous: LatencySketch = attrs.field(factory=LatencySketch)
    _quantiles: dict[float, tuple[int, LatencyQuantiles]] = attrs.field(factory=dict, init=False)

    def get_current(self, now_ms: int) -> LatencySketch:
        """
        Get the sketch for new samples.

        :param now_ms: monotonic time in milliseconds
        :return: sketch of the current window
        """
        elapsed_ms = now_ms - self.started_ms
        if elapsed_ms >= WINDOW_MS:
            self.previous = self.current if elapsed_ms < 2 * WINDOW_MS else LatencySketch()
            self.current = LatencySketch()
            self.started_ms = now_ms - elapsed_ms % WINDOW_MS
        return self.current

    def compute_quantiles(self, quantile: float, now_ms: int) -> LatencyQuantiles:
        """
        Compute the median and another quantile, at most once in REFRESH_MS.

        :param quantile: 0 to 1
        :param now_ms: monotonic time in milliseconds
        :return: the quantiles in milliseconds, 0 without samples
        """
        known = self._quantiles.get(quantile)
        if known is not None and now_ms - known[0] < REFRESH_MS:
            return known[1]
        merged = LatencySketch()
        current = self.get_current(now_ms)
        merged.merge(self.previous)
        merged.merge(current)
        quantiles = LatencyQuantiles(
            merged.count,
            merged.get_quantile_value(0.5) or 0.0,
            (1.0 + ACCURACY) * (merged.get_quantile_value(quantile) or 0.0),
        )
        self._quantiles = {quantile: (now_ms, quantiles)}
        return quantiles


__all__ = [
    "MAPPING",
    "MAX_MS",
    "MIN_MS",
    "LatencyQuantiles",
    "LatencySketch",
    "LatencyWindows",
]
