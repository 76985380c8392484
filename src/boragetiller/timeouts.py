"""Wait for something for a limited time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Awaitable

T = TypeVar("T")


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


__all__ = ["within"]
