"""Prometheus metrics of the gateway; docs/METRICS.md lists them."""

from __future__ import annotations

from collections import Counter as Tally
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

if TYPE_CHECKING:
    from boragetiller.caller_limits.budget import CallerBudget
    from boragetiller.installation.build_info import BuildInfo

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
)  # covers the latency targets of the routes


class GatewayMetrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.registry = CollectorRegistry(auto_describe=False)
        # By group with scaling; inputs of systems.duties.server_targets, not exposed.
        self.late_calls: Tally[str] = Tally()
        self.refused_calls: Tally[str] = Tally()
        self.answered = self._counter("answered", "calls answered by a backend server", "route")
        self.refused = self._counter("refused", "calls refused, by code of the error", "code")
        self.failed = self._counter("failed", "calls failed by the router, by reason", "reason")
        self.attempts = self._counter("sends", "attempts at backend servers, by result", "end")
        self.retries = self._counter("repeats", "retries and hedged attempts, by reason", "reason")
        self.hedges = self._counter(
            "hedges", "hedged attempts within a limit, by result", "route", "result"
        )
        self.hedges_withheld = self._counter(
            "hedges_withheld", "slow calls that got no hedged attempt", "route", "reason"
        )
        self.hedged_prompt_tokens = self._counter(
            "hedged_prompt_tokens", "prompt tokens of hedged attempts within a limit", "route"
        )
        self.callers_left = self._counter(
            "callers_left", "callers that disconnected before the response was complete", "route"
        )
        self.streams_resumed = self._counter(
            "streams_resumed", "streams that went on, by how their version is known", "source"
        )
        self.streams_unknown = self._counter(
            "streams_unknown", "streams that did not go on at an unknown version", "reason"
        )
        self.ejections = self._counter("ejections", "ejections of backend servers", "group")
        self.server_pauses = self._counter(
            "server_pauses", "pauses that backend servers asked for", "group"
        )
        self.dropped_lines = self._counter("log_lines_dropped", "log lines dropped", "event")
        self.store_calls = self._counter("store_calls", "calls to the platform's store", "call")
        self.config_requests = self._counter(
            "config_requests", "requests to a peer for a newer configuration"
        )
        self.task_failures = self._counter(
            "task_failures", "background tasks that failed and were restarted", "task"
        )
        self.build = self._gauge(
            "build_info", "1; the labels tell versions", "version", "source", "python", "machine"
        )
        self.libraries = self._gauge(
            "library_info", "1; a library and its version", "name", "version"
        )
        self.in_flight = self._gauge("in_flight", "calls in progress")
        self.config_version = self._gauge(
            "config_version", "version of the route configuration in force"
        )
        self.servers = self._gauge("servers", "registered backend servers")
        self.unreadable_servers = self._gauge(
            "unreadable_servers", "entries of the list of backend servers that cannot be decoded"
        )
        self.speed_changes = self._counter(
            "server_speed_changes", "lasting changes of the work time of backend servers", "group"
        )
        self.slow_servers = self._gauge(
            "slow_servers", "backend servers where work lastingly takes 1.5 times the usual or more"
        )
        self.store_reachable = self._gauge(
            "store_reachable", "1 if the last call to the store succeeded"
        )
        self.store_era = self._gauge("store_era", "number of restores that the store names")
        self.store_era_errors = self._counter(
            "store_era_errors", "responses of the store without a valid era, by reason", "reason"
        )
        self.caller_limits = self._counter(
            "caller_limits_met", "callers that met a limit, by limit", "limit"
        )
        self.caller_connections = self._gauge("caller_connections", "connections of callers")
        self.held_bytes = self._gauge(
            "held_bytes", "bytes reserved for bodies and responses of callers"
        )
        self.held_bytes_limit = self._gauge("held_bytes_limit", "limit of held_bytes")
        self.peers = self._gauge("peers", "other routers that report to this one")
        self.first_event_seconds = self._histogram(
            "first_event_seconds", "time from arrival to the first event"
        )
        self.response_seconds = self._histogram(
            "answer_seconds", "time from arrival to the complete response"
        )
        self.event_gap_seconds = self._histogram(
            "event_pause_seconds", "longest time between two events of a stream"
        )
        self.store_call_seconds = self._histogram(
            "store_call_seconds", "duration of calls to the store", "call"
        )

    def record_build(self, build: BuildInfo) -> None:
        """
        Expose what the process is made of.

        :param build: versions of the process and of its libraries
        """
        self.build.labels(build.version, build.source, build.python, build.machine).set(1)
        for name, version in build.libraries.items():
            self.libraries.labels(name, version).set(1)

    def count_dropped_line(self, event: str) -> None:
        """
        Count a dropped log line.

        :param event: name of its event
        """
        self.dropped_lines.labels(event).inc()

    def count_caller_limit(self, limit: str) -> None:
        """
        Count a caller that met a limit.

        :param limit: name of the limit
        """
        self.caller_limits.labels(limit).inc()

    def show_budget(self, budget: CallerBudget) -> None:
        """
        Expose what callers use.

        :param budget: budget of the process
        """
        self.caller_connections.set_function(lambda: budget.connections)
        self.held_bytes.set_function(lambda: budget.held_bytes)
        self.held_bytes_limit.set(budget.limits.held_bytes)

    def render(self) -> bytes:
        """:return: all metrics in the Prometheus text format"""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"boragetiller_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(f"boragetiller_{name}", help_text, labels, registry=self.registry)

    def _histogram(self, name: str, help_text: str, label: str = "route") -> Histogram:
        return Histogram(
            f"boragetiller_{name}",
            help_text,
            [label],
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


__all__ = ["GatewayMetrics"]
