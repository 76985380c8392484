"""
Limit the fleet's retries to a share of the requests in a sliding window.

When servers fail, retries add load while capacity is lowest. Each router enforces its own part of
the fleet's budget without coordination, so the limit also holds during network partitions.
"""

from __future__ import annotations

from collections import deque

import attrs

HEDGE_SHARE = 0.5  # of what the retries of failed requests leave


@attrs.define(kw_only=True)
class WindowedRetryBudget:
    """Requests and retries of one backend group within the sliding window."""

    ratio: float  # retries per request
    slack: float  # retries allowed in addition to the ratio, this router's part
    window_ms: int
    requests_ms: deque[int] = attrs.field(factory=deque)  # monotonic times
    retries_ms: deque[int] = attrs.field(factory=deque)  # monotonic times, hedges included
    hedges_ms: deque[int] = attrs.field(factory=deque)  # monotonic times, of those within a limit

    def record_request(self, now_ms: int) -> None:
        """Count a request of a caller; `now_ms` is monotonic time in milliseconds."""
        self._expire(now_ms)
        self.requests_ms.append(now_ms)

    def record_retry(self, now_ms: int) -> None:
        """Count a retry or a hedged attempt; `now_ms` is monotonic time in milliseconds."""
        self.retries_ms.append(now_ms)

    def record_hedge(self, now_ms: int) -> None:
        """Count a hedged attempt within a limit; `now_ms` is monotonic time in milliseconds."""
        self.record_retry(now_ms)
        self.hedges_ms.append(now_ms)

    def allows_hedge(self, now_ms: int) -> bool:
        """
        Check whether the budget allows one more hedged attempt.

        Hedged attempts use at most half of what failures leave, so that there is always room for
        the retries of failed requests.

        :param now_ms: monotonic time in milliseconds
        :return: whether the attempt may be sent
        """
        self._expire(now_ms)
        allowed = self.ratio * len(self.requests_ms) + self.slack
        after_failures = allowed - (len(self.retries_ms) - len(self.hedges_ms))
        return len(self.hedges_ms) + 1 <= HEDGE_SHARE * after_failures

    def allows(self, now_ms: int) -> bool:
        """
        Check whether the budget allows one more retry.

        :param now_ms: monotonic time in milliseconds
        :return: whether the retry may be sent
        """
        self._expire(now_ms)
        allowed = self.ratio * len(self.requests_ms) + self.slack
        return len(self.retries_ms) + 1 <= allowed

    def _expire(self, now_ms: int) -> None:
        for times in (self.requests_ms, self.retries_ms, self.hedges_ms):
            while times and times[0] <= now_ms - self.window_ms:
                times.popleft()


__all__ = ["WindowedRetryBudget"]
