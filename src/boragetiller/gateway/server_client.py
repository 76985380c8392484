"""Send calls to one incarnation of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from boragetiller.gateway.backend_connections import (
    matched_response_class,
    read_bounded,
    strict_connector,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.tables.call_metadata import ResponseMetadata
    from boragetiller.tables.servers import ServerRecord

CONNECT_TIMEOUT_MS = 500  # a connection takes a few ms; a lost opening packet is sent again in 1 s
IDLE_TIMEOUT_S = 4.0  # idle connections are let go before the backend server closes them
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
MAX_HEADER_BYTES = 65_536
MAX_STATUS_BODY_BYTES = 4_194_304  # 40,000 parts at a hundred bytes

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, ValueError)


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A call as it is sent."""

    method: str
    raw_path: str  # path and query, unchanged
    headers: CIMultiDict[str]
    body: bytes


class ServerResponse:
    """An answer whose head has arrived."""

    def __init__(self, response: aiohttp.ClientResponse, facts: ResponseMetadata) -> None:
        """
        Wrap a response.

        :param response: the response, head read
        :param facts: what the head says
        """
        self.facts = facts
        self.headers = response.headers
        self._response = response

    async def read(self, max_bytes: int) -> bytes:
        """
        Read the whole body.

        :param max_bytes: after which no more is read
        :return: the body
        :raises AnswerTooLarge: it is longer
        :raises aiohttp.ClientError: it did not arrive completely
        """
        return await read_bounded(self._response.content, max_bytes)

    def chunks(self) -> AsyncIterator[bytes]:
        """
        Iterate over the body as it arrives.

        :return: bytes, at whatever limits they arrived
        """
        return self._response.content.iter_any()

    def close(self) -> None:
        """Drop the connection unless the body was read to its end."""
        self._response.close()


class ServerClient:
    """Connections to one backend server."""

    def __init__(self, record: ServerRecord, dialect: Dialect) -> None:
        """
        Prepare the pool.

        :param record: the backend server
        :param dialect: words of the platform
        """
        self._base = f"http://{record.address}"
        self._dialect = dialect
        self._session = aiohttp.ClientSession(
            connector=strict_connector(IDLE_TIMEOUT_S),
            response_class=matched_response_class(dialect.is_response_to),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_MS / 1_000),
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        self._session._retry_connection = False  # noqa: SLF001  # each send is counted here

    async def send(self, call: OutgoingRequest) -> ServerResponse:
        """
        Send a call and wait for the head of its answer.

        :param call: the call
        :return: the answer, to be closed by the caller
        :raises aiohttp.ClientError: one of NEVER_SENT when no byte was sent
        """
        response = await self._session.request(
            call.method,
            URL(self._base + call.raw_path, encoded=True),
            headers=call.headers,
            data=call.body or None,
            allow_redirects=False,
        )
        facts = self._dialect.parse_response_head(response.status, response.headers)
        return ServerResponse(response, facts)

    async def get_body(self, path: str) -> bytes:
        """
        Read what the server tells of itself.

        :param path: path on the server
        :return: body of a 200
        :raises AnswerTooLarge: it is longer than any such account
        :raises aiohttp.ClientError: no such answer
        """
        url = URL(self._base + path, encoded=True)
        async with self._session.get(url, raise_for_status=True) as response:
            return await read_bounded(response.content, MAX_STATUS_BODY_BYTES)

    async def close(self) -> None:
        """Close idle connections and those in use."""
        await self._session.close()


__all__ = [
    "TRANSPORT_ERRORS",
    "NOT_SENT_ERRORS",
    "OutgoingRequest",
    "ServerResponse",
    "ServerClient",
]
