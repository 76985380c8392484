"""
Remember which backend servers failed a request, for the time when its caller sends it again.

Answers two loads. A server that answers one request with an error does so again, while another
server may answer it; the caller's next try begins where nothing has failed yet. A request that
crashes each server that runs it comes again and again; after two crashes it is refused.

Routers tell each other, as a caller's next try reaches another router.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.crash_quarantine import (
    choose_containment,
    clear_crashes,
    expire_crashes,
    merge_crash,
    record_crash,
)
from boragetiller.tables.crash_quarantine import Containment
from boragetiller.tables.request_history import (
    FailedServers,
    FailureKind,
    LostSend,
    RequestFailure,
    RequestHistory,
)

if TYPE_CHECKING:
    from boragetiller.tables.servers import BackendServer

FINGERPRINT_BYTES = 12  # no two of some thousand requests are alike by chance
ERROR_MEMORY_MS = 15_000  # callers wait up to 12 s and try again within that
CONFIRM_MS = (
    6_000  # a server that crashed leaves the list after three heartbeats of 1.2 s, and a lag
)
MAX_REQUESTS = 2_048  # bounds the memory; ten times the failures of a bad minute


@attrs.frozen
class CrashMemory:
    """How long requests that crash servers are remembered."""

    expire_ms: int = 600_000  # such a request comes again for as long as its caller tries
    max_bodies: int = MAX_REQUESTS


STRIKES = CrashMemory()


def request_fingerprint(customer: str, method: str, raw_path: str, body: bytes) -> bytes:
    """
    Tell requests apart; a caller's next try has the same fingerprint.

    :param customer: name of the customer, empty for none
    :param method: HTTP method
    :param raw_path: path and query as received
    :param body: the whole body
    :return: a hash of FINGERPRINT_BYTES bytes
    """
    head = f"{customer}\0{method}\0{raw_path}\0".encode()
    return blake2b(head + body, digest_size=FINGERPRINT_BYTES).digest()


def note_error(history: RequestHistory, fingerprint: bytes, server: str, now_ms: int) -> None:
    """
    Note that a server answered a request with an error of its own.

    :param history: what is known
    :param fingerprint: the request
    :param server: name of the server
    :param now_ms: monotonic time in milliseconds
    """
    failure = RequestFailure(fingerprint, server, FailureKind.ERROR)
    take_failure(history, failure, now_ms)
    history.news.add(failure)


def note_lost(
    history: RequestHistory, fingerprint: bytes, server: str, sent_ms: int, now_ms: int
) -> None:
    """
    Note that the connection broke while a server ran a request.

    :param history: what is known
    :param fingerprint: the request
    :param server: name of the server
    :param sent_ms: monotonic time at which it was sent
    :param now_ms: monotonic time in milliseconds
    """
    lost = history.lost.setdefault(server, [])
    lost[:] = [send for send in lost if now_ms - send.lost_ms < CONFIRM_MS]
    lost.append(LostSend(fingerprint, sent_ms, now_ms))


def note_answered(history: RequestHistory, fingerprint: bytes) -> None:
    """
    Clear a request that was only a bystander of a crash.

    :param history: what is known
    :param fingerprint: the request, which a server has answered
    """
    clear_crashes(history.strikes, fingerprint)


def confirm_crash(history: RequestHistory, server: str, now_ms: int) -> list[RequestFailure]:
    """
    Strike the requests whose connections broke shortly before a server was found gone.

    :param history: what is known
    :param server: name of the server, which refuses connections or whose incarnation has ended
    :param now_ms: monotonic time in milliseconds
    :return: requests that were struck
    """
    struck = []
    for send in history.lost.pop(server, ()):
        if now_ms - send.lost_ms >= CONFIRM_MS:
            continue
        if record_crash(history.strikes, send.fingerprint, server, send.sent_ms, now_ms):
            struck.append(RequestFailure(send.fingerprint, server, FailureKind.CRASH))
    for failure in struck:
        history.news.add(failure)
    return struck


def take_failure(history: RequestHistory, failure: RequestFailure, now_ms: int) -> None:
    """
    Take what this or another router saw.

    :param history: what is known
    :param failure: request and server
    :param now_ms: monotonic time in milliseconds
    """
    if failure.kind is FailureKind.CRASH:
        merge_crash(history.strikes, failure.fingerprint, failure.server, now_ms, STRIKES)
        return
    failed = history.errors.setdefault(failure.fingerprint, FailedServers())
    failed.names.add(failure.server)
    failed.last_ms = now_ms
    history.errors.move_to_end(failure.fingerprint)
    while len(history.errors) > MAX_REQUESTS or _oldest_is_over(history, now_ms):
        history.errors.popitem(last=False)


def without_failed(
    servers: list[BackendServer], history: RequestHistory, fingerprint: bytes, now_ms: int
) -> list[BackendServer]:
    """
    Leave out the servers that failed a request, as long as others are left.

    :param servers: candidates
    :param history: what is known
    :param fingerprint: the request
    :param now_ms: monotonic time in milliseconds
    :return: the others, or all candidates
    """
    failed = history.errors.get(fingerprint)
    if failed is None or now_ms - failed.last_ms >= ERROR_MEMORY_MS:
        return servers
    return [server for server in servers if server.name not in failed.names] or servers


def is_quarantined(history: RequestHistory, fingerprint: bytes, now_ms: int) -> bool:
    """
    Tell whether a request has crashed too many servers to be sent to another.

    :param history: what is known
    :param fingerprint: the request
    :param now_ms: monotonic time in milliseconds
    :return: whether it is refused
    """
    if fingerprint not in history.strikes.by_fingerprint:
        return False
    expire_crashes(history.strikes, STRIKES, now_ms)
    return choose_containment(history.strikes, fingerprint) is Containment.QUARANTINE


def _oldest_is_over(history: RequestHistory, now_ms: int) -> bool:
    if not history.errors:
        return False
    oldest = next(iter(history.errors.values()))
    return now_ms - oldest.last_ms >= ERROR_MEMORY_MS


__all__ = [
    "FINGERPRINT_BYTES",
    "confirm_crash",
    "is_quarantined",
    "note_answered",
    "note_error",
    "note_lost",
    "request_fingerprint",
    "take_failure",
    "without_failed",
]
