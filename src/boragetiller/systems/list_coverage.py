"""Tell for how long a router has followed the list of backend servers without a gap."""

from __future__ import annotations

import attrs

from boragetiller.tables.stream_versions import STREAM_LIFETIME_MS

OBSERVE_INTERVAL_MS = 500
MAX_GAP_MS = 4 * OBSERVE_INTERVAL_MS  # a longer one means that the process did not run


@attrs.define
class ListCoverage:
    """Whether the router has seen each version that may have begun a stream."""

    _since_ms: int | None = None  # monotonic time, None while the list is not current
    _last_ms: int = 0

    def observe(self, now_ms: int, *, is_current: bool) -> None:
        """
        Take note of the state of the list, each OBSERVE_INTERVAL_MS.

        :param now_ms: monotonic time in milliseconds
        :param is_current: whether changes of the list reach the router
        """
        if not is_current:
            self._since_ms = None
        elif self._since_ms is None or now_ms - self._last_ms > MAX_GAP_MS:
            self._since_ms = now_ms
        self._last_ms = now_ms

    def covers_streams(self, now_ms: int) -> bool:
        """
        Check whether the list was current for as long as a stream may be resumed.

        :param now_ms: monotonic time in milliseconds
        :return: whether all versions that served in that time are known
        """
        return (
            self._since_ms is not None
            and now_ms - self._last_ms <= MAX_GAP_MS
            and now_ms - self._since_ms >= STREAM_LIFETIME_MS
        )


__all__ = ["OBSERVE_INTERVAL_MS", "ListCoverage"]
