"""The operators' routes: which requests go to which backend groups, and for whom."""

from __future__ import annotations

from enum import Enum

import attrs


class RequestKind(Enum):
    """What may be repeated of a request, and how its answer arrives."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class WeightedGroup:
    """A part of a route's traffic."""

    group: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host below one path prefix."""

    name: str
    host: str
    path_prefix: str  # begins and ends with a slash
    kind: RequestKind
    timeout_ms: float
    target_ms: float  # latency target: whole answer, or the first event of a stream
    gap_target_ms: float  # longest pause between events, 0 when none is set
    tier: int  # 0 is the most urgent
    weighted_groups: tuple[WeightedGroup, ...]
    max_attempts: int
    public: bool  # served without a customer's key
    resumable: bool  # a stream that may go on at another backend server
    for_engine: bool  # requests carry a prompt and go to model engines

    @property
    def repeatable(self) -> bool:
        """:return: whether the request may run more than once"""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def streamed(self) -> bool:
        """:return: whether the answer is a series of events"""
        return self.kind is RequestKind.STREAM


@attrs.frozen(kw_only=True)
class EngineProfile:
    """Capacity of the engines of a group."""

    slots: int
    memory_tokens: int


@attrs.frozen(kw_only=True)
class BackendGroup:
    """Backend servers that serve the same requests."""

    name: str
    max_connections: int  # of one backend server, over all its callers
    engine: EngineProfile | None = None  # None for a plain service


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@attrs.frozen(kw_only=True)
class RouteCustomer:
    """A customer as the routes know it."""

    name: str
    tier: int | None = None  # goes before the tier of the route


@attrs.frozen(kw_only=True)
class RouteConfig:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    groups: dict[str, BackendGroup]
    limits: CallerLimits
    customers_by_key: dict[str, RouteCustomer] | None  # None when no request needs a key


__all__ = [
    "BackendGroup",
    "CallerLimits",
    "EngineProfile",
    "WeightedGroup",
    "RequestKind",
    "Route",
    "RouteConfig",
    "RouteCustomer",
]
