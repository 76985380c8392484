"""Stream of the frames of one attempt to the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.agent_protocol.frames import FrameEncoder, ResponseHead

if TYPE_CHECKING:
    from aiohttp import web

    from boragetiller.errors import BoragetillerError


class RouterDisconnected(Exception):
    """The router closed the connection before the response was complete."""


class FrameStream:
    """Writes frames in order; the process sends keepalive frames on idle streams."""

    def __init__(self, response: web.StreamResponse, attempt: int) -> None:
        """
        Start a stream.

        :param response: HTTP response whose headers were sent
        :param attempt: number of the attempt
        """
        self._response = response
        self._encoder = FrameEncoder(attempt)
        self._sent_since_keepalive = False
        self._ended = False

    async def send_head(self, head: ResponseHead) -> None:
        """Send status, content type and headers."""
        await self._write(self._encoder.encode_head(head))

    async def send_data(self, payload: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._encoder.encode_data(payload))

    async def send_end(self) -> None:
        """Send the end marker."""
        self._ended = True
        await self._write(self._encoder.encode_end())

    async def send_error(self, error: BoragetillerError) -> None:
        """Send code and verdict of an error, which ends the stream."""
        self._ended = True
        await self._write(self._encoder.encode_error(error))

    async def send_keepalive(self) -> None:
        """Send a keepalive frame unless another frame was sent since the last call."""
        if not self._sent_since_keepalive and not self._ended:
            await self._write(self._encoder.encode_keepalive())
        self._sent_since_keepalive = False

    async def _write(self, frame: bytes) -> None:
        self._sent_since_keepalive = True
        try:
            await self._response.write(frame)
        except ConnectionError as error:
            raise RouterDisconnected from error


__all__ = ["FrameStream", "RouterDisconnected"]
