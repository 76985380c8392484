"""An aiohttp server that stops without dropping requests in progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.log import server_logger

from boragetiller.http_refusals import build_refusal_logger
from boragetiller.tls import build_server_tls_context

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.settings import LimitSettings, TlsSettings

SHUTDOWN_TIMEOUT_S = 5.0
CONNECTION_CLOSE_TIMEOUT_MS = 500
CONNECTION_POLL_INTERVAL_MS = 5


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
    ) -> None:
        """
        Create the server; :meth:`start` opens its port.

        :param app: application to serve
        :param address: IP address to listen on
        :param port: TCP port, 0 for a free one
        :param limits: limits of a request; only `max_header_bytes` applies here
        :param tls: certificate and key, None for plain TCP
        :param max_field_bytes: limit of the size of one header field, by default that of `limits`
        :param count_refusal: called with a code for each request that aiohttp refuses
        """
        self.address = address
        self.port = port
        self._tls = tls
        self._closing = False
        self._site: web.TCPSite | None = None
        app.on_response_prepare.append(self._close_after_response)
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
        """Start to listen; :attr:`port` then is the actual port."""
        await self._runner.setup()
        context = build_server_tls_context(self._tls) if self._tls else None
        self._site = web.TCPSite(self._runner, self.address, self.port, ssl_context=context)
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


__all__ = ["HttpServer"]
