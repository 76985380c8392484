"""How a send of a request to a backend server ended, and what happened to the request so far."""

from __future__ import annotations

from enum import Enum

import attrs
from multidict import CIMultiDict

from boragetiller.verdict import Verdict


class AttemptOutcome(Enum):
    """How a send ended."""

    ANSWERED = "answered"  # an answer to pass on
    SERVER_ERROR = "server_error"  # the backend server ran the request and reports a failure
    UNREACHABLE = "unreachable"  # nothing was sent
    FULL = "full"  # the backend server refused it and did not run it
    MISDIRECTED = "misdirected"  # another incarnation has the address; it did not run it
    LOST = "lost"  # the connection broke
    GARBLED = "garbled"  # the answer is not the backend server's whole answer
    SILENT = "silent"  # no answer in the time given


NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.UNREACHABLE, AttemptOutcome.FULL, AttemptOutcome.MISDIRECTED}
)


@attrs.frozen(kw_only=True)
class CompleteResponse:
    """An answer that arrived completely."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


@attrs.frozen
class AttemptResult:
    """The end of one send."""

    outcome: AttemptOutcome
    response: CompleteResponse | None = None
    detail: str = ""

    @property
    def verdict(self) -> Verdict:
        """:return: whether the request may have run by this send"""
        if self.outcome in NOT_RUN_OUTCOMES:
            return Verdict.NOT_RUN
        if self.outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR}:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN


@attrs.define(kw_only=True)
class CallProgress:
    """What happened to a call so far."""

    repeatable: bool
    max_servers: int  # backend servers that may run it
    attempts: int = 0
    may_have_run_on: set[str] = attrs.field(factory=set)  # backend servers that may have run it
    relayed_events: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    server_error: CompleteResponse | None = None  # kept in case nothing better comes

    @property
    def server_limit_reached(self) -> bool:
        """:return: whether no further backend server may run it"""
        return len(self.may_have_run_on) >= self.max_servers


__all__ = [
    "NOT_RUN_OUTCOMES",
    "CallProgress",
    "AttemptOutcome",
    "AttemptResult",
    "CompleteResponse",
]
