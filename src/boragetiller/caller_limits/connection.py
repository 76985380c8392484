"""A connection of a caller, which reads no more than its limits and the budget allow."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestHandler

from boragetiller.caller_limits.budget import current_connection
from boragetiller.caller_limits.listening import bound_receive_buffer
from boragetiller.caller_limits.unread_watch import UnreadWatch
from boragetiller.errors import CallerBudgetExhausted, RequestTooLarge
from boragetiller.systems.overload.caller_budget import (
    HEAD_SLACK_BYTES,
    exceeds_chunk_overhead,
    record_progress,
)
from boragetiller.tables.caller_budget import ConnectionPhase, ConnectionUse

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader, web

    from boragetiller.caller_limits.budget import CallerBudget
    from boragetiller.caller_limits.server import BudgetedServer

MS_PER_S = 1_000
IDLE_MARGIN_MS = 500.0  # for a request that was sent just before the timeout
CLOSE_DELAY_S = 0.3  # for the caller to read its refusal; a close with unread input resets
READ_BUFFER_BYTES = 16_384  # aiohttp keeps up to twice as much of a body before it stops reading
MAX_PAUSE_S = 3.5  # longer than a body waits for room
MAX_QUEUED_REQUESTS = 4  # that a caller sent before the response to an earlier one
HEADER_LINE_BYTES = 384  # objects of a parsed line; 345 were measured
FREE_HEADER_LINES = 128  # of a request that arrives in full, not charged


class BudgetedRequestHandler(RequestHandler):
    """Counts what it receives, and refuses or ends what exceeds a limit."""

    __slots__ = (
        "_body_raw_bytes",
        "_budget_paused",
        "_head_bytes",
        "_head_timer",
        "_payload",
        "_refused",
        "_server",
        "_unread",
        "budget",
        "use",
    )

    def set_limits(self, server: BudgetedServer, budget: CallerBudget) -> None:
        """
        Set the limits; must be called once before the connection is made.

        :param server: has the limits in force and the other connections
        :param budget: budget of the process
        """
        self._server = server
        self.budget = budget
        self.use = ConnectionUse(address="", phase_since_ms=budget.now_ms())
        self._unread = UnreadWatch(self, self._loop, server.max_unread_s)
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = self._body_raw_bytes = 0
        self._payload: StreamReader | None = None  # of the newest request
        self._refused = False
        self._budget_paused = False
        self._max_msg_queue_size, self._msg_queue_resume_size = MAX_QUEUED_REQUESTS, 1
        self._keepalive_timeout = self._get_idle_timeout_s()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`RequestHandler`."""
        super().connection_made(transport)
        self.use.address = str((transport.get_extra_info("peername") or ("",))[0])
        bound_receive_buffer(transport.get_extra_info("socket"), self.budget.connections)
        cause = self._server.admit(self)
        if cause is not None:
            self._refuse(503, cause)
            self.force_close()  # nothing was read that could be lost with the refusal

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :class:`RequestHandler`."""
        self._stop_timer()
        self._unread.cancel()
        self.use.is_ended = True
        self._server.remove(self)
        self.budget.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See :class:`RequestHandler`."""
        self._keepalive_timeout = self._get_idle_timeout_s()
        limit = self._server.limits.max_header_bytes + HEAD_SLACK_BYTES
        # Parsed lines take many times their bytes, so the parser gets no more than the limit.
        while not self._refused and not self.use.is_ended:
            room = limit - self._head_bytes
            if len(data) <= room or not self._is_in_head():
                self._parse(data)
                return
            self._parse(data[:room])
            data = data[room:]
            if self._head_bytes >= limit:
                self._refuse(431, "head_bytes")

    def _is_in_head(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def _parse(self, data: bytes) -> None:
        in_head = self._is_in_head()
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests:
            self._start_request(len(data))
        elif in_head:
            self._count_head(data)
        else:
            self._count_body(len(data))
        if self._waiter is None or self._waiter.done():
            self._stop_timer()  # the head is complete
        elif data and self._head_timer is None and not self._refused:
            timeout_s = self._server.limits.header_timeout_ms / MS_PER_S
            self._head_timer = self._loop.call_later(timeout_s, self._reject_slow_head)

    def start_body(self) -> None:
        """Read the body of the request; the budget has room for it."""
        if self._budget_paused:
            self._budget_paused = False
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def finish_body(self) -> None:
        """Record that the request has arrived in full."""
        self._set_phase(ConnectionPhase.SERVED)

    def close_without_reading(self) -> None:
        """Close the connection after the response; what the caller still sends is not read."""
        self._refused = True
        self._lingering_time = 0.0
        self._pause_transport_reading()
        if self._payload is not None:
            with suppress(Exception):  # an error that is set for the reader of the body
                self._payload.read_nowait()

    def end_for_room(self) -> None:
        """See :class:`Holder`."""
        if self.use.phase is ConnectionPhase.BODY and self._payload is not None:
            self._pause_transport_reading()
            self._payload.set_exception(CallerBudgetExhausted())
        elif self.transport is not None:
            if self.use.phase is ConnectionPhase.HEAD:
                self._parser = None  # frees the lines that it has parsed
            self.transport.abort()

    def end_for_connections(self, cause: str) -> None:
        """
        Close an idle or unfinished connection in favor of another one.

        :param cause: name of the limit
        """
        self.use.is_ended = True
        self.budget.record_limit(cause)
        if self.transport is not None:
            self.transport.abort()

    def count_unread(self) -> int:
        """See :class:`Holder`."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        """See :class:`asyncio.Protocol`: the caller takes its response slowly."""
        super().pause_writing()
        self._unread.start()

    def resume_writing(self) -> None:
        """See :class:`asyncio.Protocol`."""
        super().resume_writing()
        self._unread.finish()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        current_connection.set(self)  # the task is that of this request only
        is_complete = request.content.is_eof()
        self._set_phase(ConnectionPhase.SERVED if is_complete else ConnectionPhase.BODY)
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self.use.urgency = None
            self.budget.release(self)
            self.start_body()  # what is left of the body is read and dropped
            self._set_phase(ConnectionPhase.IDLE)

    def _resume_transport_reading(self) -> None:
        if not self._budget_paused and not self._refused:
            super()._resume_transport_reading()

    def _get_idle_timeout_s(self) -> float:
        return (self._server.limits.idle_timeout_ms + IDLE_MARGIN_MS) / MS_PER_S

    def _set_phase(self, phase: ConnectionPhase) -> None:
        if self.use.phase is not phase:
            self.use.phase = phase
            self.use.phase_since_ms = self.budget.now_ms()
            self._server.update(self)

    def _start_request(self, size: int) -> None:
        message, self._payload = self._messages[-1]
        self._head_bytes = self._body_raw_bytes = 0
        if self._current_request is None:
            self.budget.release(self)
        else:
            self.budget.charge(self, size)  # until the response before it has been sent
        lines = len(getattr(message, "raw_headers", ()))
        if lines > FREE_HEADER_LINES:
            self.budget.charge(self, lines * HEADER_LINE_BYTES)
        if self._payload is None or self._payload.is_eof():
            return
        if self._current_request is None:
            self._set_phase(ConnectionPhase.BODY)
            record_progress(self.use, 0, self.budget.now_ms())
        if self.budget.is_short:
            self._budget_paused = True  # until its body gets room
            self._pause_transport_reading()
            self._loop.call_later(MAX_PAUSE_S, self.start_body)  # for handlers that reserve nothing

    def _count_head(self, data: bytes) -> None:
        if not data:
            return
        self._head_bytes += len(data)
        if self._current_request is None and not self._messages:
            self._set_phase(ConnectionPhase.HEAD)
            self.budget.charge(self, data.count(b"\n") * HEADER_LINE_BYTES)

    def _count_body(self, size: int) -> None:
        assert self._payload is not None
        self._body_raw_bytes += size
        record_progress(self.use, size, self.budget.now_ms())
        if self._reading_paused:
            return  # a part of what was received is not parsed yet
        useful = max(self._payload.total_bytes, self._payload.total_raw_bytes)
        is_dropped = self._current_request is None and not self._messages  # after the response
        if exceeds_chunk_overhead(self._body_raw_bytes, useful):
            self._end_body("chunk_overhead")
        elif is_dropped and self._body_raw_bytes > 2 * self._server.limits.max_body_bytes:
            self._end_body("dropped_body")

    def _end_body(self, cause: str) -> None:
        self.budget.record_limit(cause)
        self._pause_transport_reading()
        self._refused = True
        if self._current_request is None:
            if self.transport is not None:
                self.transport.abort()
        elif self._payload is not None:
            self._payload.set_exception(RequestTooLarge())

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self) -> None:
        self._head_timer = None
        self._refuse(408, "head_timeout")

    def _refuse(self, status: int, cause: str) -> None:
        """Answer a request whose head has not arrived, and close the connection."""
        self._stop_timer()
        self._refused = True
        self._server.count_refusal(cause)
        self.budget.record_limit(cause)
        self._pause_transport_reading()
        if self.transport is None:
            return
        if self._current_request is not None or self._messages:
            self.close()  # after the responses to the requests before it
            return
        self._parser = None  # frees the lines that it has parsed
        self.budget.release(self)
        reason = HTTPStatus(status).phrase
        head = f"HTTP/1.1 {status} {reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(head.encode())
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._loop.call_later(CLOSE_DELAY_S, self.force_close)


__all__ = ["CLOSE_DELAY_S", "BudgetedRequestHandler"]
