"""Entries of the reports between routers."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ServerSpeedReport:
    """How long work takes at a backend server, as one of its responses states."""

    server: str
    work_percent: int  # 100 as usual
    age_ms: int  # since the response


@attrs.frozen
class CustomerCount:
    """Number of requests of one customer."""

    customer: str
    requests: int


@attrs.frozen(kw_only=True)
class UsageCounts:
    """Requests that backend servers began for one router in one window, in all so far."""

    window_no: int
    router: str
    incarnation: int  # of the router
    wall_clock_ms: int  # of the sender since the epoch, when the report was built
    counts: tuple[CustomerCount, ...]


@attrs.frozen(kw_only=True)
class LatencySummary:
    """Recent distribution of the response times of a route."""

    route: str
    sketch: bytes


@attrs.frozen(kw_only=True)
class ServerAnnouncement:
    """What an incarnation of a backend server has said of itself."""

    server: str
    started_ms: int  # wall-clock time of its start, which tells incarnations apart
    leaving: bool


__all__ = [
    "CustomerCount",
    "LatencySummary",
    "ServerAnnouncement",
    "ServerSpeedReport",
    "UsageCounts",
]
