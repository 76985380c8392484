"""An aiohttp server that stops without dropping requests in progress."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.log import server_logger

from boragetiller.caller_limits.budget import CallerBudget
from boragetiller.caller_limits.listening import BoundedSite
from boragetiller.caller_limits.server import BudgetedServer
from boragetiller.caller_limits.unread_watch import MAX_UNREAD_S
from boragetiller.clock import SystemClock
from boragetiller.http_refusals import build_refusal_logger
from boragetiller.systems.overload.caller_budget import derive_limits
from boragetiller.tables.routes import CallerLimits
from boragetiller.tls import build_server_tls_context

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.metrics import Metrics
    from boragetiller.settings import LimitSettings, TlsSettings

SHUTDOWN_TIMEOUT_S = 5.0
CONNECTION_CLOSE_TIMEOUT_MS = 500
CONNECTION_POLL_INTERVAL_MS = 5
HEAD_FIELDS = 2  # a head may be as large as this many of the largest fields


class _BudgetedRunner(web.AppRunner):
    """Serves an application on connections that share the budget of the process."""

    __slots__ = ("_build_server",)

    def __init__(
        self,
        app: web.Application,
        build_server: Callable[..., BudgetedServer],
        **options: Any,
    ) -> None:
        """
        Create the runner.

        :param app: application to serve
        :param build_server: builds the server from its handler and options
        :param options: see :class:`web.AppRunner`
        """
        super().__init__(app, **options)
        self._build_server = build_server

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return self._build_server(
            plain.request_handler,
            request_factory=plain.request_factory,
            handler_cancellation=plain.handler_cancellation,
            **plain._kwargs,  # noqa: SLF001
        )


def build_caller_budget(
    limits: LimitSettings, metrics: Metrics | None = None, prefix: str = ""
) -> CallerBudget:
    """
    Build the budget that all HTTP ports of a process share.

    :param limits: memory and descriptors of the process
    :param metrics: counts callers that meet a limit, None to count nothing
    :param prefix: prepended to the names of the counters
    :return: the budget
    """

    def count(limit: str) -> None:
        if metrics is not None:
            metrics.increment(f"{prefix}.limit.{limit}")

    budget_limits = derive_limits(limits.memory_bytes, limits.max_descriptors)
    return CallerBudget(budget_limits, SystemClock().now_ms, count)


class HttpServer:
    """An HTTP server for one application on one TCP port."""

    def __init__(
        self,
        app: web.Application,
        address: str,
        port: int,
        *,
        limits: LimitSettings,
        tls: TlsSettings | None = None,
        max_field_bytes: int | None = None,
        count_refusal: Callable[[str], None] | None = None,
        budget: CallerBudget | None = None,
        max_connections: int | None = None,
        max_unread_s: float | None = MAX_UNREAD_S,
    ) -> None:
        """
        Create the server; :meth:`start` opens its port.

        :param app: application to serve
        :param address: IP address to listen on
        :param port: TCP port, 0 for a free one
        :param limits: limits of a request
        :param tls: certificate and key, None for plain TCP
        :param max_field_bytes: limit of the size of one header field, by default that of `limits`
        :param count_refusal: called with a code for each request that aiohttp refuses
        :param budget: budget of the process, None for one of this port alone
        :param max_connections: limit of connections of this port, None for that of the budget
        :param max_unread_s: see :class:`BudgetedServer`
        """
        max_field = max_field_bytes or limits.max_header_bytes
        caller_limits = CallerLimits(
            max_header_bytes=HEAD_FIELDS * max(max_field, limits.max_header_bytes),
            max_body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.address = address
        self.port = port
        self._tls = tls
        self._closing = False
        self._site: web.BaseSite | None = None
        app.on_response_prepare.append(self._close_after_response)
        logger = build_refusal_logger(count_refusal) if count_refusal else server_logger
        self._runner = _BudgetedRunner(
            app,
            partial(
                BudgetedServer,
                budget=budget or build_caller_budget(limits),
                get_limits=lambda: caller_limits,
                count_refusal=count_refusal or (lambda _code: None),
                max_connections=max_connections,
                max_unread_s=max_unread_s,
            ),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_field_size=max_field,
            max_line_size=limits.max_header_bytes,
            logger=logger,
        )

    async def start(self) -> None:
        """Start to listen; :attr:`port` then is the actual port."""
        await self._runner.setup()
        context = build_server_tls_context(self._tls) if self._tls else None
        self._site = BoundedSite(self._runner, (self.address, self.port), ssl_context=context)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """
        Stop listening, close busy connections after their next response, then close idle ones.

        A request that arrives on a kept-alive connection while the server closes is still served.
        """
        self._closing = True
        if self._site is not None:
            await self._site.stop()
            self._site = None
        for _ in range(CONNECTION_CLOSE_TIMEOUT_MS // CONNECTION_POLL_INTERVAL_MS):
            if self._runner.server is None or not self._runner.server.connections:
                break
            await asyncio.sleep(CONNECTION_POLL_INTERVAL_MS / 1_000)
        await self._runner.cleanup()

    def disable_keepalive(self) -> None:
        """Close each connection after its next response; go on serving."""
        self._closing = True

    async def _close_after_response(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._closing:
            response.headers["Connection"] = "close"
            response.force_close()

    @property
    def base_url(self) -> str:
        """:return: scheme, address and port of the server"""
        scheme = "https" if self._tls else "http"
        return f"{scheme}://{self.address}:{self.port}"


__all__ = ["HttpServer", "build_caller_budget"]
