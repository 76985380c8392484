"""
Pace the calls of duties to the platform's API.

The API limits the calls of all routers together. A duty has one holder, so each duty gets an equal
share of the limit. A share for each router would leave a fleet of 400 routers one call in 8 s at a
limit of 50 per second, although few routers hold a duty.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.duties import Duty

if TYPE_CHECKING:
    from random import Random

MAX_IN_FLIGHT = 2  # per router, so that a slow API does not collect calls
BURST_CALLS = 2.0  # a usage report and the repeat of the one before it
BACKOFF_BASE_MS = 200  # interval in which a task runs
BACKOFF_MAX_MS = 2_000  # a report is due within 10 s, so several attempts remain


@attrs.define
class CallBucket:
    """Calls that one duty may make now."""

    tokens: float = BURST_CALLS
    refilled_ms: int = 0


@attrs.define
class CallPacing:
    """State of the calls of one router."""

    calls_per_s: float  # limit for all routers together
    buckets: dict[Duty, CallBucket] = attrs.field(factory=dict)
    in_flight: int = 0
    failures: int = 0  # without a success in between
    blocked_until_ms: int = 0


def take_call(pacing: CallPacing, duty: Duty, duties: int, now_ms: int) -> str | None:
    """
    Start a call, or refuse it.

    :param pacing: state, changed in place
    :param duty: duty of the call
    :param duties: number of duties of all routers
    :param now_ms: time in milliseconds
    :return: why the call may not be made now; None if it may, then :func:`end_call` must follow
    """
    if now_ms < pacing.blocked_until_ms:
        return "backoff"
    if pacing.in_flight >= MAX_IN_FLIGHT:
        return "in_flight"
    bucket = pacing.buckets.setdefault(duty, CallBucket(refilled_ms=now_ms))
    share_per_s = pacing.calls_per_s / max(1, duties)
    elapsed_ms = max(0, now_ms - bucket.refilled_ms)
    bucket.tokens = min(BURST_CALLS, bucket.tokens + elapsed_ms * share_per_s / 1_000)
    bucket.refilled_ms = now_ms
    if bucket.tokens < 1:
        return "rate"
    bucket.tokens -= 1
    pacing.in_flight += 1
    return None


def end_call(pacing: CallPacing, *, succeeded: bool, now_ms: int, rng: Random) -> None:
    """
    End a call and back off after a failure.

    :param pacing: state, changed in place
    :param succeeded: whether the API confirmed the call
    :param now_ms: time in milliseconds
    :param rng: seeded generator of the jitter
    """
    pacing.in_flight -= 1
    if succeeded:
        pacing.failures = 0
        return
    delay_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << min(pacing.failures, 10))
    pacing.failures += 1
    pacing.blocked_until_ms = now_ms + int(delay_ms * rng.uniform(0.5, 1.0))


__all__ = ["BACKOFF_MAX_MS", "MAX_IN_FLIGHT", "CallBucket", "CallPacing", "end_call", "take_call"]
