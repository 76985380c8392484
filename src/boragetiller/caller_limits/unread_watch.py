"""Responses that a caller takes slowly: what they hold is charged, and their pauses are limited."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import TYPE_CHECKING

from boragetiller.systems.overload.caller_budget import record_progress

if TYPE_CHECKING:
    import asyncio

    from boragetiller.caller_limits.connection import BudgetedRequestHandler

PAUSED_WRITE_BYTES = 131_072  # of a response: buffers of both connections once the caller is slow
INT = struct.Struct("i")
MAX_UNREAD_S = 60.0  # without a byte; the deadline of most calls is earlier


class UnreadWatch:
    """Watches the response on one connection while its caller is slow."""

    def __init__(
        self,
        connection: BudgetedRequestHandler,
        loop: asyncio.AbstractEventLoop,
        max_unread_s: float | None,
    ) -> None:
        """
        Create the watch; it is inactive until started.

        :param connection: the connection
        :param loop: the running loop
        :param max_unread_s: seconds without a byte after which it is reset, None for no limit
        """
        self._connection = connection
        self._loop = loop
        self._max_unread_s = max_unread_s
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Charge the connection; its caller takes the response slowly."""
        connection = self._connection
        connection.use.unread_bytes = connection.count_unread()
        connection.budget.charge(connection, PAUSED_WRITE_BYTES)
        self._set_timer(self._count_unread())

    def finish(self) -> None:
        """End the charge; the caller has caught up."""
        self.cancel()
        use, budget = self._connection.use, self._connection.budget
        record_progress(use, use.unread_bytes, budget.now_ms())
        use.unread_bytes = 0
        budget.release(self._connection, PAUSED_WRITE_BYTES)

    def cancel(self) -> None:
        """Stop watching a connection that is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, unread_bytes: int | None) -> None:
        if self._max_unread_s is not None and unread_bytes is not None:
            self._timer = self._loop.call_later(self._max_unread_s, self._check, unread_bytes)

    def _count_unread(self) -> int | None:
        """
        Count the bytes that the caller has not taken, with those that the kernel keeps for it.

        The transport learns of progress only once a third of the kernel's buffer is free, which
        may be a megabyte.

        :return: bytes, None if the kernel does not tell
        """
        transport = self._connection.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return 0
        try:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT.size))
        except OSError:
            return None
        queued_bytes: int = INT.unpack(queued)[0]
        return self._connection.count_unread() + queued_bytes

    def _check(self, before_bytes: int) -> None:
        connection, self._timer = self._connection, None
        unread_bytes = self._count_unread()
        if unread_bytes != before_bytes or connection.transport is None:
            self._set_timer(unread_bytes)
            return
        connection.budget.record_limit("unread_timeout")
        connection.transport.abort()


__all__ = ["MAX_UNREAD_S", "UnreadWatch"]
