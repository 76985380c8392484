"""HTTP calls with exact time limits, on connections that are not known to be silent."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
from multidict import CIMultiDictProxy  # noqa: TC002

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

# aiohttp rounds limits of 5 s and more up to whole seconds, and loses a cancellation that comes
# at the moment of a limit.
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class ResponseTooLong(Exception):
    """A response has more bytes than the caller wants to receive; its connection is closed."""


@attrs.frozen(kw_only=True)
class TransferLimits:
    """Limits of a call whose response may be long for the link."""

    begin_ms: float  # until the head of the response
    progress_ms: float  # without a byte of the body
    total_ms: float  # for the whole call, also if bytes trickle in
    max_bytes: int | None = None  # of the body, None for no limit


@attrs.frozen(kw_only=True)
class FetchedResponse:
    """A response with its whole body."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


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
        self.receiving = 0  # fetched responses whose head has arrived and whose body has not

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
        limit = asyncio.timeout(None if timeout_ms is None else timeout_ms / 1_000)
        async with (
            self._use_pool() as session,
            limit,
            session.request(method, url, timeout=timeout, **options) as response,
        ):
            yield response

    async def fetch(
        self, method: str, url: str, limits: TransferLimits, **options: Any
    ) -> FetchedResponse:
        """
        Send a request and read the whole response, for as long as it makes progress.

        :param method: HTTP method
        :param url: URL
        :param limits: time limits
        :param options: further arguments of aiohttp's request
        :return: the response
        :raises TimeoutError: a time limit expired; the message has how much of the body had arrived
        :raises ResponseTooLong: the body is announced as longer than the limit, or is
        :raises aiohttp.ClientError: the call failed
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limits.total_ms / 1_000
        chunks: list[bytes] = []
        received = 0
        try:
            async with (
                self._use_pool() as session,
                asyncio.timeout(limits.begin_ms / 1_000) as limit,
                session.request(method, url, timeout=NO_TIMEOUT, **options) as response,
            ):
                limit.reschedule(min(end_s, loop.time() + limits.progress_ms / 1_000))
                with self._count_receiving():
                    _check_size(response, response.content_length or 0, limits)
                    async for chunk in response.content.iter_any():
                        chunks.append(chunk)
                        received += len(chunk)
                        _check_size(response, received, limits)
                        limit.reschedule(min(end_s, loop.time() + limits.progress_ms / 1_000))
                return FetchedResponse(
                    status=response.status, headers=response.headers, body=b"".join(chunks)
                )
        except TimeoutError as error:
            raise TimeoutError(f"after {received} bytes of the body") from error

    @contextmanager
    def _count_receiving(self) -> Iterator[None]:
        self.receiving += 1
        try:
            yield
        finally:
            self.receiving -= 1

    @asynccontextmanager
    async def _use_pool(self) -> AsyncIterator[aiohttp.ClientSession]:
        pool = self._pool
        pool.calls += 1
        try:
            yield pool.session
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


def _check_size(response: aiohttp.ClientResponse, size: int, limits: TransferLimits) -> None:
    """:raises ResponseTooLong: the size exceeds the limit"""
    if limits.max_bytes is not None and size > limits.max_bytes:
        response.close()  # or the rest would still take the link
        raise ResponseTooLong(f"got {size} bytes; at most {limits.max_bytes} are wanted")


__all__ = ["NO_TIMEOUT", "CallSession", "FetchedResponse", "ResponseTooLong", "TransferLimits"]
