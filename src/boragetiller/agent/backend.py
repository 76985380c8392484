"""HTTP client of the agent for its backend server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import aiohttp

from boragetiller.agent_protocol.frames import ResponseHead
from boragetiller.agent_protocol.headers import filter_response_headers
from boragetiller.connection_probe import refuses_connections
from boragetiller.errors import (
    BackendCrashed,
    BackendFailed,
    BackendLost,
    BackendTimeout,
    BackendUnreachable,
    BoragetillerError,
)
from boragetiller.reset_detection import ResetAwareHandler, use_handler
from boragetiller.settings import BackendKind
from boragetiller.status_verdicts import FINAL_STATUSES
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.settings import BackendSettings

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]"
MAX_EVENT_BYTES = 1_000_000
PROBE_TIMEOUT_S = 0.2


class _ResponseTruncated(Exception):
    """An event stream ended before its end marker, or one of its events was too large."""


class BackendResponse:
    """Response of the backend server whose body is being read."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """:param response: open response"""
        self._response = response
        content_type = response.headers.get("Content-Type", "")
        self.head = ResponseHead(
            response.status, content_type, filter_response_headers(response.headers)
        )

    @property
    def is_event_stream(self) -> bool:
        """:return: whether the response is a stream of server-sent events"""
        return self.head.content_type.startswith("text/event-stream")

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """
        Read the body.

        :return: complete server-sent events, several in one chunk when they arrived together; raw
            bytes for any other content type
        """
        if not self.is_event_stream:
            async for chunk in self._response.content.iter_any():
                yield chunk
            return
        rest = b""
        ended = False
        async for chunk in self._response.content.iter_any():
            events, separator, rest = (rest + chunk).rpartition(EVENT_END)
            if len(rest) > MAX_EVENT_BYTES:
                raise _ResponseTruncated(f"event of {len(rest)} bytes, limit {MAX_EVENT_BYTES}")
            if separator:
                ended = ended or STREAM_END in events
                yield events + separator
        if not ended or rest.strip():
            raise _ResponseTruncated("event stream ended before its end marker or inside an event")


class BackendClient:
    """Sends attempts to one backend server."""

    def __init__(self, settings: BackendSettings) -> None:
        """:param settings: URL, kind and timeouts of the backend server"""
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        # On a pooled connection aiohttp may send a request twice, which a service must not get.
        close_after_use = self._settings.kind is BackendKind.SERVICE
        connector = aiohttp.TCPConnector(limit=0, force_close=close_after_use)
        use_handler(connector, ResetAwareHandler)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._settings.connect_timeout_ms / 1_000,
            sock_read=self._settings.silence_timeout_ms / 1_000,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _classify_error(self, error: BaseException) -> BoragetillerError:
        classified = _convert_error(error)
        if isinstance(classified, BackendLost) and await self._has_crashed():
            return BackendCrashed()
        return classified

    async def _has_crashed(self) -> bool:
        if self._settings.kind is BackendKind.ENGINE:
            return True  # no probe: after a pause of the agent the engine may have restarted
        address = urlsplit(self._settings.url)
        return await refuses_connections(address.hostname, address.port, PROBE_TIMEOUT_S)

    @asynccontextmanager
    async def send(self, attempt: Attempt, body: bytes) -> AsyncIterator[BackendResponse]:
        """
        Send an attempt; the caller reads the response inside the context.

        :param attempt: the attempt
        :param body: request body
        :return: the response
        :raises BoragetillerError: with the verdict at the point of failure
        """
        assert self._session is not None
        headers = _build_request_headers(attempt)
        url = self._settings.url + attempt.path
        try:
            async with self._session.request(
                attempt.method, url, data=body, headers=headers, allow_redirects=False
            ) as response:
                if response.status not in FINAL_STATUSES:
                    raise BackendFailed(f"invalid status {response.status:03}; expected 200 to 599")
                if self._settings.kind is BackendKind.ENGINE and response.status >= 500:
                    raise BackendFailed(f"engine responded with status {response.status}")
                yield BackendResponse(response)
        except (aiohttp.ClientError, TimeoutError, OSError, _ResponseTruncated) as error:
            raise await self._classify_error(error) from error


def _build_request_headers(attempt: Attempt) -> dict[str, str]:
    headers = {"Accept-Encoding": "identity", **attempt.headers}
    headers["X-Request-Id"] = attempt.request_id
    headers["Content-Type"] = attempt.content_type
    if attempt.key:
        headers["Idempotency-Key"] = attempt.key
    return headers


def _convert_error(error: BaseException) -> BoragetillerError:
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return BackendUnreachable(verdict=Verdict.NOT_RUN)
    if isinstance(error, (TimeoutError, asyncio.TimeoutError)):
        return BackendTimeout()
    return BackendLost(type(error).__name__)


__all__ = ["BackendClient", "BackendResponse"]
