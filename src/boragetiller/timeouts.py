"""Waiting with a time limit."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")

POLL_INTERVAL_MS = 10


async def wait_with_timeout(timeout_s: float, awaitable: Awaitable[T]) -> T:
    """
    Wait for a result; unlike :func:`asyncio.wait_for` on Python 3.11, never lose a cancellation.

    :param timeout_s: time limit in seconds
    :param awaitable: what to wait for; it is cancelled when the time limit expires
    :return: its result
    :raises TimeoutError: the time limit expired
    """
    async with asyncio.timeout(timeout_s):
        return await awaitable


async def wait_until_idle(in_progress: Callable[[], int], timeout_ms: int) -> bool:
    """
    Wait until nothing is in progress.

    :param in_progress: returns the number of unfinished requests or tasks
    :param timeout_ms: time limit in milliseconds
    :return: True if nothing is in progress, False if the time limit expired
    """
    return await wait_until(lambda: in_progress() == 0, timeout_ms)


async def wait_until(condition: Callable[[], bool], timeout_ms: int) -> bool:
    """
    Wait until a condition holds.

    :param condition: polled until it returns True
    :param timeout_ms: time limit in milliseconds
    :return: True if the condition holds, False if the time limit expired
    """
    polls = max(1, timeout_ms // POLL_INTERVAL_MS)
    for _ in range(polls):
        if condition():
            return True
        await asyncio.sleep(POLL_INTERVAL_MS / 1_000)
    return condition()


__all__ = ["wait_until", "wait_until_idle", "wait_with_timeout"]
