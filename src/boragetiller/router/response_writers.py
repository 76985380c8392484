"""Where an answer goes: streamed through, or collected first."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from boragetiller.router.engine_protocol import EngineTranscript, assemble_response
from boragetiller.router.error_responses import error_body, error_response

if TYPE_CHECKING:
    from boragetiller.agent_protocol.frames import ResponseHead
    from boragetiller.errors import BoragetillerError

EVENT_STREAM = "text/event-stream"
BODILESS_STATUSES = (204, 304)


class ResponseWriter(Protocol):
    """Takes the parts of one answer in order."""

    @property
    def response_started(self) -> bool:
        """:return: whether the caller has part of the answer"""
        ...

    async def write_head(self, head: ResponseHead) -> None:
        """Take status and content type of the first attempt that has them."""
        ...

    async def write_data(self, chunk: bytes) -> None:
        """Take a part of the body."""
        ...

    async def finish(self) -> web.StreamResponse:
        """Finish a whole answer."""
        ...

    async def finish_with_error(self, error: BoragetillerError) -> web.StreamResponse:
        """Finish with an error, so that the caller cannot take the answer for whole."""
        ...


class StreamingResponseWriter:
    """Passes the answer on as it arrives."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        """
        Prepare the sink.

        :param request: the caller's request
        :param request_id: id that the caller sees
        """
        self._request = request
        self._request_id = request_id
        self._response: web.StreamResponse | None = None

    @property
    def response_started(self) -> bool:
        """:return: whether the caller has part of the answer"""
        return self._response is not None

    async def write_head(self, head: ResponseHead) -> None:
        """Send status and headers, once."""
        if self._response is not None:
            return
        headers = {**head.headers, "x-request-id": self._request_id}
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
        """Send an error answer, or break off a body that has begun."""
        if self._response is None:
            return error_response(error, self._request_id)
        if self._response.content_type == EVENT_STREAM:
            event = json.dumps(error_body(error)).encode()
            await self._response.write(b"data: " + event + b"\n\n")
        if self._request.transport is not None:
            self._request.transport.close()  # a missing last chunk shows that the body is cut
        return self._response


class BufferedResponseWriter:
    """Collects an engine's events and answers with one JSON body."""

    def __init__(self, transcript: EngineTranscript, request_id: str) -> None:
        """
        Prepare the sink.

        :param transcript: filled by the relay
        :param request_id: id that the caller sees
        """
        self._transcript = transcript
        self._request_id = request_id
        self._head: ResponseHead | None = None
        self._body = bytearray()

    @property
    def response_started(self) -> bool:
        """:return: False, the caller has nothing before the end"""
        return False

    async def write_head(self, head: ResponseHead) -> None:
        """Keep the status."""
        self._head = head

    async def write_data(self, chunk: bytes) -> None:
        """Keep a body that is no event stream."""
        if self._head is not None and not self._head.content_type.startswith(EVENT_STREAM):
            self._body += chunk

    async def finish(self) -> web.StreamResponse:
        """Answer with the assembled body."""
        assert self._head is not None
        headers = {"x-request-id": self._request_id}
        if self._head.content_type.startswith(EVENT_STREAM):
            body, content_type = assemble_response(self._transcript), "application/json"
        else:
            body, content_type = bytes(self._body), self._head.content_type
        headers["Content-Type"] = content_type
        return web.Response(status=self._head.status, body=body, headers=headers)

    async def finish_with_error(self, error: BoragetillerError) -> web.StreamResponse:
        """Answer with the error."""
        return error_response(error, self._request_id)


__all__ = ["ResponseWriter", "StreamingResponseWriter", "BufferedResponseWriter"]
