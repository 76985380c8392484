"""Recent response times by route, shared with the peers as compact summaries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.systems.hedging.decision import compute_quantile
from boragetiller.systems.hedging.latency_windows import LatencySketch, LatencyWindows
from boragetiller.systems.hedging.summary_codec import decode_sketch, encode_sketch
from boragetiller.tables.recent_items import RecentItems
from boragetiller.tables.report_entries import LatencySummary

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.systems.hedging.latency_windows import LatencyQuantiles

PUBLISH_INTERVAL_MS = 1_000
# Summaries to all peers together. A router may use 4 KB/s for all of its control traffic, so with
# 64 peers and five routes of 60 bytes a summary is sent about every 13 s.
MAX_BYTES_PER_MS = 1.5
ENTRY_BYTES = 24  # of a report, in addition to name and sketch
MAX_SUMMARIES = 8  # of one publication; the next one begins with the routes left out
# Peers count a summary as recent. Without peers, or with many routes, response times wait longer.
MAX_UNPUBLISHED_MS = 60_000
MAX_RECENT = 64  # kept for peers that are behind
INVALID_LOG_INTERVAL_MS = 10_000


class LatencyExchange:
    """Collects response times of this router and of its peers."""

    def __init__(self, registry: BackendRegistry, clock: Clock) -> None:
        """
        Start without any response time.

        :param registry: route configuration, and the peers that report
        :param clock: monotonic clock
        """
        self._registry = registry
        self._clock = clock
        self._windows: dict[str, LatencyWindows] = {}  # by route
        # By route, the longest unpublished first; each with the monotonic time of its first sample.
        self._unpublished: dict[str, tuple[int, LatencySketch]] = {}
        self._recent: RecentItems[LatencySummary] = RecentItems.with_capacity(MAX_RECENT)
        self._publish_ms = 0  # monotonic time of the next publication
        self._invalid_log_ms = 0  # monotonic time before which no invalid summary is logged

    @property
    def published(self) -> int:
        """:return: number of summaries so far, the position of a new connection"""
        return self._recent.count

    def record(self, route: str, took_ms: float) -> None:
        """
        Record a response time of this router.

        :param route: name of the route
        :param took_ms: milliseconds from sending to the first event or the complete response
        """
        now_ms = self._clock.now_ms()
        self._get_windows(route).get_current(now_ms).record(took_ms)
        started_ms, sketch = self._unpublished.get(route, (now_ms, LatencySketch()))
        if now_ms - started_ms >= MAX_UNPUBLISHED_MS:
            started_ms, sketch = now_ms, LatencySketch()
        sketch.record(took_ms)
        self._unpublished[route] = (started_ms, sketch)

    def compute_quantiles(self, route: str, share: float) -> LatencyQuantiles:
        """
        Compute the quantiles of the recent response times of a route over all routers.

        :param route: name of the route
        :param share: share of its requests that may be hedged
        :return: the quantiles
        """
        windows = self._get_windows(route)
        return windows.compute_quantiles(compute_quantile(share), self._clock.now_ms())

    def list_since(self, position: int) -> tuple[LatencySummary, ...]:
        """
        List the summaries that a peer lacks; publishes new ones if they are due.

        :param position: value of `published` when the peer was last sent summaries
        :return: summaries of this router's own response times
        """
        now_ms = self._clock.now_ms()
        if self._unpublished and now_ms >= self._publish_ms:
            self._publish(now_ms)
        return self._recent.since(position)

    def apply(self, peer: str, summaries: tuple[LatencySummary, ...]) -> None:
        """
        Add the response times of a peer.

        :param peer: its name, for the log
        :param summaries: summaries of its own response times
        """
        config = self._registry.config
        if not summaries or config is None:
            return
        routes = {route.name for route in config.routes}
        for summary in summaries:
            if summary.route not in routes:
                continue
            try:
                sketch = decode_sketch(summary.sketch)
            except ValueError as error:
                self._log_invalid(peer, summary, str(error))
                continue
            self._get_windows(summary.route).get_current(self._clock.now_ms()).merge(sketch)

    def _get_windows(self, route: str) -> LatencyWindows:
        if route not in self._windows:
            self._windows[route] = LatencyWindows(self._clock.now_ms())
        return self._windows[route]

    def _publish(self, now_ms: int) -> None:
        self._retain_routes()
        size = 0
        for route in list(self._unpublished)[:MAX_SUMMARIES]:
            started_ms, sketch = self._unpublished.pop(route)
            if now_ms - started_ms >= MAX_UNPUBLISHED_MS:
                continue
            summary = LatencySummary(route=route, sketch=encode_sketch(sketch))
            size += len(summary.sketch) + len(route.encode()) + ENTRY_BYTES
            self._recent.add(summary)
        peers = max(1, len(self._registry.peer_loads.by_peer))
        self._publish_ms = now_ms + max(PUBLISH_INTERVAL_MS, round(size * peers / MAX_BYTES_PER_MS))

    def _retain_routes(self) -> None:
        """Drop routes that are not configured any more, which bounds the memory."""
        assert self._registry.config is not None
        routes = {route.name for route in self._registry.config.routes}
        for route in self._windows.keys() - routes:
            del self._windows[route]
        for route in self._unpublished.keys() - routes:
            del self._unpublished[route]

    def _log_invalid(self, peer: str, summary: LatencySummary, reason: str) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= self._invalid_log_ms:
            log_event(Event.LATENCY_SUMMARY_INVALID, peer=peer, route=summary.route, reason=reason)
            self._invalid_log_ms = now_ms + INVALID_LOG_INTERVAL_MS


__all__ = ["LatencyExchange"]
