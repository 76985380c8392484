"""Recent failures of requests at backend servers, by the request's fingerprint."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import attrs

from boragetiller.tables.crash_quarantine import CrashTable
from boragetiller.tables.part_crashes import CrashSuspect, PartCrashTable
from boragetiller.tables.recent_items import RecentItems

MAX_RECENT_FAILURES = 256  # enough for the failures between two reports, 100 ms apart


class FailureKind(Enum):
    """How a backend server failed a request."""

    ERROR = "error"  # the server ran the request and reported an error of its own
    CRASH = "crash"  # the server crashed while it ran the request


@attrs.frozen
class RequestFailure:
    """Failure of one request at one backend server."""

    fingerprint: bytes
    server: str
    kind: FailureKind


@attrs.define
class FailedServers:
    """Backend servers that answered a request with an error."""

    names: set[str] = attrs.field(factory=set)
    last_ms: int = 0  # monotonic time of the last error


@attrs.frozen
class LostAttempt:
    """An attempt whose connection broke; the server may have crashed."""

    fingerprint: bytes
    sent_ms: int  # monotonic time
    lost_ms: int  # monotonic time
    crash_id: str = ""  # of the crash, if it was one
    suspect: CrashSuspect | None = None  # None if the request cannot have crashed an engine


@attrs.define
class FailureHistory:
    """Failures of requests at this and at other routers."""

    crashes: CrashTable = attrs.field(factory=CrashTable)
    part_crashes: PartCrashTable = attrs.field(factory=PartCrashTable)
    errors: OrderedDict[bytes, FailedServers] = attrs.field(factory=OrderedDict)
    lost: dict[str, list[LostAttempt]] = attrs.field(factory=dict)  # by server name
    recent: RecentItems[RequestFailure] = attrs.field(
        factory=lambda: RecentItems.with_capacity(MAX_RECENT_FAILURES)
    )


__all__ = ["FailedServers", "FailureHistory", "FailureKind", "LostAttempt", "RequestFailure"]
