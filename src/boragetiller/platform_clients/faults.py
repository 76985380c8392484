"""Faults that the stand-ins of the platform can be told to show."""

from __future__ import annotations

from enum import Enum

import attrs


class CallKind(Enum):
    """Calls as the platform counts them; a waiting watch counts as one."""

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
    """Faults of the store; the counters fall by one with each write that they hit."""

    outage: bool = False
    delay_ms: int = 0
    lose_replies: int = 0  # the write takes effect, its reply does not arrive
    lose_requests: int = 0  # neither the write nor a reply arrives
    stale_reads: bool = False  # reads see the values of the moment this was set
    watch_repeat: bool = False  # each change is sent twice
    watch_skip: bool = False  # only the newest of several waiting changes of a key is sent
    watch_end: bool = False  # a watch ends after each change


@attrs.define(kw_only=True)
class HostListFaults:
    """Faults of the host list."""

    outage: bool = False
    delay_ms: int = 0
    stale: bool = False  # the list stays as it was when this was set


__all__ = ["CallKind", "HostListFaults", "StoreFaults"]
