"""Write answers to callers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.tables.direct_attempts import CompleteResponse


@attrs.frozen(kw_only=True)
class ErrorResponse:
    """An answer that the router makes itself."""

    status: int
    code: str  # of the error, stable
    retry_after_s: float | None = None


def whole_response(answer: CompleteResponse) -> web.Response:
    """
    Build the response for a backend server's whole answer.

    :param answer: the answer
    :return: status, headers and body unchanged
    """
    return web.Response(status=answer.status, headers=answer.headers, body=answer.body)


def error_response(answer: ErrorResponse, request_id: str, dialect: Dialect) -> web.Response:
    """
    Build the response for an answer of the router.

    :param answer: status, code and when to come back
    :param request_id: id of the request, empty when it has none
    :param dialect: words of the platform
    :return: the response, with the code in its body
    """
    headers = dialect.error_response_headers(request_id)
    if answer.retry_after_s is not None:
        headers["Retry-After"] = f"{answer.retry_after_s:.3f}"
    body = json.dumps({"error": {"code": answer.code, "request_id": request_id}}).encode()
    return web.Response(
        status=answer.status, headers=headers, body=body, content_type="application/json"
    )


class CallerDisconnected(Exception):
    """The caller closed its connection; nothing more is to be sent anywhere for it."""


class EventSink:
    """Relays events to a caller; its head is sent with the first event."""

    def __init__(self, request: web.BaseRequest) -> None:
        """:param request: the caller's request"""
        self._request = request
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """:return: whether the caller has a part of the answer"""
        return self._response is not None

    async def write(self, status: int, headers: CIMultiDict[str], data: bytes) -> None:
        """
        Relay whole events.

        :param status: status of the backend server, for the first write
        :param headers: headers for the caller, for the first write
        :param data: bytes of whole events
        :raises CallerGone: the caller has left
        """
        try:
            if self._response is None:
                self._response = web.StreamResponse(status=status, headers=headers)
                await self._response.prepare(self._request)
            await self._response.write(data)
        except ConnectionError as error:
            raise CallerDisconnected from error

    async def end(self, status: int, headers: CIMultiDict[str]) -> web.StreamResponse:
        """
        End the answer as complete.

        :param status: status of the backend server, for an answer without events
        :param headers: headers for the caller, for an answer without events
        :return: the response
        """
        await self.write(status, headers, b"")
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    def abort(self) -> web.StreamResponse:
        """
        Cut the connection, so that the answer does not look complete.

        :return: the response
        """
        assert self._response is not None
        if self._request.transport is not None:
            self._request.transport.abort()
        return self._response


__all__ = ["CallerDisconnected", "EventSink", "ErrorResponse", "error_response", "whole_response"]
