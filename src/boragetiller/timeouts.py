"""Wait for something for a limited time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")

IDLE_CHECK_MS = 10


async def within(timeout_s: float, work: Awaitable[T]) -> T:
    """
    Wait for a result; unlike asyncio's wait_for, a cancellation is never lost.

    :param timeout_s: longest wait in seconds
    :param work: what to wait for; it is cancelled when the time is over
    :return: its result
    :raises TimeoutError: the time was over
    """
    async with asyncio.timeout(timeout_s):
        return await work


async def wait_until_idle(in_progress: Callable[[], int], timeout_ms: int) -> bool:
    """
    Wait until nothing is in progress.

    :param in_progress: counts what has not ended
    :param timeout_ms: longest wait in milliseconds
    :return: whether nothing was left
    """
    rounds = max(1, timeout_ms // IDLE_CHECK_MS)
    for _ in range(rounds):
        if in_progress() == 0:
            return True
        await asyncio.sleep(IDLE_CHECK_MS / 1_000)
    return in_progress() == 0


__all__ = ["wait_until_idle", "within"]
