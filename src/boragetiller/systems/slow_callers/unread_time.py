"""
Decide whether a server cut off a response because the caller had not read it.

While a caller does not read, or the router has no room, it does not read from the server either.
A server ends a response that stays unread for some seconds, which says nothing about the server.
"""

from __future__ import annotations

import attrs

MIN_UNREAD_MS = 1_000  # servers wait for longer before they cut off a response
CAUGHT_UP_MS = 500  # what a server sent earlier has arrived once the router waited for so long


@attrs.define
class UnreadTime:
    """How long the router has kept a response waiting since it last caught up with the server."""

    unread_ms: int = 0  # the router waited for the caller
    waited_ms: int = 0  # the router waited for the server, beyond what it waited for the caller
    is_blocked: bool = False  # the router waits for the caller now
    waits_for_room: bool = False  # in its own memory, instead of for the caller


def record_server_wait(unread: UnreadTime, wait_ms: int) -> None:
    """
    Record that the router waited for the next part of a response.

    :param unread: of the response
    :param wait_ms: milliseconds until the part arrived
    """
    unread.waited_ms += wait_ms
    if unread.waited_ms >= CAUGHT_UP_MS:
        unread.unread_ms = unread.waited_ms = 0


def record_caller_wait(unread: UnreadTime, wait_ms: int) -> None:
    """
    Record that the router waited for the caller to take a part of the response.

    Waits for the server before a pause do not show that the router has caught up since.

    :param unread: of the response
    :param wait_ms: milliseconds until the caller had taken it
    """
    unread.unread_ms += wait_ms
    unread.waited_ms = max(0, unread.waited_ms - wait_ms)


def is_left_unread(unread: UnreadTime) -> bool:
    """
    Check whether the end of an attempt may follow from the caller's pause.

    :param unread: of the response, with the wait for the server that ended last
    :return: whether the router waits for the caller, or kept the response unread for so long that
        a server may have cut it off
    """
    return unread.is_blocked or unread.unread_ms >= MIN_UNREAD_MS


__all__ = [
    "CAUGHT_UP_MS",
    "MIN_UNREAD_MS",
    "UnreadTime",
    "is_left_unread",
    "record_caller_wait",
    "record_server_wait",
]
