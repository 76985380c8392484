"""
Find backend servers that fail from the outcomes of requests, whatever their health checks say.

Answers servers that refuse, reset, garble or hang part of their requests while they look well.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer

EJECT_AFTER_FAILURES = 2  # in a row; one alone may be the fault of the request
EJECT_MS = 1_000  # a crashed engine is back after some seconds; doubled with each ejection
EJECT_MAX_MS = 4_000
MIN_KEPT_SHARE = 0.5  # of a group, however many fail


def note_success(server: BackendServer) -> None:
    """
    Note a whole answer.

    :param server: who answered
    """
    server.health.failures = 0
    server.health.ejections = 0


def note_failure(server: BackendServer, group: list[BackendServer], now_ms: int) -> bool:
    """
    Note a failed send; eject the server after several in a row, unless too many are.

    :param server: who failed
    :param group: servers of its group that accept work
    :param now_ms: monotonic time in milliseconds
    :return: whether the server was ejected now
    """
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


__all__ = ["note_failure", "note_success"]
