"""
How long to wait for a backend server before a second one is asked.

Answers servers that run a request and lose the answer, hang, or go dark: without a limit of its own
such a call waits until its deadline.
"""

from __future__ import annotations

import attrs

HEDGE_SHARE = 0.75  # of the latency target; the second answer then still comes about in time
EXPECTED_FACTOR = 1.5  # an engine may take half as long again as expected
CALLER_MIN_MS = 2_000.0  # of silence, after which a caller leaves a stream (PROTOCOL.md)
CALLER_TARGETS = 4  # or so many latency targets
CALLER_GAPS = 8  # or so many of the longest pauses that are on time
MIN_EVENT_TIMEOUT_MS = 1_000.0  # callers leave a stream after two seconds without an event


@attrs.frozen(kw_only=True)
class StreamTimeouts:
    """Limits on the silence of a stream that may go on elsewhere."""

    first_event_ms: float
    between_events_ms: float


def hedge_delay_ms(target_ms: float) -> float:
    """
    Tell when an idempotent call is sent to a second server beside the first.

    :param target_ms: latency target of the route
    :return: time without an answer
    """
    return HEDGE_SHARE * target_ms


def caller_event_timeout_ms(target_ms: float, gap_target_ms: float) -> float:
    """
    Tell how long a caller waits for the next event of a stream, the first one too.

    :param target_ms: latency target to the first event
    :param gap_target_ms: longest pause for which the stream is on time
    :return: time without an event
    """
    return max(CALLER_MIN_MS, CALLER_TARGETS * target_ms, CALLER_GAPS * gap_target_ms)


def stream_timeouts(target_ms: float, gap_target_ms: float, expected_ms: float) -> StreamTimeouts:
    """
    Tell when a resumable stream that is silent goes on at another server.

    :param target_ms: latency target to the first event
    :param gap_target_ms: longest pause for which the stream is on time
    :param expected_ms: time to the first event that placement expected
    :return: the limits
    """
    return StreamTimeouts(
        first_event_ms=max(MIN_EVENT_TIMEOUT_MS, target_ms + EXPECTED_FACTOR * expected_ms),
        between_events_ms=max(MIN_EVENT_TIMEOUT_MS, 2 * gap_target_ms),
    )


__all__ = ["StreamTimeouts", "caller_event_timeout_ms", "hedge_delay_ms", "stream_timeouts"]
