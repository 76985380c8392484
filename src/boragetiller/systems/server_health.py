"""
Find backend servers that fail from the outcomes of requests, whatever their health checks say.

Answers servers that refuse, reset, garble or hang part of their requests while they look well.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.direct_attempts import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.tables.servers import BackendServer

EJECT_AFTER_FAILURES = 2  # in a row; one alone may be the fault of the request
EJECT_MS = 1_000  # a crashed engine is back after some seconds; doubled with each ejection
EJECT_MAX_MS = 4_000
MIN_KEPT_SHARE = 0.5  # of a group, however many fail
FULL_PAUSE_MS = 50  # a server that refused for lack of places gets nothing new for so long

FAILURES = frozenset(
    {AttemptOutcome.UNREACHABLE, AttemptOutcome.LOST, AttemptOutcome.GARBLED, AttemptOutcome.SILENT}
)


def record_outcome(
    server: BackendServer, group: Sequence[BackendServer], end: AttemptOutcome, now_ms: int
) -> bool:
    """
    Note the end of a send; eject the server after several failures in a row.

    An error that the server reports itself is no failure of the server: most are the fault of
    the request, and another server answers it the same way.

    :param server: where the send went
    :param group: servers of its group that accept work
    :param end: how the send ended
    :param now_ms: monotonic time in milliseconds
    :return: whether the server was ejected now
    """
    if end is AttemptOutcome.FULL:
        server.full_until_ms = now_ms + FULL_PAUSE_MS
    if end is AttemptOutcome.ANSWERED:
        server.health.failures = 0
        server.health.ejections = 0
    return end in FAILURES and _note_failure(server, group, now_ms)


def _note_failure(server: BackendServer, group: Sequence[BackendServer], now_ms: int) -> bool:
    health = server.health
    health.failures += 1
    if health.failures < EJECT_AFTER_FAILURES or health.is_ejected(now_ms):
        return False
    ejected = sum(1 for other in group if other.health.is_ejected(now_ms))
    if ejected + 1 > len(group) - math.ceil(len(group) * MIN_KEPT_SHARE):
        return False
    health.ejected_until_ms = now_ms + min(EJECT_MAX_MS, EJECT_MS * 2**health.ejections)
    health.ejections += 1
    health.failures = 0
    return True


__all__ = ["record_outcome"]
