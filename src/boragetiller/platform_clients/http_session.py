"""HTTP requests to the platform, with failures mapped to typed errors."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp

from boragetiller.errors import HistoryLost, RevisionConflict, StoreUnavailable, ValueTooLarge
from boragetiller.platform_clients.call_session import NO_TIMEOUT, CallSession

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.settings import PlatformSettings

NOT_MODIFIED = 304
WATCH_READ_TIMEOUT_FACTOR = 3  # a watch without any bytes for this many timeouts has broken


class HttpSession:
    """A connection pool to one of the platform's services."""

    def __init__(self, base_url: str, settings: PlatformSettings) -> None:
        """
        Create the session without opening connections.

        :param base_url: base URL of the service
        :param settings: timeout of each request
        """
        self._base_url = base_url.rstrip("/")
        timeout_s = settings.timeout_ms / 1_000
        self._timeout_ms = settings.timeout_ms
        self._watch_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=timeout_s, sock_read=timeout_s * WATCH_READ_TIMEOUT_FACTOR
        )
        self._session: CallSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = CallSession(aiohttp.ClientSession)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    @asynccontextmanager
    async def request(
        self, method: str, path: str, *, open_ended: bool = False, **options: Any
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """
        Send a request; writes use POST because aiohttp does not retry it by itself.

        :param method: HTTP method
        :param path: path below the base URL
        :param open_ended: whether the response goes on until one side closes it
        :param options: further arguments of aiohttp's request
        :return: the response, with status 200, 404, or 304 to a conditional request
        :raises RevisionConflict: the service responded with status 409
        :raises HistoryLost: the service responded with status 410
        :raises ValueTooLarge: the service responded with status 413
        :raises StoreUnavailable: no response, another status, or an invalid body
        """
        if self._session is None:
            raise StoreUnavailable("the platform client is closed")
        timeout_ms = None if open_ended else self._timeout_ms
        timeout = self._watch_timeout if open_ended else NO_TIMEOUT
        try:
            async with self._session.request(
                method, self._base_url + path, timeout_ms, timeout=timeout, **options
            ) as response:
                _check_status(response)
                yield response
        except (aiohttp.ClientError, TimeoutError, EOFError, OSError) as error:
            raise StoreUnavailable(f"{type(error).__name__}: {error}") from error
        except (ValueError, LookupError, TypeError, RecursionError) as error:
            raise StoreUnavailable(f"invalid response: {error}") from error


def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 409:
        raise RevisionConflict
    if response.status == 410:
        raise HistoryLost
    if response.status == 413:
        raise ValueTooLarge
    conditional = "If-None-Match" in response.request_info.headers
    if response.status == NOT_MODIFIED and conditional:
        return
    if response.status not in (200, 404):
        raise StoreUnavailable(f"unexpected response status {response.status}")


__all__ = ["NOT_MODIFIED", "HttpSession"]
