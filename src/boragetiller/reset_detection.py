"""HTTP client connections on which a reset never looks like the end of a response."""

from __future__ import annotations

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ResetAwareHandler(ResponseHandler):
    """Makes a body incomplete that has no length and whose connection is reset."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :class:`ResponseHandler`."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)


def use_handler(connector: aiohttp.TCPConnector, handler: type[ResponseHandler]) -> None:
    """
    Make a connection pool use a response handler; aiohttp has no setting for it.

    :param connector: the pool, without connections
    :param handler: class of the handler
    """
    loop = connector._loop  # noqa: SLF001
    connector._factory = functools.partial(handler, loop=loop)  # type: ignore[assignment]  # noqa: SLF001


__all__ = ["ResetAwareHandler", "use_handler"]
