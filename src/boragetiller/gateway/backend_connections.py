"""
HTTP connections to backend servers, with checks that each response belongs to its request.

A faulty server may send unsolicited bytes, a response to an earlier request, or a body without a
length that a reset truncates. The classes of aiohttp would accept these.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import aiohttp

from boragetiller.reset_detection import ResetAwareHandler, use_handler

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable

    from aiohttp.client_reqrep import Connection
    from multidict import CIMultiDictProxy

    from boragetiller.tables.call_metadata import ResponseMetadata

    ResponseCheck = Callable[[CIMultiDictProxy[str], CIMultiDictProxy[str]], bool]
    HeadReader = Callable[[int, CIMultiDictProxy[str]], ResponseMetadata]
    AddressInfo = tuple[int, int, int, str, tuple[str, int]]

TCP_USER_TIMEOUT_MS = 2_000  # the kernel resets a connection after so long without an ACK
RECEIVE_BUFFER_BYTES = 131_072  # the kernel keeps up to twice as much that is not read
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_FRAMING_BYTES = 1_048_576  # headers and chunk framing, in excess of the size of the body
MAX_SKIPPED_BYTES = 1_048_576  # of responses to other requests, before the connection is closed
MAX_SKIPPED_RESPONSES = 8


class ResponseTooLarge(ValueError):
    """A response exceeds its size limit."""


async def read_bounded(content: aiohttp.StreamReader, max_bytes: int) -> bytes:
    """
    Read a body to its end.

    :param content: the body
    :param max_bytes: size limit
    :return: the body
    :raises ResponseTooLarge: the body exceeds the limit
    :raises aiohttp.ClientError: the body is incomplete
    """
    data = bytearray()
    async for chunk in content.iter_any():
        data += chunk
        if len(data) > max_bytes:
            raise ResponseTooLarge(f"response body exceeds {max_bytes} bytes")
    return bytes(data)


class StrictResponseHandler(ResetAwareHandler):
    """Closes the connection on unsolicited bytes and on excessive framing."""

    def __init__(self, loop: AbstractEventLoop) -> None:
        """:param loop: the running loop"""
        super().__init__(loop)
        self.expects_response = False
        self._received_bytes = 0  # since the last request was sent

    def set_response_params(self, **params: object) -> None:  # type: ignore[override]
        """See :class:`ResetAwareHandler`; aiohttp calls this before it sends a request."""
        self.expects_response = True
        self._received_bytes = 0
        super().set_response_params(**params)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """See :class:`ResetAwareHandler`."""
        if data and not self.expects_response:
            self.abort()
            return
        super().data_received(data)
        self._received_bytes += len(data)
        payload = self._payload
        body_bytes = payload.total_bytes if payload is not None else 0
        if self._received_bytes > MAX_FRAMING_BYTES + 2 * body_bytes:
            error = aiohttp.ClientPayloadError(
                f"response framing exceeds {MAX_FRAMING_BYTES} bytes plus the size of the body"
            )
            if payload is not None:
                payload.set_exception(error)
            self.set_exception(error)
            self.abort()


class MatchedResponse(aiohttp.ClientResponse):
    """
    Skips responses to earlier requests on the same connection.

    Their heads are read all the same, for what they say about the server.
    """

    metadata: ResponseMetadata  # from the header that was read last
    _identified = False

    def read_head(self) -> ResponseMetadata:
        """:return: metadata from the header that was read"""
        raise NotImplementedError

    def matches_request(self) -> bool:
        """:return: whether the header that was read belongs to the request"""
        raise NotImplementedError

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """See :class:`ClientResponse`."""
        await super().start(connection)
        self.metadata = self.read_head()
        left_bytes, skipped = MAX_SKIPPED_BYTES, 0
        while not self.matches_request():
            skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise ResponseTooLarge(
                    f"more than {MAX_SKIPPED_RESPONSES} responses to other requests"
                )
            left_bytes -= len(await read_bounded(self.content, left_bytes))
            self._cache.clear()  # aiohttp caches the headers of the first response
            await super().start(connection)
            self.metadata = self.read_head()
        self._identified = True
        if self.content.is_eof():
            self._response_eof()
        return self

    def _response_eof(self) -> None:
        if not self._identified:
            return
        if isinstance(self._protocol, StrictResponseHandler):
            self._protocol.expects_response = False
        super()._response_eof()


def build_matched_response_class(
    is_response_to: ResponseCheck, read_head: HeadReader
) -> type[MatchedResponse]:
    """
    Build the response class for a dialect.

    :param is_response_to: checks the headers of a request and of a response for a match
    :param read_head: parses status and headers; called for each response that arrives
    :return: a subclass that checks each response
    """

    class DialectResponse(MatchedResponse):
        """A response that the dialect matches with its request."""

        def read_head(self) -> ResponseMetadata:
            """See :class:`MatchedResponse`."""
            return read_head(self.status, self.headers)

        def matches_request(self) -> bool:
            """See :class:`MatchedResponse`."""
            return is_response_to(self.request_info.headers, self.headers)

    return DialectResponse


def build_strict_connector(idle_timeout_s: float) -> aiohttp.TCPConnector:
    """
    Build the connection pool of one backend server.

    :param idle_timeout_s: seconds after which an idle connection is closed
    :return: the pool
    """
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=idle_timeout_s, socket_factory=open_keepalive_socket
    )
    use_handler(connector, StrictResponseHandler)
    return connector


def enable_keepalive(sock: socket.socket) -> None:
    """
    Set TCP keep-alive and TCP_USER_TIMEOUT, so that the kernel resets a dead connection.

    :param sock: a TCP socket
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def open_keepalive_socket(info: AddressInfo) -> socket.socket:
    """
    Open a socket with TCP keep-alive.

    :param info: address as resolved by aiohttp
    :return: the socket, not connected yet
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    enable_keepalive(sock)
    return sock


__all__ = [
    "ResponseTooLarge",
    "StrictResponseHandler",
    "MatchedResponse",
    "enable_keepalive",
    "build_strict_connector",
    "build_matched_response_class",
    "open_keepalive_socket",
    "read_bounded",
]
