"""Start and stop an aiohttp server on settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.log import server_logger

from boragetiller.http_refusals import refusal_logger
from boragetiller.platform.tls import server_tls_context

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.settings import LimitSettings, TlsSettings

SHUTDOWN_TIMEOUT_S = 5.0


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
        app.on_response_prepare.append(self._close_after_answer)
        logger = refusal_logger(count_refusal) if count_refusal else server_logger
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_field_size=max_field_bytes or limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            logger=logger,
        )

    async def _close_after_answer(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._closing:
            response.force_close()
            response.headers["Connection"] = "close"

    async def start(self) -> None:
        """Listen; :attr:`port` then holds the real port."""
        await self._runner.setup()
        context = server_tls_context(self._tls) if self._tls else None
        site = web.TCPSite(self._runner, self.address, self.port, ssl_context=context)
        await site.start()
        self.port = self._runner.addresses[0][1]

    def begin_close(self) -> None:
        """Ask clients, with each answer from now on, to close their connection."""
        self._closing = True

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        await self._runner.cleanup()

    @property
    def base_url(self) -> str:
        """:return: URL without a path"""
        scheme = "https" if self._tls else "http"
        return f"{scheme}://{self.address}:{self.port}"


__all__ = ["HttpServer"]
