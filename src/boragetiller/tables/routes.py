"""Routing configuration: routes, backend groups, customers and limits."""

from __future__ import annotations

from enum import Enum
from functools import cached_property

import attrs


class RequestKind(Enum):
    """Whether a request may be retried, and whether its response is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class WeightedGroup:
    """A backend group with its weight in a route's traffic."""

    group: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Route for the requests of one host below a path prefix."""

    name: str
    host: str
    path_prefix: str  # begins and ends with a slash
    kind: RequestKind
    timeout_ms: float
    target_ms: float  # latency target to the complete response, or to the first event of a stream
    gap_target_ms: float  # longest pause between events within the target, 0 for no target
    tier: int  # 0 is the most urgent
    weighted_groups: tuple[WeightedGroup, ...]
    max_attempts: int
    public: bool  # served without a customer's key
    resumable: bool  # a stream that may continue at another backend server
    for_engine: bool  # requests carry a prompt and go to model engines

    @property
    def repeatable(self) -> bool:
        """:return: whether the request may run more than once"""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def streamed(self) -> bool:
        """:return: whether the response is a stream of events"""
        return self.kind is RequestKind.STREAM


@attrs.frozen(kw_only=True)
class EngineProfile:
    """Capacity of the engines of a group."""

    slots: int
    memory_tokens: int


@attrs.frozen(kw_only=True)
class ScalingPolicy:
    """Limits of the number of servers that a group has in each failure domain."""

    min_servers: int
    max_servers: int
    boot_ms: float  # time that a server takes to start


@attrs.frozen(kw_only=True)
class BackendGroup:
    """Backend servers that serve the same requests."""

    name: str
    max_connections: int  # accepted by one backend server from all its clients
    engine: EngineProfile | None = None  # None for a plain service
    scaling: ScalingPolicy | None = None  # None if the number of servers is not ours to choose
    scaling_error: str = ""  # why the operator's limits cannot be used, empty if they can


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the requests and the idle connections of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@attrs.frozen(kw_only=True)
class RouteCustomer:
    """A customer in the routing configuration."""

    name: str
    tier: int | None = None  # takes precedence over the tier of the route


@attrs.frozen(kw_only=True)
class HostRoutes:
    """The routes of one host."""

    by_prefix: dict[str, Route]
    prefix_lengths: tuple[int, ...]  # the longest first


@attrs.frozen(kw_only=True)
class RouteConfig:
    """One version of the complete configuration."""

    version: int
    routes: tuple[Route, ...]
    groups: dict[str, BackendGroup]
    limits: CallerLimits
    customers_by_key: dict[str, RouteCustomer] | None  # None if no request needs a key

    @cached_property
    def routes_by_host(self) -> dict[str, HostRoutes]:
        """:return: the routes by host; of two with one prefix, the first"""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)
        return {
            host: HostRoutes(
                by_prefix=routes,
                prefix_lengths=tuple(sorted({len(prefix) for prefix in routes}, reverse=True)),
            )
            for host, routes in by_host.items()
        }


__all__ = [
    "BackendGroup",
    "CallerLimits",
    "EngineProfile",
    "HostRoutes",
    "RequestKind",
    "Route",
    "RouteConfig",
    "RouteCustomer",
    "ScalingPolicy",
    "WeightedGroup",
]
