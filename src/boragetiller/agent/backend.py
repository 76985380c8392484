"""The agent's HTTP client to its backend server."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import aiohttp

from boragetiller.errors import (
    BackendCrashed,
    BackendFailed,
    BackendLost,
    BackendTimeout,
    BackendUnreachable,
    BoragetillerError,
)
from boragetiller.relay.frames import Head
from boragetiller.relay.headers import answer_headers
from boragetiller.settings import BackendKind
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.relay.attempt import Attempt
    from boragetiller.settings import BackendSettings

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]"
MAX_EVENT_BYTES = 1_000_000
PROBE_TIMEOUT_S = 0.2


class _AnswerCut(Exception):
    """The answer ended before its end marker."""


class BackendResponse:
    """An answer that is being read from the backend server."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """:param response: open response"""
        self._response = response
        content_type = response.headers.get("Content-Type", "")
        self.head = Head(response.status, content_type, answer_headers(response.headers))

    @property
    def is_event_stream(self) -> bool:
        """:return: whether the answer is a stream of server-sent events"""
        return self.head.content_type.startswith("text/event-stream")

    async def chunks(self) -> AsyncIterator[bytes]:
        """
        Read the body.

        :return: whole server-sent events, several in one chunk when they came together; raw
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
                raise _AnswerCut("event too large")
            if separator:
                ended = ended or STREAM_END in events
                yield events + separator
        if not ended:
            raise _AnswerCut("the answer ended before its end marker")


class BackendClient:
    """Sends attempts to one backend server."""

    def __init__(self, settings: BackendSettings) -> None:
        """:param settings: URL, kind and timeouts"""
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        repeats = self._settings.kind is BackendKind.SERVICE  # a pooled connection may resend
        connector = aiohttp.TCPConnector(limit=0, force_close=repeats)
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

    async def _failure(self, error: BaseException) -> BoragetillerError:
        found = _backend_error(error)
        if isinstance(found, BackendLost) and await self._tells_of_crash():
            return BackendCrashed()
        return found

    async def _tells_of_crash(self) -> bool:
        if self._settings.kind is BackendKind.ENGINE:
            return True  # it may be back already when an agent that was paused looks
        return await _refuses_connections(self._settings.url)

    @asynccontextmanager
    async def send(self, attempt: Attempt, body: bytes) -> AsyncIterator[BackendResponse]:
        """
        Send an attempt and read its answer inside the context.

        :param attempt: the attempt
        :param body: request body
        :return: the answer
        :raises BoragetillerError: with the verdict that holds at the point of failure
        """
        assert self._session is not None
        headers = _request_headers(attempt)
        url = self._settings.url + attempt.path
        try:
            async with self._session.request(
                attempt.method, url, data=body, headers=headers, allow_redirects=False
            ) as response:
                if self._settings.kind is BackendKind.ENGINE and response.status >= 500:
                    raise BackendFailed(f"engine answered {response.status}")
                yield BackendResponse(response)
        except (aiohttp.ClientError, TimeoutError, OSError, _AnswerCut) as error:
            raise await self._failure(error) from error


def _request_headers(attempt: Attempt) -> dict[str, str]:
    headers = {"Accept-Encoding": "identity", **attempt.headers}
    headers["X-Request-Id"] = attempt.request_id
    headers["Content-Type"] = attempt.content_type
    if attempt.key:
        headers["Idempotency-Key"] = attempt.key
    return headers


async def _refuses_connections(url: str) -> bool:
    parts = urlsplit(url)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(parts.hostname, parts.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def _backend_error(error: BaseException) -> BoragetillerError:
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)):
        return BackendUnreachable(verdict=Verdict.NOT_RUN)
    if isinstance(error, (TimeoutError, asyncio.TimeoutError)):
        return BackendTimeout()
    return BackendLost(type(error).__name__)


__all__ = ["BackendClient", "BackendResponse"]
