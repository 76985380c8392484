"""Decide what callers may hold, and whose connection ends first when there is no room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.caller_budget import BudgetLimits, ConnectionPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.caller_budget import ConnectionUse

MB = 1_048_576
BASE_MEMORY_BYTES = 80 * MB  # a router of the platform has 47 MB at start, more in large fleets
MIN_HELD_BYTES = 16 * MB  # four bodies of the largest size, on hosts of any size
# A held byte exists twice for a moment: when a body is put together and while it is sent on.
COPIES = 2
LARGE_SHARE = 0.75  # of the budget; the rest is always left for ordinary requests
ORDINARY_BYTES = 327_680  # a body of 256 KiB and what is received ahead; ordinary ones have 100 KB
CONNECTION_MEMORY_SHARE = 0.125
CONNECTION_BYTES = 24_576  # a kept-alive connection takes 13 to 17 KB, a partial head the rest
WAITING_MEMORY_SHARE = 0.0625
WAITING_BYTES = 131_072  # kept by the kernel for a connection that is not read
FILE_DESCRIPTORS = 200  # reserved for files
CALLER_DESCRIPTOR_SHARE = 0.75  # the rest is for servers, the store, peers and other ports
DESCRIPTOR_SHARE = 0.9  # above which no further TLS handshake begins
MIN_CONNECTIONS = 16
ADDRESS_SHARE = 0.9  # of the connections; a load balancer may be the only address
UNFINISHED_SHARE = 0.75  # of the connections
STALL_MS = 1_000  # without a byte; a caller that sends a body sends all the time
RECENT_MS = 2_000
CHUNK_SLACK_BYTES = 4_096
HEAD_SLACK_BYTES = 1_024  # request line and empty lines, which the limit of a head leaves out


def derive_limits(memory_bytes: int, max_descriptors: int) -> BudgetLimits:
    """
    Derive the limits of a process from what its host gives it.

    :param memory_bytes: memory of the process
    :param max_descriptors: descriptors that it may have open
    :return: the limits
    """
    for_connections = int(memory_bytes * CONNECTION_MEMORY_SHARE)
    spare = memory_bytes - BASE_MEMORY_BYTES - for_connections
    held = max(MIN_HELD_BYTES, spare // COPIES)
    by_descriptors = int((max_descriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE)
    connections = max(MIN_CONNECTIONS, min(by_descriptors, for_connections // CONNECTION_BYTES))
    return BudgetLimits(
        held_bytes=held,
        large_held_bytes=int(held * LARGE_SHARE),
        connections=connections,
        connections_per_address=int(connections * ADDRESS_SHARE),
        unfinished=int(connections * UNFINISHED_SHARE),
        descriptors=int(max_descriptors * DESCRIPTOR_SHARE),
        waiting=int(memory_bytes * WAITING_MEMORY_SHARE) // WAITING_BYTES,
    )


def has_room(
    limits: BudgetLimits, held: int, held_large: int, use: ConnectionUse, size: int
) -> bool:
    """
    Check whether a connection may hold more.

    One large body or response is always allowed while no other one is held, so that a single
    request within the limits is served on the smallest host.

    :param limits: limits of the process
    :param held: bytes held by all connections
    :param held_large: bytes held by connections that hold more than ORDINARY_BYTES
    :param use: the connection
    :param size: bytes that it needs in addition
    :return: whether there is room
    """
    if use.held_bytes + size <= ORDINARY_BYTES:
        return held + size <= limits.held_bytes
    own_large = use.held_bytes if use.held_bytes > ORDINARY_BYTES else 0
    others_large = held_large - own_large
    if others_large == 0:
        return True
    wanted_large = others_large + use.held_bytes + size
    return wanted_large <= limits.large_held_bytes and held + size <= limits.held_bytes


def choose_holder_to_end(
    uses: Iterable[ConnectionUse], now_ms: int, *, for_ordinary: bool
) -> ConnectionUse | None:
    """
    Choose the connection to end when the memory runs short.

    Candidates hold bytes for a body that has not arrived or a response that is not taken. The
    least urgent ends first; a request that is not admitted yet is the least urgent of all. Then
    the one that holds most for longest with the least progress ends.

    :param uses: all connections
    :param now_ms: monotonic time in milliseconds
    :param for_ordinary: whether an ordinary request needs the room; then callers that are not
        stalled may be ended too, if they hold more than an ordinary request does
    :return: the connection, None if none may be ended
    """
    candidates = [use for use in uses if _may_end(use, now_ms, for_ordinary)]
    return max(candidates, key=lambda use: _rank(use, now_ms), default=None)


def _may_end(use: ConnectionUse, now_ms: int, for_ordinary: bool) -> bool:
    if use.is_ended or not use.held_bytes:
        return False
    if use.phase is ConnectionPhase.HEAD:
        return True  # a head arrives at once
    if use.phase is not ConnectionPhase.BODY and not use.unread_bytes:
        return False
    if now_ms - use.progress_ms >= STALL_MS and not use.is_waiting:
        return True
    return for_ordinary and use.held_bytes >= ORDINARY_BYTES


def _rank(use: ConnectionUse, now_ms: int) -> tuple[bool, int, float]:
    held_ms = max(1, now_ms - use.held_since_ms)
    return use.urgency is None, use.urgency or 0, use.held_bytes * held_ms / (use.recent_bytes + 1)


def choose_connection_to_close(
    uses: Iterable[ConnectionUse], *, unfinished_only: bool = False, address: str | None = None
) -> ConnectionUse | None:
    """
    Choose the connection to close when there are too many.

    :param uses: all connections, without the newest
    :param unfinished_only: choose only from those whose request has not arrived in full
    :param address: choose only from those of this address
    :return: the one that waits for its head for longest, then for its body, then the one that has
        sent nothing, then the one idle for longest; None if all serve a request
    """
    order = (ConnectionPhase.HEAD, ConnectionPhase.BODY, ConnectionPhase.NEW, ConnectionPhase.IDLE)
    candidates = [
        use
        for use in uses
        if use.phase in order
        and not use.is_ended
        and (use.is_unfinished or not unfinished_only)
        and address in (None, use.address)
    ]
    return min(
        candidates, key=lambda use: (order.index(use.phase), use.phase_since_ms), default=None
    )


def record_progress(use: ConnectionUse, size: int, now_ms: int) -> None:
    """
    Record bytes that a caller sent or took.

    :param use: its connection
    :param size: number of bytes
    :param now_ms: monotonic time in milliseconds
    """
    if now_ms - use.recent_since_ms >= RECENT_MS:
        use.recent_bytes, use.recent_since_ms = 0, now_ms
    use.recent_bytes += size
    use.progress_ms = now_ms


def exceeds_chunk_overhead(raw_bytes: int, useful_bytes: int) -> bool:
    """
    Check whether a body in chunks has more overhead than content.

    The overhead of a chunk of ten bytes is half of its content. Each chunk costs time, however
    small it is.

    :param raw_bytes: bytes received
    :param useful_bytes: bytes of the body in them
    :return: whether the caller is to be refused
    """
    return raw_bytes - useful_bytes > useful_bytes + CHUNK_SLACK_BYTES


__all__ = [
    "HEAD_SLACK_BYTES",
    "ORDINARY_BYTES",
    "choose_connection_to_close",
    "choose_holder_to_end",
    "derive_limits",
    "exceeds_chunk_overhead",
    "has_room",
    "record_progress",
]
