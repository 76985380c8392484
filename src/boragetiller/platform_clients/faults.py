"""Faults that can be injected into the in-memory services of the platform."""

from __future__ import annotations

from enum import Enum

import attrs


class CallKind(Enum):
    """Kinds of calls that the platform counts; a watch counts as one call while it is open."""

    GET = "get"
    LIST = "list"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    ACQUIRE_LEASE = "acquire_lease"
    RENEW_LEASE = "renew_lease"
    RELEASE_LEASE = "release_lease"
    LIST_HOSTS = "list_hosts"


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults of the store; each counter decreases by one with each write that it affects."""

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0  # writes that take effect but get no reply
    lose_requests: int = 0  # writes that neither take effect nor get a reply
    stale_reads: bool = False  # reads return the values as of when this was set
    watch_repeat: bool = False  # watches send each change twice
    watch_skip: bool = False  # watches send only the newest pending change of a key
    watch_end: bool = False  # watches end after one change


@attrs.define(kw_only=True)
class HostListFaults:
    """Faults of the host list."""

    outage: bool = False
    delay_ms: int = 0
    stale: bool = False  # the list is frozen as of when this was set


__all__ = ["CallKind", "HostListFaults", "StoreFaults"]
