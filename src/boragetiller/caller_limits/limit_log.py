"""Log lines about callers that meet a limit: at most one per second and cause, with counts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL_MS = 1_000


class LimitLog:
    """Counts by cause what was refused or ended, and logs the counts."""

    def __init__(self, now_ms: Callable[[], int], count: Callable[[str], None]) -> None:
        """
        Create an empty log.

        :param now_ms: returns monotonic time in milliseconds
        :param count: called with the cause each time
        """
        self._now_ms = now_ms
        self._count = count
        self._pending: Counter[str] = Counter()
        self._logged_ms: dict[str, int] = {}

    def record(self, cause: str) -> None:
        """
        Record that a caller met a limit; the first one is logged at once.

        :param cause: name of the limit
        """
        self._count(cause)
        self._pending[cause] += 1
        self._write(cause)

    def flush(self) -> bool:
        """
        Log the counts whose interval is over; to be called about once per second.

        :return: whether counts are left whose interval is not over
        """
        for cause in list(self._pending):
            self._write(cause)
        return bool(self._pending)

    def _write(self, cause: str) -> None:
        now_ms = self._now_ms()
        if now_ms - self._logged_ms.get(cause, now_ms - INTERVAL_MS) < INTERVAL_MS:
            return
        log_event(Event.CALLER_LIMIT_MET, cause=cause, count=self._pending.pop(cause))
        self._logged_ms[cause] = now_ms


__all__ = ["LimitLog"]
