"""What both roles share around start and stop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import attrs

from boragetiller.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.settings import Settings

IDLE_CHECK_MS = 10


@attrs.frozen(kw_only=True)
class Endpoints:
    """Where a started process listens; printed as one JSON line when it is ready."""

    role: str
    name: str
    data_port: int
    operator_port: int
    control_port: int


def new_incarnation() -> int:
    """:return: a number that differs for each start of a process, from the wall clock in µs"""
    return time.time_ns() // 1_000


def new_metrics(settings: Settings) -> Metrics:
    """
    Build the counters of a process.

    :param settings: statsd address, if any
    :return: the counters
    """
    if settings.statsd is None:
        return Metrics()
    prefix = f"boragetiller.{settings.role.value}.{settings.name}"
    return Metrics(settings.statsd.address, settings.statsd.port, prefix)


async def drain(in_progress: Callable[[], int], settings: Settings) -> bool:
    """
    Wait until nothing is in progress and callers had time to drop their idle connections.

    :param in_progress: counts what has not ended
    :param settings: longest wait, and the time for idle connections
    :return: whether nothing was left
    """
    idle = await _wait_until_idle(in_progress, settings.drain_timeout_ms)
    await asyncio.sleep(settings.drain_grace_ms / 1_000)
    return await _wait_until_idle(in_progress, settings.drain_timeout_ms) and idle


async def _wait_until_idle(in_progress: Callable[[], int], timeout_ms: int) -> bool:
    rounds = max(1, timeout_ms // IDLE_CHECK_MS)
    for _ in range(rounds):
        if in_progress() == 0:
            return True
        await asyncio.sleep(IDLE_CHECK_MS / 1_000)
    return in_progress() == 0


__all__ = ["Endpoints", "drain", "new_incarnation", "new_metrics"]
