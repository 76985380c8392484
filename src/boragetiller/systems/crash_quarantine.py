"""Detect request bodies that crash backend servers, and isolate or quarantine them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.crash_quarantine import Containment, CrashTable, ServerCrashes

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from boragetiller.settings import CrashQuarantineSettings
    from boragetiller.tables.crash_quarantine import CrashRetention

QUARANTINE_AFTER_CRASHES = 2


def record_crash(
    table: CrashTable, fingerprint: bytes, server: str, started_ms: int, now_ms: int
) -> bool:
    """
    Record the crash of a backend server while it ran a body.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    :param server: the backend server
    :param started_ms: when the call was sent to the server
    :param now_ms: monotonic time in milliseconds
    :return: whether the crash is new, not one already counted for another copy of the body
    """
    servers = table.by_fingerprint.setdefault(fingerprint, {})
    known = servers.get(server)
    if known is None:
        servers[server] = ServerCrashes(crashes=1, last_ms=now_ms)
        return True
    if started_ms <= known.last_ms:
        return False
    known.crashes += 1
    known.last_ms = now_ms
    return True


def merge_crash(
    table: CrashTable, fingerprint: bytes, server: str, crashed_ms: int, settings: CrashRetention
) -> None:
    """
    Add a crash that another process reported.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    :param server: the backend server
    :param crashed_ms: when it crashed, in this process's monotonic time
    :param settings: number of bodies kept
    """
    servers = table.by_fingerprint.setdefault(fingerprint, {})
    if server not in servers:
        servers[server] = ServerCrashes(crashes=1, last_ms=crashed_ms)
    drop_oldest_bodies(table, settings)


def drop_oldest_bodies(table: CrashTable, settings: CrashRetention) -> None:
    """
    Bound the number of bodies.

    :param table: recorded crashes
    :param settings: number of bodies kept
    """
    while len(table.by_fingerprint) > settings.max_bodies:
        del table.by_fingerprint[next(iter(table.by_fingerprint))]


def choose_containment(
    table: CrashTable, fingerprint: bytes, explained: Set[str] = frozenset()
) -> Containment:
    """
    Decide how a body may run.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    :param explained: backend servers whose crash has another cause
    :return: without restriction, in isolation only, or not at all
    """
    servers = table.by_fingerprint.get(fingerprint, {})
    crashes = sum(known.crashes for name, known in servers.items() if name not in explained)
    if not crashes:
        return Containment.NONE
    return Containment.QUARANTINE if crashes >= QUARANTINE_AFTER_CRASHES else Containment.ISOLATE


def crashed_servers(table: CrashTable, fingerprint: bytes) -> tuple[str, ...]:
    """:return: names of the backend servers that crashed while they ran the body"""
    return tuple(sorted(table.by_fingerprint.get(fingerprint, {})))


def isolation_wait_ms(
    table: CrashTable, fingerprint: bytes, settings: CrashQuarantineSettings, now_ms: int
) -> int:
    """
    Compute how long a body waits for isolation, so that crashes by running copies come first.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    :param settings: delay after a crash
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds until the body may run in isolation
    """
    servers = table.by_fingerprint.get(fingerprint, {})
    last_ms = max((server.last_ms for server in servers.values()), default=now_ms)
    return max(0, last_ms + settings.isolation_delay_ms - now_ms) if servers else 0


def rank_isolation_servers(
    table: CrashTable, fingerprint: bytes, servers: Iterable[str], key: int
) -> list[str]:
    """
    Rank the backend servers that may run a body in isolation, alike at every router.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    :param servers: every backend server of the group, whatever its health
    :param key: hash that placement uses, which sends copies without recorded crashes the same way
    :return: names, without the servers that the body crashed
    """
    crashed = crashed_servers(table, fingerprint)
    others = [name for name in servers if name not in crashed]
    return sorted(others, key=lambda name: (mix64(stable_hash(name) ^ key), name), reverse=True)


def clear_crashes(table: CrashTable, fingerprint: bytes) -> None:
    """
    Remove the crashes of a body that completed, unless it is quarantined.

    :param table: recorded crashes
    :param fingerprint: fingerprint of the body
    """
    if choose_containment(table, fingerprint) is Containment.ISOLATE:
        table.by_fingerprint.pop(fingerprint, None)


def expire_crashes(table: CrashTable, settings: CrashRetention, now_ms: int) -> None:
    """
    Remove bodies whose last crash is older than the retention time.

    :param table: recorded crashes
    :param settings: retention time
    :param now_ms: monotonic time in milliseconds
    """
    expired_before_ms = now_ms - settings.expire_ms
    expired = [
        fingerprint
        for fingerprint, servers in table.by_fingerprint.items()
        if all(server.last_ms < expired_before_ms for server in servers.values())
    ]
    for fingerprint in expired:
        del table.by_fingerprint[fingerprint]


__all__ = [
    "QUARANTINE_AFTER_CRASHES",
    "choose_containment",
    "clear_crashes",
    "crashed_servers",
    "drop_oldest_bodies",
    "expire_crashes",
    "isolation_wait_ms",
    "merge_crash",
    "rank_isolation_servers",
    "record_crash",
]
