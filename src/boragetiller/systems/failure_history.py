"""
Record which backend servers failed a request, for later retries by its caller.

A server that answered a request with an error is likely to do so again, while another server may
succeed, so a caller's retry goes to servers that have not failed it. A request that crashes every
server that runs it may be retried without end, so it is refused after two crashes.

Routers share these records, since a caller's retry may reach another router.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from boragetiller.systems import part_quarantine
from boragetiller.systems.crash_quarantine import (
    choose_containment,
    clear_crashes,
    drop_oldest_bodies,
    expire_crashes,
    merge_crash,
    record_crash,
)
from boragetiller.tables.crash_quarantine import Containment
from boragetiller.tables.failure_history import (
    FailedServers,
    FailureHistory,
    FailureKind,
    LostAttempt,
    RequestFailure,
)

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.servers import BackendServer

FINGERPRINT_BYTES = 12  # makes a collision among some thousand requests very unlikely
ERROR_TTL_MS = 15_000  # callers wait up to 12 s and retry within that time
# A crashed server is deregistered after three missed heartbeats of 1.2 s and a delivery delay.
CRASH_CONFIRM_MS = 6_000
MAX_LISTED_CRASHES = 1_024  # fits into one frame
MAX_REQUESTS = 2_048  # bounds memory; ten times the failures of a minute with many errors


@attrs.frozen
class RequestCrashRetention:
    """How long and how many requests with crashes are kept."""

    expire_ms: int = 600_000  # callers keep retrying such a request
    max_bodies: int = MAX_REQUESTS


CRASH_RETENTION = RequestCrashRetention()


def compute_fingerprint(customer: str, method: str, raw_path: str, body: bytes) -> bytes:
    """
    Compute the fingerprint of a request; a caller's retry has the same one.

    :param customer: name of the customer, empty for none
    :param method: HTTP method
    :param raw_path: path and query as received
    :param body: the complete body
    :return: a hash of FINGERPRINT_BYTES bytes
    """
    head = f"{customer}\0{method}\0{raw_path}\0".encode()
    return blake2b(head + body, digest_size=FINGERPRINT_BYTES).digest()


def record_error(history: FailureHistory, fingerprint: bytes, server: str, now_ms: int) -> None:
    """
    Record that a server answered a request with an error of its own.

    :param history: failures known to this router
    :param fingerprint: fingerprint of the request
    :param server: name of the server
    :param now_ms: monotonic time in milliseconds
    """
    failure = RequestFailure(fingerprint, server, FailureKind.ERROR)
    apply_failure(history, failure, now_ms)
    history.recent.add(failure)


def record_connection_loss(history: FailureHistory, server: str, attempt: LostAttempt) -> None:
    """
    Record that a connection broke while the server may have been running a request.

    :param history: failures known to this router
    :param server: name of the server
    :param attempt: the attempt that was lost
    """
    lost = history.lost.setdefault(server, [])
    lost[:] = [known for known in lost if attempt.lost_ms - known.lost_ms < CRASH_CONFIRM_MS]
    lost.append(attempt)


def clear_request_crashes(history: FailureHistory, fingerprint: bytes) -> None:
    """
    Clear the crashes of a request that a server has answered, since it did not cause them.

    A quarantined request keeps its crashes.

    :param history: failures known to this router
    :param fingerprint: fingerprint of the request
    """
    clear_crashes(history.crashes, fingerprint)


@attrs.frozen
class ConfirmedCrash:
    """What the crash of a server added to the failure history."""

    failures: tuple[RequestFailure, ...] = ()  # requests for which the crash is recorded now
    quarantined_parts: tuple[str, ...] = ()  # prompt parts that it put into quarantine


def confirm_crash(history: FailureHistory, server: str, now_ms: int) -> ConfirmedCrash:
    """
    Record a crash for the requests whose connections broke shortly before a server was found down.

    :param history: failures known to this router
    :param server: name of the server, which refuses connections or whose incarnation has ended
    :param now_ms: monotonic time in milliseconds
    :return: what was not recorded before
    """
    failures, quarantined = [], []
    for attempt in history.lost.pop(server, ()):
        if now_ms - attempt.lost_ms >= CRASH_CONFIRM_MS:
            continue
        if record_crash(history.crashes, attempt.fingerprint, server, attempt.sent_ms, now_ms):
            failures.append(RequestFailure(attempt.fingerprint, server, FailureKind.CRASH))
        if attempt.suspect is not None:
            quarantined += part_quarantine.record_crash(
                history.part_crashes, attempt.crash_id, [attempt.suspect], now_ms
            )
    drop_oldest_bodies(history.crashes, CRASH_RETENTION)
    for failure in failures:
        history.recent.add(failure)
    return ConfirmedCrash(tuple(failures), tuple(quarantined))


def apply_failure(history: FailureHistory, failure: RequestFailure, now_ms: int) -> None:
    """
    Add a failure that this or another router observed.

    :param history: failures known to this router
    :param failure: the failure
    :param now_ms: monotonic time in milliseconds
    """
    if failure.kind is FailureKind.CRASH:
        merge_crash(history.crashes, failure.fingerprint, failure.server, now_ms, CRASH_RETENTION)
        return
    failed = history.errors.setdefault(failure.fingerprint, FailedServers())
    failed.names.add(failure.server)
    failed.last_ms = now_ms
    history.errors.move_to_end(failure.fingerprint)
    while len(history.errors) > MAX_REQUESTS or _has_expired_error(history, now_ms):
        history.errors.popitem(last=False)


def list_crashes(history: FailureHistory) -> tuple[RequestFailure, ...]:
    """
    List the recorded crashes of requests, for a peer that may know none of them.

    :param history: failures known to this router
    :return: a failure for each request and server that it crashed, MAX_LISTED_CRASHES at most
    """
    crashes = [
        RequestFailure(fingerprint, server, FailureKind.CRASH)
        for fingerprint, servers in history.crashes.by_fingerprint.items()
        for server in servers
    ]
    return tuple(crashes[-MAX_LISTED_CRASHES:])


def exclude_failed_servers(
    servers: list[BackendServer], history: FailureHistory, fingerprint: bytes, now_ms: int
) -> list[BackendServer]:
    """
    Filter out the servers that failed a request, unless no others are left.

    :param servers: candidates
    :param history: failures known to this router
    :param fingerprint: fingerprint of the request
    :param now_ms: monotonic time in milliseconds
    :return: the other candidates, or all if each of them failed the request
    """
    failed = history.errors.get(fingerprint)
    if failed is None or now_ms - failed.last_ms >= ERROR_TTL_MS:
        return servers
    return [server for server in servers if server.name not in failed.names] or servers


def quarantine_left_ms(
    history: FailureHistory, fingerprint: bytes, prompt: Prompt | None, now_ms: int
) -> int:
    """
    Compute for how long a request is refused because it, or a part of its prompt, crashed servers.

    :param history: failures known to this router
    :param fingerprint: fingerprint of the request
    :param prompt: its prompt, None for a request to a plain service
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds until the quarantine ends, 0 if the request may run
    """
    left_ms = part_quarantine.quarantine_left_ms(history.part_crashes, prompt, now_ms)
    if is_quarantined(history, fingerprint, now_ms):
        servers = history.crashes.by_fingerprint[fingerprint].values()
        last_ms = max(server.last_ms for server in servers)
        left_ms = max(left_ms, last_ms + CRASH_RETENTION.expire_ms - now_ms)
    return left_ms


def is_quarantined(history: FailureHistory, fingerprint: bytes, now_ms: int) -> bool:
    """
    Check whether a request has crashed too many servers to be sent to another one.

    Crashes that a quarantined prompt part explains do not count: the requests that ran beside the
    cause are not to blame.

    :param history: failures known to this router
    :param fingerprint: fingerprint of the request
    :param now_ms: monotonic time in milliseconds
    :return: whether the request must be refused
    """
    if fingerprint not in history.crashes.by_fingerprint:
        return False
    expire_crashes(history.crashes, CRASH_RETENTION, now_ms)
    explained = part_quarantine.list_explained_crashes(history.part_crashes, now_ms)
    return choose_containment(history.crashes, fingerprint, explained) is Containment.QUARANTINE


def _has_expired_error(history: FailureHistory, now_ms: int) -> bool:
    if not history.errors:
        return False
    oldest = next(iter(history.errors.values()))
    return now_ms - oldest.last_ms >= ERROR_TTL_MS


__all__ = [
    "FINGERPRINT_BYTES",
    "ConfirmedCrash",
    "apply_failure",
    "clear_request_crashes",
    "compute_fingerprint",
    "confirm_crash",
    "exclude_failed_servers",
    "is_quarantined",
    "list_crashes",
    "quarantine_left_ms",
    "record_connection_loss",
    "record_error",
]
