"""Writers of the response to a caller: streamed as it arrives, or sent when it is complete."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from boragetiller.router.engine_protocol import EngineTranscript, assemble_response
from boragetiller.router.error_responses import (
    NO_RETRY_HEADERS,
    build_error_body,
    build_error_response,
)

if TYPE_CHECKING:
    from boragetiller.agent_protocol.frames import ResponseHead
    from boragetiller.errors import BoragetillerError

FIRST_ERROR_STATUS = 400
EVENT_STREAM = "text/event-stream"
BODILESS_STATUSES = (204, 304)


class ResponseWriter(Protocol):
    """Receives the parts of one response in order."""

    @property
    def response_started(self) -> bool:
        """:return: whether part of the response was sent to the caller"""
        ...

    async def write_head(self, head: ResponseHead) -> None:
        """Write status and headers of the first attempt that has them."""
        ...

    async def write_data(self, chunk: bytes) -> None:
        """Write a part of the body."""
        ...

    async def finish(self) -> web.StreamResponse:
        """Finish a complete response."""
        ...

    async def finish_with_error(self, error: BoragetillerError) -> web.StreamResponse:
        """Finish with an error, so that the caller cannot mistake the response for complete."""
        ...


class StreamingResponseWriter:
    """Sends the response to the caller as it arrives."""

    def __init__(self, request: web.Request, request_id: str, *, may_repeat: bool) -> None:
        """
        Prepare the writer.

        :param request: the caller's request
        :param request_id: id of the request that the caller receives
        :param may_repeat: whether the caller may repeat the request even if it ran
        """
        self._request = request
        self._request_id = request_id
        self._may_repeat = may_repeat
        self._response: web.StreamResponse | None = None

    @property
    def response_started(self) -> bool:
        """:return: whether part of the response was sent to the caller"""
        return self._response is not None

    async def write_head(self, head: ResponseHead) -> None:
        """Send status and headers, unless they were sent already."""
        if self._response is not None:
            return
        headers = {**head.headers, "x-request-id": self._request_id}
        headers.update(_choose_retry_headers(head, may_repeat=self._may_repeat))
        if head.content_type:
            headers["Content-Type"] = head.content_type
        response = web.StreamResponse(status=head.status, headers=headers)
        if head.status not in BODILESS_STATUSES and self._request.method != "HEAD":
            response.enable_chunked_encoding()
        self._response = response
        await response.prepare(self._request)

    async def write_data(self, chunk: bytes) -> None:
        """Send a part of the body."""
        assert self._response is not None
        await self._response.write(chunk)

    async def finish(self) -> web.StreamResponse:
        """Send the end of the body."""
        assert self._response is not None
        await self._response.write_eof()
        return self._response

    async def finish_with_error(self, error: BoragetillerError) -> web.StreamResponse:
        """Send an error response, or abort the connection if the body has started."""
        if self._response is None:
            return build_error_response(error, self._request_id, may_repeat=self._may_repeat)
        if self._response.content_type == EVENT_STREAM:
            event = json.dumps(build_error_body(error)).encode()
            await self._response.write(b"data: " + event + b"\n\n")
        if self._request.transport is not None:
            # a missing last chunk shows the caller that the body is truncated
            self._request.transport.close()
        return self._response


class BufferedResponseWriter:
    """Collects an engine's events and sends one JSON body."""

    def __init__(self, transcript: EngineTranscript, request_id: str, *, may_repeat: bool) -> None:
        """
        Prepare the writer.

        :param transcript: events of the engine, appended by the dispatcher
        :param request_id: id of the request that the caller receives
        :param may_repeat: whether the caller may repeat the request even if it ran
        """
        self._may_repeat = may_repeat
        self._transcript = transcript
        self._request_id = request_id
        self._head: ResponseHead | None = None
        self._body = bytearray()

    @property
    def response_started(self) -> bool:
        """:return: False, the caller receives nothing before the end"""
        return False

    async def write_head(self, head: ResponseHead) -> None:
        """Keep status and headers."""
        self._head = head

    async def write_data(self, chunk: bytes) -> None:
        """Keep a part of a body that is not an event stream."""
        if self._head is not None and not self._head.content_type.startswith(EVENT_STREAM):
            self._body += chunk

    async def finish(self) -> web.StreamResponse:
        """Send the assembled body."""
        assert self._head is not None
        headers = {"x-request-id": self._request_id}
        headers.update(_choose_retry_headers(self._head, may_repeat=self._may_repeat))
        if self._head.content_type.startswith(EVENT_STREAM):
            body, content_type = assemble_response(self._transcript), "application/json"
        else:
            body, content_type = bytes(self._body), self._head.content_type
        headers["Content-Type"] = content_type
        return web.Response(status=self._head.status, body=body, headers=headers)

    async def finish_with_error(self, error: BoragetillerError) -> web.StreamResponse:
        """Send the error."""
        return build_error_response(error, self._request_id, may_repeat=self._may_repeat)


def _choose_retry_headers(head: ResponseHead, *, may_repeat: bool) -> dict[str, str]:
    is_error = head.status >= FIRST_ERROR_STATUS
    return NO_RETRY_HEADERS if is_error and not may_repeat else {}


__all__ = ["ResponseWriter", "StreamingResponseWriter", "BufferedResponseWriter"]
