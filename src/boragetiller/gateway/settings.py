"""Settings of the gateway process."""

from __future__ import annotations

import attrs

from boragetiller.gateway.duties.settings import DutySettings
from boragetiller.gateway.endpoint import Endpoint

DEFAULT_MEMORY_BYTES = 268_435_456  # where the settings name none; between the hosts in use
DEFAULT_MAX_DESCRIPTORS = 1_024  # the usual limit of a process


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings read from the settings file."""

    name: str
    failure_domain: str
    callers: Endpoint
    readiness: Endpoint
    peers: Endpoint | None  # address for connections of other routers, None to accept none
    metrics: Endpoint | None
    seeds: tuple[Endpoint, ...]  # addresses of other routers; may be outdated
    store: Endpoint
    grace_ms: int  # time between SIGTERM and SIGKILL
    # Time after SIGTERM during which new calls are still accepted: the load balancer checks for
    # readiness once a second and removes a node from rotation after two failed checks.
    refuse_after_ms: int = 3_000
    drain_ms: int  # deadline for sending no more calls to a draining backend server
    config_apply_ms: int  # deadline for putting a new configuration in force
    event_delay_ms: int  # longest delay that the router may add to an event of a stream
    retry_ratio: float  # retries per request in a window, over all routers
    retry_slack: float  # additional retries in a window, over all routers
    retry_window_ms: int
    duties: DutySettings | None = None  # None for none
    memory_bytes: int = DEFAULT_MEMORY_BYTES  # of the host
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS  # that the process may have open
    link_bytes_per_s: float | None = None  # of the host's link; None if it is not known


__all__ = ["Endpoint", "GatewaySettings"]
