"""Prometheus metrics of duties; registered only in a process that has duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class DutyMetrics:
    """Metrics of the duties of one process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """:param registry: registry of the process"""
        self.held = Gauge(
            "boragetiller_duties_held", "duties that this router holds", ["kind"], registry=registry
        )
        self.changes = Counter(
            "boragetiller_duty_changes",
            "duties acquired, released or lost, by reason",
            ["kind", "change"],
            registry=registry,
        )
        self.api_calls = Counter(
            "boragetiller_duty_api_calls",
            "calls to the platform's API, by result",
            ["kind", "result"],
            registry=registry,
        )


class UsageMetrics:
    """Metrics of usage reports."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """:param registry: registry of the process"""
        self.windows = Counter(
            "boragetiller_usage_windows",
            "windows of usage reports, by step or reason of loss",
            ["result"],
            registry=registry,
        )
        self.dropped = Counter(
            "boragetiller_usage_dropped",
            "requests that are in no usage report because they came too late",
            registry=registry,
        )
        self.clock_error_ms = Gauge(
            "boragetiller_clock_error_ms",
            "wall clock of this host less the true time",
            registry=registry,
        )


class ServerOrderMetrics:
    """Metrics of orders of servers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """:param registry: registry of the process"""
        self.orders = Counter(
            "boragetiller_server_orders",
            "orders of a number of servers, by result",
            ["result"],
            registry=registry,
        )


__all__ = ["DutyMetrics", "ServerOrderMetrics", "UsageMetrics"]
