"""An HTTP server whose connections share the budget of the process."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.caller_limits.connection import (
    CLOSE_DELAY_S,
    READ_BUFFER_BYTES,
    BudgetedRequestHandler,
)
from boragetiller.caller_limits.unread_watch import MAX_UNREAD_S
from boragetiller.systems.overload.caller_budget import choose_connection_to_close

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_protocol import RequestHandler

    from boragetiller.caller_limits.budget import CallerBudget
    from boragetiller.tables.caller_budget import ConnectionUse
    from boragetiller.tables.routes import CallerLimits

MAX_HEADER_LINES = 4_096  # as many as fit into 16 KiB; aiohttp has 128
MAX_HANDSHAKES = 64  # unfinished ones, above which descriptors are counted
HANDSHAKE_TTL_MS = 6_000  # after their time limit; failed ones are counted until then
DESCRIPTORS_PATH = "/proc/self/fd"
INTERNAL_PORT_CONNECTIONS = 32  # of a port for probes and operators


class BudgetedServer(web.Server):
    """Accepts connections while there is room, in place of idle or unfinished ones if need be."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        budget: CallerBudget,
        get_limits: Callable[[], CallerLimits],
        count_refusal: Callable[[str], None],
        *,
        max_connections: int | None = None,
        max_unread_s: float | None = MAX_UNREAD_S,
        **options: object,
    ) -> None:
        """
        Create the server.

        :param handler: handles requests
        :param budget: budget of the process
        :param get_limits: returns the limits in force
        :param count_refusal: called with a code for each request that is refused before a handler
        :param max_connections: limit of this port, None for that of the budget
        :param max_unread_s: seconds without a byte after which a response that is not taken is cut
            off, None for no limit
        :param options: see :class:`web.Server`
        """
        options.setdefault("read_bufsize", READ_BUFFER_BYTES)
        options.setdefault("max_headers", MAX_HEADER_LINES)
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._budget = budget
        self._get_limits = get_limits
        self.count_refusal = count_refusal
        self._max_connections = max_connections
        self.max_unread_s = max_unread_s
        self._uses: dict[ConnectionUse, BudgetedRequestHandler] = {}
        self._addresses: Counter[str] = Counter()
        self._unfinished: set[ConnectionUse] = set()
        self._handshakes: dict[ConnectionUse, None] = {}  # oldest first

    def __call__(self) -> RequestHandler:
        """See :class:`web.Server`."""
        connection = BudgetedRequestHandler(self, loop=self._loop, **self._kwargs)
        connection.set_limits(self, self._budget)
        self._count_handshake(connection.use)
        return connection

    def _count_handshake(self, use: ConnectionUse) -> None:
        """
        Count a connection that may begin with a TLS handshake; asyncio reports no failed ones.

        :raises ConnectionAbortedError: too many are unfinished, and the process has few descriptors
        """
        now_ms = self._budget.now_ms()
        while self._handshakes:
            oldest = next(iter(self._handshakes))
            if now_ms - oldest.phase_since_ms < HANDSHAKE_TTL_MS:
                break
            del self._handshakes[oldest]
        are_many = len(self._handshakes) >= MAX_HANDSHAKES
        if are_many and len(os.listdir(DESCRIPTORS_PATH)) >= self._budget.limits.descriptors:
            self._budget.record_limit("handshakes")
            raise ConnectionAbortedError
        self._handshakes[use] = None

    @property
    def limits(self) -> CallerLimits:
        """:return: the limits in force"""
        return self._get_limits()

    def admit(self, connection: BudgetedRequestHandler) -> str | None:
        """
        Count a new connection, and close another one if there are too many.

        :param connection: the new connection
        :return: the limit that refuses it, None if it is accepted
        """
        self._handshakes.pop(connection.use, None)
        limits, address = self._budget.limits, connection.use.address
        cause = None
        if len(self._uses) >= (self._max_connections or limits.connections):
            cause = self._close_one("connections")
        elif self._addresses[address] >= limits.connections_per_address:
            cause = self._close_one("address_connections", address=address)
        self._uses[connection.use] = connection
        self._addresses[address] += 1
        self._budget.connections += 1
        return cause

    def remove(self, connection: BudgetedRequestHandler) -> None:
        """
        Forget a connection that has ended.

        :param connection: the connection
        """
        self._unfinished.discard(connection.use)
        if self._uses.pop(connection.use, None) is None:
            return
        self._budget.connections -= 1
        self._addresses[connection.use.address] -= 1
        if not self._addresses[connection.use.address]:
            del self._addresses[connection.use.address]

    def update(self, connection: BudgetedRequestHandler) -> None:
        """
        Count whether a request has arrived in full, and close an older one if too many have not.

        :param connection: the connection whose phase has changed
        """
        if not connection.use.is_unfinished:
            self._unfinished.discard(connection.use)
            return
        self._unfinished.add(connection.use)
        if len(self._unfinished) > self._budget.limits.unfinished:
            self._close_one("unfinished", unfinished_only=True)

    def _close_one(
        self, cause: str, *, unfinished_only: bool = False, address: str | None = None
    ) -> str | None:
        uses = self._unfinished if unfinished_only else self._uses
        use = choose_connection_to_close(uses, unfinished_only=unfinished_only, address=address)
        if use is None:
            return cause
        connection = self._uses[use]
        connection.end_for_connections(cause)
        self.remove(connection)
        return None


async def refuse_without_reading(
    request: web.BaseRequest, response: web.StreamResponse
) -> web.StreamResponse:
    """
    Send a refusal and close the connection without reading the rest of the request.

    :param request: the request
    :param response: its response
    :return: the response
    """
    connection: BudgetedRequestHandler = request.protocol  # type: ignore[assignment]
    connection.close_without_reading()
    response.force_close()
    response.headers["Connection"] = "close"
    await response.prepare(request)
    await response.write_eof()
    await asyncio.sleep(CLOSE_DELAY_S)
    return response


__all__ = ["INTERNAL_PORT_CONNECTIONS", "BudgetedServer", "refuse_without_reading"]
