"""Clocks that return milliseconds: monotonic, boot time, wall-clock and manually advanced."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def now_ms(self) -> int:
        """:return: time in milliseconds"""
        ...


class SystemClock:
    """Monotonic time of this host."""

    def now_ms(self) -> int:
        """:return: monotonic time in milliseconds"""
        return time.monotonic_ns() // 1_000_000


class BoottimeClock:
    """Monotonic time of this host that includes the time in which the host was suspended."""

    def now_ms(self) -> int:
        """:return: time in milliseconds"""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class WallClock:
    """Wall-clock time, for ages that are computed from timestamps of other hosts."""

    def now_ms(self) -> int:
        """:return: time since the epoch in milliseconds"""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that changes only through :meth:`advance`."""

    def __init__(self, start_ms: int = 0) -> None:
        """:param start_ms: initial time in milliseconds"""
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """:return: time in milliseconds"""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """
        Move the clock forward.

        :param step_ms: increment in milliseconds
        """
        self._now_ms += step_ms


def new_incarnation() -> int:
    """:return: incarnation number of a process start: wall-clock time in µs"""
    return time.time_ns() // 1_000


__all__ = ["BoottimeClock", "Clock", "ManualClock", "SystemClock", "WallClock", "new_incarnation"]
