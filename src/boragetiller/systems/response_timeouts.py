"""
Compute how long to wait for a backend server before the request goes to a second one.

A server may run a request and lose the response, hang, or become unreachable. Without these limits
such a call would wait until its deadline.
"""

from __future__ import annotations

import attrs

HEDGE_SHARE = 0.75  # of the latency target, so that the second response is about in time
EXPECTED_FACTOR = 1.5  # tolerated ratio of actual to expected time to the first event
# A caller closes a stream after the longest of these times without an event (PROTOCOL.md).
CALLER_MIN_TIMEOUT_MS = 2_000.0
CALLER_TARGET_MULTIPLE = 4  # of the latency target
CALLER_GAP_MULTIPLE = 8  # of the gap target
MIN_EVENT_TIMEOUT_MS = 1_000.0  # half of the 2 s after which callers may close a silent stream


@attrs.frozen(kw_only=True)
class StreamTimeouts:
    """Timeouts after which a resumable stream continues at another server."""

    first_event_ms: float
    between_events_ms: float


def compute_hedge_delay_ms(target_ms: float) -> float:
    """
    Compute the hedging delay of an idempotent call.

    :param target_ms: latency target of the route in milliseconds
    :return: milliseconds without a response after which a second server gets the call too
    """
    return HEDGE_SHARE * target_ms


def compute_caller_event_timeout_ms(target_ms: float, gap_target_ms: float) -> float:
    """
    Compute how long a caller waits for the first or the next event of a stream.

    :param target_ms: latency target to the first event in milliseconds
    :param gap_target_ms: longest pause between events within the target in milliseconds
    :return: milliseconds without an event after which the caller closes the stream
    """
    return max(
        CALLER_MIN_TIMEOUT_MS,
        CALLER_TARGET_MULTIPLE * target_ms,
        CALLER_GAP_MULTIPLE * gap_target_ms,
    )


def compute_stream_timeouts(
    target_ms: float, gap_target_ms: float, expected_ms: float
) -> StreamTimeouts:
    """
    Compute the timeouts of a resumable stream.

    :param target_ms: latency target to the first event in milliseconds
    :param gap_target_ms: longest pause between events within the target in milliseconds
    :param expected_ms: time to the first event in milliseconds, as estimated by placement
    :return: the timeouts
    """
    return StreamTimeouts(
        first_event_ms=max(MIN_EVENT_TIMEOUT_MS, target_ms + EXPECTED_FACTOR * expected_ms),
        between_events_ms=max(MIN_EVENT_TIMEOUT_MS, 2 * gap_target_ms),
    )


__all__ = [
    "StreamTimeouts",
    "compute_caller_event_timeout_ms",
    "compute_hedge_delay_ms",
    "compute_stream_timeouts",
]
