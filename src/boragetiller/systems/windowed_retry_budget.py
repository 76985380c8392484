"""
Limit repeated sends to a share of the requests in a sliding window, over all routers.

Answers the load of failing servers: each failure sent again adds work when there is least room.
Each router keeps to its part of the fleet's budget without asking the others, so the limit also
holds when routers are cut off from each other.
"""

from __future__ import annotations

from collections import deque

import attrs


@attrs.define(kw_only=True)
class WindowedRetryBudget:
    """Requests and repeated sends of one backend group in the last window."""

    ratio: float  # repeated sends per request
    slack: float  # repeated sends beyond the ratio, this router's part
    window_ms: int
    requests_ms: deque[int] = attrs.field(factory=deque)
    retries_ms: deque[int] = attrs.field(factory=deque)

    def record_request(self, now_ms: int) -> None:
        """Count a request of a caller; `now_ms` is monotonic."""
        self._forget(now_ms)
        self.requests_ms.append(now_ms)

    def record_retry(self, now_ms: int) -> None:
        """Count a send after the first of its request; `now_ms` is monotonic."""
        self.retries_ms.append(now_ms)

    def allows(self, now_ms: int) -> bool:
        """
        Tell whether one more repeated send fits.

        :param now_ms: monotonic time in milliseconds
        :return: whether it may be sent
        """
        self._forget(now_ms)
        allowed = self.ratio * len(self.requests_ms) + self.slack
        return len(self.retries_ms) + 1 <= allowed

    def _forget(self, now_ms: int) -> None:
        for times in (self.requests_ms, self.retries_ms):
            while times and times[0] <= now_ms - self.window_ms:
                times.popleft()


__all__ = ["WindowedRetryBudget"]
