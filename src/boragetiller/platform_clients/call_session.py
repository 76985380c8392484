"""HTTP calls with exact time limits, on connections that are not known to be silent."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

# aiohttp rounds limits of 5 s and more up to whole seconds, and loses a cancellation that comes
# at the moment of a limit.
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


@attrs.define(eq=False)
class _Pool:
    """A session with its connections, and the number of calls on them."""

    session: aiohttp.ClientSession
    calls: int = 0


class CallSession:
    """
    Calls to one service.

    When a call exceeds its time limit, the idle connections may be as silent as the call's own:
    they are given up, so that the next call does not wait for its time limit, too.
    """

    def __init__(self, open_session: Callable[[], aiohttp.ClientSession]) -> None:
        """:param open_session: opens a session with connections of its own"""
        self._open_session = open_session
        self._pool = _Pool(open_session())
        self._replaced: set[_Pool] = set()  # with calls that have not ended

    @asynccontextmanager
    async def request(
        self,
        method: str,
        url: str,
        timeout_ms: float | None,
        *,
        timeout: aiohttp.ClientTimeout = NO_TIMEOUT,
        **options: Any,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """
        Send a request; the time limit includes what the caller does with the response.

        :param method: HTTP method
        :param url: URL
        :param timeout_ms: time limit in milliseconds, None for none
        :param timeout: limits of parts of the call, below 5 s each
        :param options: further arguments of aiohttp's request
        :return: the response
        :raises TimeoutError: the time limit expired
        :raises aiohttp.ClientError: the call failed
        """
        pool = self._pool
        pool.calls += 1
        try:
            async with (
                asyncio.timeout(None if timeout_ms is None else timeout_ms / 1_000),
                pool.session.request(method, url, timeout=timeout, **options) as response,
            ):
                yield response
        except TimeoutError:
            self._replace(pool)
            raise
        finally:
            pool.calls -= 1
            if pool in self._replaced and not pool.calls:
                self._replaced.discard(pool)
                await pool.session.close()

    async def close(self) -> None:
        """Close all connections."""
        for pool in (self._pool, *self._replaced):
            await pool.session.close()
        self._replaced.clear()

    def _replace(self, pool: _Pool) -> None:
        if pool is self._pool:
            self._pool = _Pool(self._open_session())
            self._replaced.add(pool)


__all__ = ["NO_TIMEOUT", "CallSession"]
