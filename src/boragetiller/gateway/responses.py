"""Responses to callers: buffered ones, errors of the router, and event streams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.status_verdicts import choose_truthful_status, implies_not_run
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.tables.direct_attempts import CompleteResponse


@attrs.frozen(kw_only=True)
class ErrorResponse:
    """An error response that the router itself generates."""

    status: int
    code: str  # stable error code
    verdict: Verdict  # over all attempts of the request
    retry_after_s: float | None = None


def build_complete_response(response: CompleteResponse) -> web.Response:
    """
    Build the response to the caller from a buffered response of a backend server.

    :param response: the backend server's response
    :return: the response with the same status, headers and body
    :raises ValueError: its status tells the caller that the request was not run
    """
    if implies_not_run(response.status):
        raise ValueError(
            f"response of {response.server}: got status {response.status}, "
            "which only an error response of the router may have"
        )
    return web.Response(status=response.status, headers=response.headers, body=response.body)


def build_error_response(
    response: ErrorResponse, request_id: str, dialect: Dialect
) -> web.Response:
    """
    Build the HTTP response for an error of the router.

    A status that tells the caller that its request was not run is sent only if none can have run.

    :param response: status, error code, verdict and Retry-After in seconds
    :param request_id: id of the request, empty if it has none
    :param dialect: header names and data formats of the platform
    :return: the response, with the error code in its JSON body
    """
    headers = dialect.build_error_headers(request_id)
    if response.retry_after_s is not None:
        headers["Retry-After"] = f"{response.retry_after_s:.3f}"
    body = json.dumps({"error": {"code": response.code, "request_id": request_id}}).encode()
    status = choose_truthful_status(response.status, response.verdict)
    return web.Response(status=status, headers=headers, body=body, content_type="application/json")


class CallerDisconnected(Exception):
    """The caller closed its connection, so its call must not be retried."""


class EventWriter:
    """Relays events to a caller; the response head is sent with the first event."""

    def __init__(self, request: web.BaseRequest) -> None:
        """:param request: the caller's request"""
        self._request = request
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """:return: whether a part of the response has been sent"""
        return self._response is not None

    def claim(self) -> None:
        """
        Make sure that the events of this attempt are those that the caller gets.

        :raises asyncio.CancelledError: another attempt of the call was first
        """

    async def write(self, status: int, headers: CIMultiDict[str], data: bytes) -> None:
        """
        Relay complete events.

        :param status: HTTP status, used by the first write
        :param headers: headers for the caller, used by the first write
        :param data: bytes of complete events
        :raises CallerDisconnected: the caller closed its connection
        """
        try:
            if self._response is None:
                self._response = web.StreamResponse(status=status, headers=headers)
                await self._response.prepare(self._request)
            await self._response.write(data)
        except ConnectionError as error:
            raise CallerDisconnected from error

    async def finish(self, status: int, headers: CIMultiDict[str]) -> web.StreamResponse:
        """
        Finish the response as complete.

        :param status: HTTP status, used if no event was written
        :param headers: headers for the caller, used if no event was written
        :return: the response
        """
        await self.write(status, headers, b"")
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    def abort(self) -> web.StreamResponse:
        """
        Reset the connection, so that the caller does not take the response for complete.

        :return: the response
        """
        assert self._response is not None
        if self._request.transport is not None:
            self._request.transport.abort()
        return self._response


__all__ = [
    "CallerDisconnected",
    "EventWriter",
    "ErrorResponse",
    "build_error_response",
    "build_complete_response",
]
