"""
Leave servers alone for the time that they ask this router for when they refuse a request.

A pause belongs to this router: the server may have refused it alone, so peers are not told.
The longest of several pauses counts, and only time or another incarnation ends it: a response to
an earlier request may still arrive, and says nothing about the pause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.server_pauses import ServerPause
from boragetiller.tables.servers import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Set
    from random import Random

    from boragetiller.tables.server_pauses import ServerPauseTable
    from boragetiller.tables.servers import BackendServer, ServerRecord

MAX_PAUSE_MS = 300_000  # a server that asks for more is tried again after so long
MAX_PAUSES = 4_096  # bounds memory
RETURN_SHARE = 0.5  # of the time until the end of a pause, in which refused callers come back
MIN_RETURN_MS = 100.0

_NONE: frozenset[str] = frozenset()


def record_pause(
    table: ServerPauseTable, record: ServerRecord, pause_ms: float, now_ms: int
) -> ServerPause | None:
    """
    Record a pause that a server asks for.

    :param table: known pauses
    :param record: the incarnation of the server
    :param pause_ms: time from now in which it wants no requests, 0 for none
    :param now_ms: monotonic time in milliseconds
    :return: the pause if the server did not pause before, else None
    """
    if pause_ms <= 0:
        return None
    until_ms = now_ms + max(1, round(min(pause_ms, MAX_PAUSE_MS)))
    incarnation = Incarnation.of(record)
    known = table.by_incarnation.get(incarnation)
    if known is not None and known.until_ms > now_ms:
        known.until_ms = max(known.until_ms, until_ms)
        return None
    pause = ServerPause(group=record.group, began_ms=now_ms, until_ms=until_ms)
    table.by_incarnation[incarnation] = pause
    if len(table.by_incarnation) > MAX_PAUSES:
        pauses = table.by_incarnation
        del pauses[min(pauses, key=lambda each: pauses[each].until_ms)]
    return pause


def pause_left_ms(table: ServerPauseTable, record: ServerRecord, now_ms: int) -> int:
    """
    Compute how long a server will pause.

    :param table: known pauses
    :param record: the incarnation of the server
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds, 0 if requests may be sent
    """
    if not table.by_incarnation:
        return 0
    pause = table.by_incarnation.get(Incarnation.of(record))
    return max(0, pause.until_ms - now_ms) if pause is not None else 0


def list_paused(
    table: ServerPauseTable, servers: Mapping[str, BackendServer], now_ms: int
) -> Set[str]:
    """
    List the registered servers that pause.

    :param table: known pauses
    :param servers: registered servers by name
    :param now_ms: monotonic time in milliseconds
    :return: their names
    """
    if not table.by_incarnation:
        return _NONE
    return {
        incarnation.name
        for incarnation, pause in table.by_incarnation.items()
        if pause.until_ms > now_ms
        and (server := servers.get(incarnation.name)) is not None
        and Incarnation.of(server.record) == incarnation
    }


def remove_ended(table: ServerPauseTable, now_ms: int) -> list[tuple[Incarnation, ServerPause]]:
    """
    Remove the pauses whose time is over.

    :param table: known pauses
    :param now_ms: monotonic time in milliseconds
    :return: those removed
    """
    ended = [each for each in table.by_incarnation.items() if each[1].until_ms <= now_ms]
    for incarnation, _ in ended:
        del table.by_incarnation[incarnation]
    return ended


def mark_replaced(
    table: ServerPauseTable, servers: Mapping[str, BackendServer], now_ms: int
) -> list[tuple[Incarnation, ServerPause]]:
    """
    Mark the pauses of incarnations that others have replaced.

    :param table: known pauses
    :param servers: registered servers by name
    :param now_ms: monotonic time in milliseconds
    :return: those newly marked, whose time was not over
    """
    found = []
    for incarnation, pause in table.by_incarnation.items():
        server = servers.get(incarnation.name)
        is_other = server is not None and Incarnation.of(server.record) != incarnation
        if is_other and not pause.replaced and pause.until_ms > now_ms:
            found.append((incarnation, pause))
        pause.replaced = is_other
    return found


def first_pause_left_ms(
    table: ServerPauseTable, servers: Iterable[BackendServer], now_ms: int
) -> int:
    """
    Compute when the first of some servers ends its pause.

    :param table: known pauses
    :param servers: servers that could take a request
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds, 0 if none of them pauses
    """
    if not table.by_incarnation:
        return 0
    times_ms = [pause_left_ms(table, server.record, now_ms) for server in servers]
    return min((each for each in times_ms if each > 0), default=0)


def spread_return_ms(left_ms: int, rng: Random) -> float:
    """
    Compute when a caller should come back that is refused because servers pause.

    Callers are spread over a time after the end of the pause that grows with what is left of it,
    since more of them come meanwhile.

    :param left_ms: until the first server is free
    :param rng: seeded random generator
    :return: milliseconds
    """
    return left_ms + rng.uniform(0, max(MIN_RETURN_MS, RETURN_SHARE * left_ms))


__all__ = [
    "MAX_PAUSES",
    "MAX_PAUSE_MS",
    "first_pause_left_ms",
    "list_paused",
    "mark_replaced",
    "pause_left_ms",
    "record_pause",
    "remove_ended",
    "spread_return_ms",
]
