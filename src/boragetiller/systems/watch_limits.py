"""
Bound the time for which a router waits for changes that the store does not send.

A watch that is never answered, because the store or the connection is silent, looks like one
without changes. Only its time limit ends it, so the limit is the deadline of the changes.
"""

from __future__ import annotations

WATCH_MARGIN_MS = 500  # for the response of a slow store, after the wait that the watch asks for
MIN_WATCH_WAIT_MS = 200  # bounds the calls where a deployment has very short deadlines
JITTER_SHARE = 0.2  # a change renews the watches of all routers, which must not all end together


def compute_watch_wait_ms(deadline_ms: int, jitter: float) -> int:
    """
    Compute how long a watch asks the store to wait for a change.

    :param deadline_ms: time within which a change must be in force
    :param jitter: 0 to 1, random for each watch
    :return: milliseconds; the watch fails WATCH_MARGIN_MS after that
    """
    longest_ms = max(MIN_WATCH_WAIT_MS, deadline_ms - WATCH_MARGIN_MS)
    return max(MIN_WATCH_WAIT_MS, int(longest_ms * (1 - JITTER_SHARE * jitter)))


__all__ = ["WATCH_MARGIN_MS", "compute_watch_wait_ms"]
