"""Find request bodies that crash backend servers, and keep them from further servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.strikes import ServerStrikes, StrikeTable, Suspicion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.settings import StrikeSettings
    from boragetiller.tables.strikes import StrikeLimits

QUARANTINE_CRASHES = 2


def record_crash(
    table: StrikeTable, fingerprint: bytes, server: str, started_ms: int, now_ms: int
) -> bool:
    """
    Strike a body whose backend server crashed while it ran.

    :param table: strikes known
    :param fingerprint: the body
    :param server: the backend server
    :param started_ms: when the call was sent to the server
    :param now_ms: monotonic time in milliseconds
    :return: whether this is another crash, not one already counted by a copy of the body
    """
    servers = table.by_fingerprint.setdefault(fingerprint, {})
    known = servers.get(server)
    if known is None:
        servers[server] = ServerStrikes(crashes=1, last_ms=now_ms)
        return True
    if started_ms <= known.last_ms:
        return False
    known.crashes += 1
    known.last_ms = now_ms
    return True


def merge_strike(
    table: StrikeTable, fingerprint: bytes, server: str, struck_ms: int, settings: StrikeLimits
) -> None:
    """
    Take a strike that another process saw.

    :param table: strikes known
    :param fingerprint: the body
    :param server: the backend server
    :param struck_ms: when it crashed, in this process's monotonic time
    :param settings: number of bodies kept
    """
    servers = table.by_fingerprint.setdefault(fingerprint, {})
    if server not in servers:
        servers[server] = ServerStrikes(crashes=1, last_ms=struck_ms)
    while len(table.by_fingerprint) > settings.max_bodies:
        del table.by_fingerprint[next(iter(table.by_fingerprint))]


def judge_body(table: StrikeTable, fingerprint: bytes) -> Suspicion:
    """
    Decide how a body may run.

    :param table: strikes known
    :param fingerprint: the body
    :return: freely, in isolation, or not at all
    """
    servers = table.by_fingerprint.get(fingerprint)
    if not servers:
        return Suspicion.NONE
    crashes = sum(strikes.crashes for strikes in servers.values())
    return Suspicion.QUARANTINE if crashes >= QUARANTINE_CRASHES else Suspicion.ISOLATE


def struck_servers(table: StrikeTable, fingerprint: bytes) -> tuple[str, ...]:
    """:return: backend servers that crashed while they ran the body"""
    return tuple(sorted(table.by_fingerprint.get(fingerprint, {})))


def isolation_wait_ms(
    table: StrikeTable, fingerprint: bytes, settings: StrikeSettings, now_ms: int
) -> int:
    """
    Tell how long a struck body waits, so that copies already running can crash first.

    :param table: strikes known
    :param fingerprint: the body
    :param settings: delay after a crash
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds until it may run in isolation
    """
    servers = table.by_fingerprint.get(fingerprint, {})
    last_ms = max((strikes.last_ms for strikes in servers.values()), default=now_ms)
    return max(0, last_ms + settings.isolation_delay_ms - now_ms) if servers else 0


def isolation_order(
    table: StrikeTable, fingerprint: bytes, servers: Iterable[str], key: int
) -> list[str]:
    """
    Order the backend servers for a struck body: the same order at every router.

    :param table: strikes known
    :param fingerprint: the body
    :param servers: every backend server of the group, whatever its health
    :param key: what placement prefers servers by, so that copies not yet struck run on these too
    :return: names, without those that the body crashed
    """
    struck = struck_servers(table, fingerprint)
    others = [name for name in servers if name not in struck]
    return sorted(others, key=lambda name: (mix64(stable_hash(name) ^ key), name), reverse=True)


def clear_body(table: StrikeTable, fingerprint: bytes) -> None:
    """
    Forget the strikes of a body that ran to its end in isolation.

    :param table: strikes known
    :param fingerprint: the body
    """
    if judge_body(table, fingerprint) is Suspicion.ISOLATE:
        table.by_fingerprint.pop(fingerprint, None)


def expire_strikes(table: StrikeTable, settings: StrikeLimits, now_ms: int) -> None:
    """
    Forget bodies that crashed no server for long.

    :param table: strikes known
    :param settings: how long strikes are kept
    :param now_ms: monotonic time in milliseconds
    """
    horizon_ms = now_ms - settings.expire_ms
    expired = [
        fingerprint
        for fingerprint, servers in table.by_fingerprint.items()
        if all(strikes.last_ms < horizon_ms for strikes in servers.values())
    ]
    for fingerprint in expired:
        del table.by_fingerprint[fingerprint]


__all__ = [
    "QUARANTINE_CRASHES",
    "clear_body",
    "expire_strikes",
    "isolation_order",
    "isolation_wait_ms",
    "judge_body",
    "merge_strike",
    "record_crash",
    "struck_servers",
]
