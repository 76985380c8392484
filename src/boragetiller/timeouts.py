"""Wait for something for a limited time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

T = TypeVar("T")

CHECK_MS = 10


async def wait_with_timeout(timeout_s: float, work: Awaitable[T]) -> T:
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
    return await wait_until(lambda: in_progress() == 0, timeout_ms)


async def wait_until(holds: Callable[[], bool], timeout_ms: int) -> bool:
    """
    Wait until a condition holds.

    :param holds: the condition
    :param timeout_ms: longest wait in milliseconds
    :return: whether it holds
    """
    rounds = max(1, timeout_ms // CHECK_MS)
    for _ in range(rounds):
        if holds():
            return True
        await asyncio.sleep(CHECK_MS / 1_000)
    return holds()


__all__ = ["wait_until", "wait_until_idle", "wait_with_timeout"]
