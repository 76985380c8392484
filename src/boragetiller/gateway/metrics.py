"""Metrics in the Prometheus text format; docs/METRICS.md lists them."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (
    0.01,
    0.03,
    0.1,
    0.2,
    0.3,
    0.6,
    1.0,
    2.0,
    4.0,
    8.0,
)  # the routes' targets lie within


class GatewayMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        """Register them."""
        self.registry = CollectorRegistry(auto_describe=False)
        self.answered = self._counter("answered", "calls answered by a backend server", "route")
        self.refused = self._counter("refused", "calls refused, by code of the error", "code")
        self.failed = self._counter("failed", "calls given up, by reason", "reason")
        self.sends = self._counter("sends", "sends to backend servers, by end", "end")
        self.repeats = self._counter("repeats", "repeated sends, by reason", "reason")
        self.callers_left = self._counter(
            "callers_left", "callers that left before the end", "route"
        )
        self.ejected = self._counter("ejections", "backend servers put aside", "group")
        self.dropped_lines = self._counter("log_lines_dropped", "log lines left out", "event")
        self.store_calls = self._counter("store_calls", "calls to the platform's store", "call")
        self.in_flight = self._gauge("in_flight", "calls in progress")
        self.config_version = self._gauge("config_version", "version of the routes in force")
        self.servers = self._gauge("servers", "backend servers that are registered")
        self.store_reachable = self._gauge("store_reachable", "1 while the store answers")
        self.peers = self._gauge("peers", "other routers that were heard lately")
        self.first_event_seconds = self._histogram("first_event_seconds", "arrival to first event")
        self.response_seconds = self._histogram("answer_seconds", "arrival to the whole answer")
        self.event_gap_seconds = self._histogram("event_pause_seconds", "longest pause in a stream")
        self.store_call_seconds = self._histogram(
            "store_call_seconds", "reads of the store", "call"
        )

    def count_dropped_line(self, event: str) -> None:
        """
        Count a log line that was left out.

        :param event: name of the event
        """
        self.dropped_lines.labels(event).inc()

    def render(self) -> bytes:
        """:return: all metrics in the text format"""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, label: str) -> Counter:
        return Counter(f"boragetiller_{name}", help_text, [label], registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        return Gauge(f"boragetiller_{name}", help_text, registry=self.registry)

    def _histogram(self, name: str, help_text: str, label: str = "route") -> Histogram:
        return Histogram(
            f"boragetiller_{name}",
            help_text,
            [label],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


__all__ = ["GatewayMetrics"]
