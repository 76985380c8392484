"""Start and stop an aiohttp server on settings."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.log import server_logger

from boragetiller.http_refusals import build_refusal_logger
from boragetiller.platform.tls import server_tls_context

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.settings import LimitSettings, TlsSettings

SHUTDOWN_TIMEOUT_S = 5.0
LINGER_MS = 500
LINGER_CHECK_MS = 5


class HttpServer:
    """One listening socket and its application."""

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
    ) -> None:
        """
        Prepare the server.

        :param app: routes
        :param address: IP number
        :param port: TCP port, 0 for a free one
        :param limits: header limit
        :param max_field_bytes: replaces the header limit
        :param tls: certificate and key, None for plain TCP
        :param count_refusal: called with a code when a request is no acceptable HTTP
        """
        self.address = address
        self.port = port
        self._tls = tls
        self._closing = False
        self._site: web.TCPSite | None = None
        app.on_response_prepare.append(self._end_connection)
        logger = build_refusal_logger(count_refusal) if count_refusal else server_logger
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_field_size=max_field_bytes or limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            logger=logger,
        )

    async def start(self) -> None:
        """Listen; :attr:`port` then holds the real port."""
        await self._runner.setup()
        context = server_tls_context(self._tls) if self._tls else None
        self._site = web.TCPSite(self._runner, self.address, self.port, ssl_context=context)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """
        Stop listening, let open connections end with their next answer, close idle ones.

        A request that is on its way on a kept-alive connection is still answered.
        """
        self._closing = True
        if self._site is not None:
            await self._site.stop()
            self._site = None
        for _ in range(LINGER_MS // LINGER_CHECK_MS):
            if self._runner.server is None or not self._runner.server.connections:
                break
            await asyncio.sleep(LINGER_CHECK_MS / 1_000)
        await self._runner.cleanup()

    def disable_keepalive(self) -> None:
        """From now on, end each connection with its next answer; go on serving."""
        self._closing = True

    async def _end_connection(self, _request: web.Request, response: web.StreamResponse) -> None:
        if self._closing:
            response.headers["Connection"] = "close"
            response.force_close()

    @property
    def base_url(self) -> str:
        """:return: URL without a path"""
        scheme = "https" if self._tls else "http"
        return f"{scheme}://{self.address}:{self.port}"


__all__ = ["HttpServer"]
