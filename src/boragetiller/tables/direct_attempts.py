"""Results of attempts sent directly to backend servers, and the progress of a call."""

from __future__ import annotations

from enum import Enum

import attrs
from multidict import CIMultiDict

from boragetiller.verdict import Verdict


class DirectAttemptOutcome(Enum):
    """Outcome of one attempt; the value is a metric label, a log field and an error code."""

    ANSWERED = "answered"  # complete response that is returned to the caller
    SERVER_ERROR = "server_error"  # the backend server ran the request and reported a failure
    UNREACHABLE = "unreachable"  # the request was not sent
    PAUSED = "paused"  # not sent, since the backend server has asked for a pause
    FULL = "full"  # the backend server refused the request and did not run it
    UNAVAILABLE = "unavailable"  # refused by its status, but may have run the request
    MISDIRECTED = "misdirected"  # another server incarnation at the address; it did not run it
    LOST = "lost"  # the connection broke
    GARBLED = "garbled"  # the response is truncated or not the backend server's own
    SILENT = "silent"  # timeout without a response
    UNREAD = "unread"  # ended while or because the caller did not read; not the server's failure
    NO_MEMORY = "no_memory"  # ended while or because the router had no room for the response
    CANCELLED = "cancelled"  # by the router, since a second attempt responded first


NOT_RUN_OUTCOMES = frozenset(
    {
        DirectAttemptOutcome.UNREACHABLE,
        DirectAttemptOutcome.PAUSED,
        DirectAttemptOutcome.FULL,
        DirectAttemptOutcome.MISDIRECTED,
    }
)
# No byte of the request was sent, so another attempt is no retry to the fleet's budget.
NOT_SENT_OUTCOMES = frozenset({DirectAttemptOutcome.UNREACHABLE, DirectAttemptOutcome.PAUSED})

RAN_OUTCOMES = frozenset(
    {
        DirectAttemptOutcome.ANSWERED,
        DirectAttemptOutcome.SERVER_ERROR,
        DirectAttemptOutcome.UNREAD,
    }
)


@attrs.frozen(kw_only=True)
class CompleteResponse:
    """A response that was received completely."""

    server: str  # name of the backend server
    status: int
    headers: CIMultiDict[str]
    body: bytes


@attrs.define
class ResponseProgress:
    """How far a server got with its response in one attempt."""

    started_ms: int | None = None  # monotonic time at which the header arrived
    status: int | None = None  # of the header, None before it arrived
    events: int = 0  # complete events of a stream
    pause_ms: float = 0.0  # that the head asks for
    survived: bool = False  # its beginning, as was recorded; see systems.crash_suspects


@attrs.frozen
class DirectAttemptResult:
    """Result of one attempt."""

    outcome: DirectAttemptOutcome
    response: CompleteResponse | None = None
    detail: str = ""
    progress: ResponseProgress = attrs.field(factory=ResponseProgress)

    @property
    def verdict(self) -> Verdict:
        """:return: whether the request may have run in this attempt"""
        if self.outcome in NOT_RUN_OUTCOMES:
            return Verdict.NOT_RUN
        if self.outcome in RAN_OUTCOMES:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class CallProgress:
    """Progress of a call over its attempts."""

    repeatable: bool
    max_servers: int  # number of backend servers that may run the call
    attempts: int = 0
    pauses: int = 0  # attempts that were refused with a pause
    may_have_run_on: set[str] = attrs.field(factory=set)  # names of backend servers
    relayed_events: int = 0
    begun: bool = False  # whether it was counted for the usage reports
    verdict: Verdict = Verdict.NOT_RUN
    server_status: int | None = None  # of the last attempt's response, None without a response
    last_outcome: DirectAttemptOutcome | None = None  # None before the first attempt
    server_error: CompleteResponse | None = None  # returned if no later attempt succeeds

    @property
    def was_refused(self) -> bool:
        """:return: whether the last attempt's server was alive and refused the call as full"""
        return self.last_outcome is DirectAttemptOutcome.FULL

    @property
    def server_limit_reached(self) -> bool:
        """:return: whether no further backend server may run the call"""
        return len(self.may_have_run_on) >= self.max_servers


__all__ = [
    "NOT_RUN_OUTCOMES",
    "NOT_SENT_OUTCOMES",
    "CallProgress",
    "CompleteResponse",
    "DirectAttemptOutcome",
    "DirectAttemptResult",
    "ResponseProgress",
]
