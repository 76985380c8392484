"""The budget of a process: bytes held for callers, and their connections."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from typing import TYPE_CHECKING, Protocol

from boragetiller.caller_limits.limit_log import LimitLog
from boragetiller.errors import CallerBudgetExhausted
from boragetiller.systems.overload.caller_budget import (
    ORDINARY_BYTES,
    choose_holder_to_end,
    has_room,
    record_progress,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.tables.caller_budget import BudgetLimits, ConnectionUse

POLL_S = 0.05  # between two attempts to get room
FLUSH_INTERVAL_S = 1.0


class Holder(Protocol):
    """A connection that holds bytes."""

    use: ConnectionUse
    budget: CallerBudget

    def end_for_room(self) -> None:
        """End its request to make room."""

    def count_unread(self) -> int:
        """:return: bytes of the response that the caller has not taken"""


current_connection: ContextVar[Holder | None] = ContextVar("current_connection", default=None)


class CallerBudget:
    """Grants room for bodies and responses, and ends connections when there is none."""

    def __init__(
        self, limits: BudgetLimits, now_ms: Callable[[], int], count: Callable[[str], None]
    ) -> None:
        """
        Create a budget of which nothing is used.

        :param limits: limits of the process
        :param now_ms: returns monotonic time in milliseconds
        :param count: called with the name of a limit each time that a caller meets it
        """
        self.limits = limits
        self.now_ms = now_ms
        self.log = LimitLog(now_ms, count)
        self.holders: dict[ConnectionUse, Holder] = {}
        self.held_bytes = 0
        self.connections = 0
        self._large_bytes = 0
        self._searched_ms = 0
        self._waiting = 0
        self._flush_timer: asyncio.TimerHandle | None = None

    def record_limit(self, cause: str) -> None:
        """
        Count that a caller met a limit, and log it with the others of the same second.

        :param cause: name of the limit
        """
        self.log.record(cause)
        if self._flush_timer is None:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        if self.log.flush():
            self._schedule_flush()

    async def reserve(self, holder: Holder, size: int, wait_s: float | None) -> None:
        """
        Wait until a connection may hold more; end others that hold most without progress.

        :param holder: the connection
        :param size: bytes that it needs in addition
        :param wait_s: longest wait; None for a response, which waits until its call is cancelled
        :raises CallerBudgetExhausted: there was no room in that time, too many wait already, or the
            connection was ended
        """
        use = holder.use
        if self._try_reserve(holder, size):
            return
        if wait_s is not None and self._waiting >= self.limits.waiting:
            self.record_limit("memory_waiting_requests")
            raise CallerBudgetExhausted
        self.record_limit("memory_wait")
        ends_s = None if wait_s is None else asyncio.get_running_loop().time() + wait_s
        use.is_waiting = True
        self._waiting += 1
        try:
            while not self._try_reserve(holder, size):
                self._make_room(is_ordinary=use.held_bytes + size <= ORDINARY_BYTES)
                if self._try_reserve(holder, size):
                    return
                is_late = ends_s is not None and asyncio.get_running_loop().time() >= ends_s
                if is_late or (use.is_ended and ends_s is not None):
                    raise CallerBudgetExhausted
                await asyncio.sleep(POLL_S)
        finally:
            use.is_waiting = False
            self._waiting -= 1
            record_progress(use, 0, self.now_ms())

    def charge(self, holder: Holder, size: int) -> None:
        """
        Count bytes that a connection already holds, and make room for them if there is none.

        :param holder: the connection
        :param size: bytes that it holds in addition
        """
        self._add(holder, size)
        if self.held_bytes > self.limits.held_bytes:
            self._make_room(is_ordinary=True)

    def release(self, holder: Holder, size: int | None = None) -> None:
        """
        Return what a connection no longer holds.

        :param holder: the connection
        :param size: bytes to return, None for all
        """
        use = holder.use
        if use.held_bytes:
            self._add(holder, -(use.held_bytes if size is None else min(size, use.held_bytes)))
        if not use.held_bytes:
            self.holders.pop(use, None)

    @property
    def is_short(self) -> bool:
        """:return: whether an ordinary request finds no room"""
        return self.held_bytes + ORDINARY_BYTES > self.limits.held_bytes

    def _try_reserve(self, holder: Holder, size: int) -> bool:
        use = holder.use
        if use.is_ended:
            return False
        if not has_room(self.limits, self.held_bytes, self._large_bytes, use, size):
            return False
        self._add(holder, size)
        return True

    def _add(self, holder: Holder, size: int) -> None:
        use = holder.use
        if not use.held_bytes:
            use.held_since_ms = use.progress_ms = self.now_ms()
            self.holders[use] = holder
        self._large_bytes -= use.held_bytes if use.held_bytes > ORDINARY_BYTES else 0
        use.held_bytes += size
        self._large_bytes += use.held_bytes if use.held_bytes > ORDINARY_BYTES else 0
        self.held_bytes += size

    def _make_room(self, *, is_ordinary: bool) -> None:
        """End one connection; search at most once in an interval, whoever needs the room."""
        now_ms = self.now_ms()
        if not is_ordinary and now_ms - self._searched_ms < POLL_S * 1_000:
            return
        self._searched_ms = now_ms
        for use, holder in self.holders.items():
            unread = holder.count_unread()
            if unread < use.unread_bytes:
                record_progress(use, use.unread_bytes - unread, now_ms)
            use.unread_bytes = unread
        chosen = choose_holder_to_end(self.holders, now_ms, for_ordinary=is_ordinary)
        if chosen is None:
            return
        chosen.is_ended = True
        self.record_limit("memory_unread" if chosen.unread_bytes else "memory_body")
        holder = self.holders[chosen]
        self.release(holder)
        holder.end_for_room()


__all__ = ["CallerBudget", "Holder", "current_connection"]
