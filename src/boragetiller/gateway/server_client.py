"""HTTP client of one incarnation of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from boragetiller.caller_limits.body import read_response
from boragetiller.gateway.backend_connections import (
    MatchedResponse,
    ResponseTooLarge,
    build_matched_response_class,
    build_strict_connector,
    read_bounded,
)
from boragetiller.gateway.server_pauses import build_checked_request_class

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from multidict import CIMultiDictProxy

    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_pauses import ServerPauses
    from boragetiller.systems.slow_callers.unread_time import UnreadTime
    from boragetiller.tables.call_metadata import ResponseMetadata
    from boragetiller.tables.servers import ServerRecord

CONNECT_TIMEOUT_MS = 500  # connecting takes a few ms; the kernel retransmits a lost SYN after 1 s
IDLE_TIMEOUT_S = 4.0  # shorter than that of backend servers, so that the client closes first
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
MAX_HEADER_BYTES = 65_536
READ_BUFFER_BYTES = 65_536  # up to twice as much of a response is kept for a slow caller
MAX_STATUS_BODY_BYTES = 4_194_304  # a cache list of 40,000 parts at 100 bytes each

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, ValueError)


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to a backend server."""

    method: str
    raw_path: str  # path and query as received
    headers: CIMultiDict[str]
    body: bytes


class ServerResponse:
    """A response whose header has been received."""

    def __init__(self, response: aiohttp.ClientResponse, metadata: ResponseMetadata) -> None:
        """
        Wrap a response.

        :param response: response whose header has been read
        :param metadata: metadata parsed from the header
        """
        self.metadata = metadata
        self.headers = response.headers
        self._response = response

    @property
    def is_close_delimited(self) -> bool:
        """:return: whether only the end of the connection marks the end of the body"""
        return "Content-Length" not in self.headers and "Transfer-Encoding" not in self.headers

    async def read(self, max_bytes: int, unread: UnreadTime) -> bytes:
        """
        Read the complete body.

        :param max_bytes: size limit
        :param unread: waits for memory are recorded in it
        :return: the body
        :raises ResponseTooLarge: the body exceeds the limit
        :raises aiohttp.ClientError: the body is incomplete
        """
        length = self._response.content_length
        body = await read_response(self._response.content, length, max_bytes, unread)
        if body is None:
            raise ResponseTooLarge(f"response body exceeds {max_bytes} bytes")
        return body

    def iter_chunks(self) -> AsyncIterator[bytes]:
        """
        Iterate over the body as it arrives.

        :return: chunks of any size
        """
        return self._response.content.iter_any()

    def close(self) -> None:
        """Release the connection; close it if the body was not read completely."""
        self._response.close()


class ServerClient:
    """A connection pool to one backend server."""

    def __init__(self, record: ServerRecord, dialect: Dialect, pauses: ServerPauses) -> None:
        """
        Create an empty pool.

        :param record: the backend server
        :param dialect: header names and data formats of the platform
        :param pauses: pauses that servers ask for
        """
        self._base = f"http://{record.address}"
        self._record = record
        self._dialect = dialect
        self._pauses = pauses
        self._session = aiohttp.ClientSession(
            connector=build_strict_connector(IDLE_TIMEOUT_S),
            request_class=build_checked_request_class(lambda: pauses.check(record)),
            response_class=build_matched_response_class(dialect.is_response_to, self._read_head),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1_000),
            read_bufsize=READ_BUFFER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        self._session._retry_connection = False  # noqa: SLF001  # the dispatcher retries and counts

    @property
    def address(self) -> str:
        """:return: address of the server"""
        return self._record.address

    async def send(self, call: OutgoingRequest) -> ServerResponse:
        """
        Send a request and wait for the header of its response.

        :param call: the request
        :return: the response, which must be closed after use
        :raises ServerPaused: the server pauses; no byte was sent
        :raises aiohttp.ClientError: one of NOT_SENT_ERRORS if no byte was sent
        """
        response = await self._session.request(
            call.method,
            URL(self._base + call.raw_path, encoded=True),
            headers=call.headers,
            data=call.body or None,
            allow_redirects=False,
        )
        assert isinstance(response, MatchedResponse)
        return ServerResponse(response, response.metadata)

    async def get_body(self, path: str) -> bytes:
        """
        Get a status resource of the server.

        :param path: path on the server
        :return: body of a 200 response
        :raises ResponseTooLarge: the body exceeds MAX_STATUS_BODY_BYTES
        :raises aiohttp.ClientError: the request failed, its status is an error, or the server
            pauses
        """
        url = URL(self._base + path, encoded=True)
        async with self._session.get(url, raise_for_status=True) as response:
            return await read_bounded(response.content, MAX_STATUS_BODY_BYTES)

    async def close(self) -> None:
        """Close all connections, also those in use."""
        await self._session.close()

    def _read_head(self, status: int, headers: CIMultiDictProxy[str]) -> ResponseMetadata:
        metadata = self._dialect.parse_response_head(status, headers)
        self._pauses.record_head(self._record, metadata)
        return metadata


__all__ = [
    "TRANSPORT_ERRORS",
    "NOT_SENT_ERRORS",
    "OutgoingRequest",
    "ServerResponse",
    "ServerClient",
]
