"""
Detect failing backend servers by the outcomes of requests (passive health checking).

Servers may refuse, reset, corrupt or hang some of their requests while their heartbeats show them
as healthy.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.direct_attempts import DirectAttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.tables.servers import BackendServer

EJECT_AFTER_FAILURES = 2  # consecutive; a single failure may be caused by the request
EJECT_MS = 1_000  # doubled with each ejection; a crashed engine restarts within seconds
EJECT_MAX_MS = 4_000
MIN_HEALTHY_SHARE = 0.5  # of a group; ejections never leave fewer servers
FULL_BACKOFF_MS = 50  # no new requests to a server that refused one because it was full

FAILURES = frozenset(
    {
        DirectAttemptOutcome.UNREACHABLE,
        DirectAttemptOutcome.LOST,
        DirectAttemptOutcome.GARBLED,
        DirectAttemptOutcome.SILENT,
        DirectAttemptOutcome.UNAVAILABLE,
    }
)


def record_outcome(
    server: BackendServer,
    group: Sequence[BackendServer],
    outcome: DirectAttemptOutcome,
    now_ms: int,
) -> bool:
    """
    Record the outcome of an attempt, and eject the server after consecutive failures.

    An error response by the server itself does not count as a failure: most are caused by the
    request, and another server would respond in the same way. One that says that the server takes
    no requests does: such a server responds fast, so that it would be sent most requests.

    :param server: server of the attempt
    :param group: servers of its group that accept new requests
    :param outcome: outcome of the attempt
    :param now_ms: monotonic time in milliseconds
    :return: whether the server was ejected by this call
    """
    if outcome is DirectAttemptOutcome.FULL:
        server.full_until_ms = now_ms + FULL_BACKOFF_MS
    if outcome is DirectAttemptOutcome.ANSWERED:
        server.health.failures = 0
        server.health.ejections = 0
    return outcome in FAILURES and _record_failure(server, group, now_ms)


def _record_failure(server: BackendServer, group: Sequence[BackendServer], now_ms: int) -> bool:
    health = server.health
    health.failures += 1
    if health.failures < EJECT_AFTER_FAILURES or health.is_ejected(now_ms):
        return False
    ejected = sum(1 for other in group if other.health.is_ejected(now_ms))
    if ejected + 1 > len(group) - math.ceil(len(group) * MIN_HEALTHY_SHARE):
        return False
    health.ejected_until_ms = now_ms + min(EJECT_MAX_MS, EJECT_MS * 2**health.ejections)
    health.ejections += 1
    health.failures = 0
    return True


__all__ = ["record_outcome"]
