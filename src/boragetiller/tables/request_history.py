"""Backend servers that failed a request lately, by the request's fingerprint."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import attrs

from boragetiller.tables.crash_quarantine import CrashTable
from boragetiller.tables.news import News

KEPT_NEWS = 256  # failures told to peers; a report every 100 ms tells all that came since the last


class FailureKind(Enum):
    """How a backend server failed a request."""

    ERROR = "error"  # it ran the request and reported a failure of its own
    CRASH = "crash"  # it crashed while it ran the request


@attrs.frozen
class RequestFailure:
    """One backend server that failed one request."""

    fingerprint: bytes
    server: str
    kind: FailureKind


@attrs.define
class FailedServers:
    """Backend servers that answered a request with an error."""

    names: set[str] = attrs.field(factory=set)
    last_ms: int = 0


@attrs.frozen
class LostSend:
    """A send whose connection broke; the server may have crashed."""

    fingerprint: bytes
    sent_ms: int
    lost_ms: int


@attrs.define
class RequestHistory:
    """What is known of requests that failed, here and at other routers."""

    strikes: CrashTable = attrs.field(factory=CrashTable)
    errors: OrderedDict[bytes, FailedServers] = attrs.field(factory=OrderedDict)
    lost: dict[str, list[LostSend]] = attrs.field(factory=dict)  # by server
    news: News[RequestFailure] = attrs.field(factory=lambda: News.keeping(KEPT_NEWS))


__all__ = ["FailedServers", "FailureKind", "LostSend", "RequestFailure", "RequestHistory"]
