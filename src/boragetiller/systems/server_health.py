"""
Find backend servers that fail from the outcomes of requests, whatever their health checks say.

Answers servers that refuse, reset, garble or hang part of their requests while they look well, and
servers that work much slower than the others.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.attempts import SendEnd

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer

EJECT_AFTER_FAILURES = 2  # in a row; one alone may be the fault of the request
EJECT_MS = 1_000  # a crashed engine is back after some seconds; doubled with each ejection
EJECT_MAX_MS = 4_000
MIN_KEPT_SHARE = 0.5  # of a group, however many fail
LATE_MEMORY_MS = 3_000.0  # a slow server is tried again after about so long
LATE_SMOOTHING = 0.3  # weight of the newest answer
MAX_LATE_MS = 2_000.0  # bounds what one answer may add
FULL_PAUSE_MS = 50  # a server that refused for lack of places gets nothing new for so long

FAILURES = frozenset({SendEnd.UNREACHABLE, SendEnd.LOST, SendEnd.GARBLED, SendEnd.SILENT})


def note_end(server: BackendServer, group: list[BackendServer], end: SendEnd, now_ms: int) -> bool:
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
    if end is SendEnd.FULL:
        server.full_until_ms = now_ms + FULL_PAUSE_MS
    if end is SendEnd.ANSWERED:
        server.health.failures = 0
        server.health.ejections = 0
    return end in FAILURES and _note_failure(server, group, now_ms)


def note_delay(server: BackendServer, measured_ms: float, expected_ms: float, now_ms: int) -> None:
    """
    Note how much later than expected a server answered, to find slow ones.

    :param server: who answered
    :param measured_ms: time to the first event or to the whole answer
    :param expected_ms: what placement expected
    :param now_ms: monotonic time in milliseconds
    """
    late_ms = min(MAX_LATE_MS, max(0.0, measured_ms - expected_ms))
    before_ms = lateness_ms(server, now_ms)
    server.health.late_ms = (1 - LATE_SMOOTHING) * before_ms + LATE_SMOOTHING * late_ms
    server.health.late_noted_ms = now_ms


def lateness_ms(server: BackendServer, now_ms: int) -> float:
    """
    Tell how much later than expected a server answers; it fades, so that it is tried again.

    :param server: the server
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds
    """
    age_ms = max(0, now_ms - server.health.late_noted_ms)
    return server.health.late_ms * math.exp(-age_ms / LATE_MEMORY_MS)


def _note_failure(server: BackendServer, group: list[BackendServer], now_ms: int) -> bool:
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


__all__ = ["lateness_ms", "note_delay", "note_end"]
