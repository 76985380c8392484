"""Idle timeout and request header timeout on the connections of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from boragetiller.tables.routes import CallerLimits

MS_PER_S = 1_000
DEFAULT_IDLE_TIMEOUT_MS = 75_000.0  # until a configuration is in force
DEFAULT_HEAD_TIMEOUT_MS = 10_000.0
IDLE_MARGIN_MS = 500.0  # for a request that was sent just before the timeout
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerRequestHandler(RequestHandler):
    """A connection of a caller; rejects a request whose header takes too long with a 408."""

    __slots__ = ("_count_refusal", "_head_timer", "_limits")

    def set_limits(
        self, limits: Callable[[], CallerLimits | None], count_refusal: Callable[[str], None]
    ) -> None:
        """
        Set the limits; must be called once before the connection is made.

        :param limits: returns the limits in force; called again for each received chunk
        :param count_refusal: called with an error code when a header takes too long
        """
        self._limits = limits
        self._count_refusal = count_refusal
        self._head_timer: asyncio.TimerHandle | None = None
        self._keepalive_timeout = self._get_idle_timeout_ms() / MS_PER_S

    def data_received(self, data: bytes) -> None:
        """See :class:`RequestHandler`."""
        self._keepalive_timeout = self._get_idle_timeout_ms() / MS_PER_S
        super().data_received(data)
        if self._waiter is None or self._waiter.done():
            self._stop_timer()  # the header is complete
        elif data and self._head_timer is None:
            timeout_s = self._get_head_timeout_ms() / MS_PER_S
            self._head_timer = self._loop.call_later(timeout_s, self._reject_slow_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :class:`RequestHandler`."""
        self._stop_timer()
        super().connection_lost(exc)

    def _get_idle_timeout_ms(self) -> float:
        limits = self._limits()
        return (limits.idle_timeout_ms if limits else DEFAULT_IDLE_TIMEOUT_MS) + IDLE_MARGIN_MS

    def _get_head_timeout_ms(self) -> float:
        limits = self._limits()
        return limits.header_timeout_ms if limits else DEFAULT_HEAD_TIMEOUT_MS

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self) -> None:
        self._head_timer = None
        self._count_refusal("head_timeout")
        if self.transport is not None:
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.force_close()


class CallerServer(web.Server):
    """An HTTP server whose connections enforce the limits in force."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        limits: Callable[[], CallerLimits | None],
        count_refusal: Callable[[str], None],
        **options: object,
    ) -> None:
        """
        Create the server.

        :param handler: handles requests
        :param limits: returns the limits in force, None before the first configuration
        :param count_refusal: called with an error code for each request rejected here
        :param options: see :class:`web.Server`
        """
        super().__init__(handler, **options)  # type: ignore[arg-type]
        self._limits = limits
        self._count_refusal = count_refusal

    def __call__(self) -> RequestHandler:
        """See :class:`web.Server`."""
        protocol = CallerRequestHandler(self, loop=self._loop, **self._kwargs)
        protocol.set_limits(self._limits, self._count_refusal)
        return protocol


__all__ = ["CallerRequestHandler", "CallerServer"]
