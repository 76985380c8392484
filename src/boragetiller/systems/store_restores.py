"""
Decide how long entries that a restored store lacks stay in force.

After a restore the backend servers write their entries again. Until then the store lacks the
entries of servers that joined after the copy was made, and has old versions of others.
"""

from __future__ import annotations

import attrs

from boragetiller.store_eras import get_era

MISSING_GRACE_MS = 2_500  # servers write again within 2,000 ms; the rest covers the call's delay
RETAIN_MS = 30_000  # bounds the time in which an old version is doubted, if nobody writes again


@attrs.define
class RestoreGrace:
    """Time since this router first listed the backend servers in the present era."""

    era: int = 0
    _since_ms: int = 0
    _relist_pending: bool = False

    def record_listing(self, revision: int, now_ms: int) -> None:
        """
        Record a listing of the backend servers.

        :param revision: extended revision of the listing
        :param now_ms: monotonic time in milliseconds
        """
        if get_era(revision) > self.era:
            self.era, self._since_ms = get_era(revision), now_ms
            self._relist_pending = True
        elif self.is_over(now_ms):
            self._relist_pending = False

    def is_over(self, now_ms: int) -> bool:
        """:return: whether an entry that the store lacks counts as removed"""
        return now_ms - self._since_ms >= MISSING_GRACE_MS

    def is_retention_over(self, now_ms: int) -> bool:
        """:return: whether old versions of entries come into force again"""
        return now_ms - self._since_ms >= RETAIN_MS

    def compute_relist_wait_ms(self, now_ms: int) -> int | None:
        """:return: milliseconds until the servers must be listed again, None if they need not"""
        if not self._relist_pending:
            return None
        return max(0, self._since_ms + MISSING_GRACE_MS - now_ms)


__all__ = ["MISSING_GRACE_MS", "RETAIN_MS", "RestoreGrace"]
