"""Settings of a router without agents."""

from __future__ import annotations

import attrs


@attrs.frozen
class Endpoint:
    """An IP number and a port."""

    address: str
    port: int


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Everything that one process learns from its settings file."""

    name: str
    failure_domain: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint | None  # where other routers connect, None to take no connections
    metrics: Endpoint | None
    seeds: tuple[Endpoint, ...]  # other routers; may be stale
    store: Endpoint
    grace_ms: int  # from SIGTERM to SIGKILL
    # After SIGTERM calls are served for so long: the balancer asks once a second whether a node is
    # ready and takes it out of rotation after two misses.
    refuse_after_ms: int = 3_000
    drain_ms: int  # longest time until a leaving backend server gets no new work
    config_apply_ms: int  # longest time until a new configuration is in force
    event_delay_ms: int  # longest delay of an event of a stream
    retry_ratio: float  # retries per request, over all routers
    retry_slack: float  # retries beyond the ratio in one window, over all routers
    retry_window_ms: int


__all__ = ["Endpoint", "GatewaySettings"]
