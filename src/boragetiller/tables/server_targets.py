"""Observed load of a backend group in a failure domain, and the servers ordered for it."""

from __future__ import annotations

from collections import deque

import attrs


@attrs.frozen(kw_only=True)
class DomainLoad:
    """Load of the servers of a group in one failure domain, as of the age of its oldest input."""

    ready: int  # servers that accept requests
    draining: int = 0
    warming: int = 0  # of the ready ones, those still slow after their start
    ejected: int = 0  # of the ready ones, those that this router avoids after failures
    slots: float  # shares in use, 1 for all; more if requests wait
    memory: float = 0.0
    prefill: float = 0.0
    late: int = 0  # requests that missed their target since the last observation
    refused: int = 0  # requests that found no server since the last observation
    age_ms: int = 0

    @property
    def utilization(self) -> float:
        """:return: the largest share in use; 1 without any server"""
        return max(self.slots, self.memory, self.prefill) if self.ready else 1.0

    @property
    def work(self) -> float:
        """:return: number of servers that the load would fill completely"""
        return self.utilization * max(1, self.ready)


@attrs.frozen(kw_only=True)
class ScalingConditions:
    """What else allows or forbids fewer servers."""

    is_partitioned: bool = False  # routers that were heard lately do not report
    away_ms: int | None = None  # time since the store or the API was last away; None for never
    other_domains: tuple[DomainLoad, ...] = ()  # of the same group


@attrs.frozen
class WorkSample:
    """Work at one moment."""

    time_ms: int  # monotonic time
    work: float  # servers' worth
    lasting: float  # work that was there during the seconds before too


@attrs.define
class ServerTarget:
    """State of the decision for one group and failure domain."""

    samples: deque[WorkSample] = attrs.field(factory=deque)  # of the last seconds, oldest first
    started_ms: int | None = None  # monotonic time of the first observation
    peaks: deque[WorkSample] = attrs.field(factory=deque)  # falling; the first is the highest
    low_since_ms: int | None = None  # monotonic time since which the utilization is low
    excess_ms: int | None = None  # monotonic time at which the load was last too high
    servers_before: int = 0  # number of servers when it became too high
    raised_ms: int | None = None  # monotonic time of the last increase
    lowered_ms: int | None = None
    ordered: int | None = None  # servers in the last order, also of an earlier holder
    sent_ms: int | None = None  # monotonic time of the last call
    is_confirmed: bool = False  # whether the API acknowledged the last order


@attrs.frozen(kw_only=True)
class TargetDecision:
    """Number of servers that a group is to have in a failure domain."""

    servers: int
    reason: str
    is_due: bool  # whether an order is to be sent now


__all__ = [
    "DomainLoad",
    "ScalingConditions",
    "ServerTarget",
    "TargetDecision",
    "WorkSample",
]
