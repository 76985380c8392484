"""The frames of one attempt on their way to the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.relay.frames import FrameWriter, Head

if TYPE_CHECKING:
    from aiohttp import web

    from boragetiller.errors import BoragetillerError


class RouterGone(Exception):
    """The router closed the connection; nobody waits for the answer here."""


class FrameStream:
    """Writes frames in order; a silent stream is kept alive by the process tick."""

    def __init__(self, response: web.StreamResponse, attempt: int) -> None:
        """
        Begin a stream.

        :param response: prepared response
        :param attempt: number of the attempt
        """
        self._response = response
        self._writer = FrameWriter(attempt)
        self._wrote_since_tick = False
        self._ended = False

    async def head(self, head: Head) -> None:
        """Send status and content type."""
        await self._write(self._writer.head(head))

    async def data(self, payload: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._writer.data(payload))

    async def end(self) -> None:
        """Send the end marker."""
        self._ended = True
        await self._write(self._writer.end())

    async def fail(self, error: BoragetillerError) -> None:
        """Send code and verdict of a failure."""
        self._ended = True
        await self._write(self._writer.fail(error))

    async def keepalive(self) -> None:
        """Send a keepalive unless something was sent since the last call."""
        if not self._wrote_since_tick and not self._ended:
            await self._write(self._writer.keepalive())
        self._wrote_since_tick = False

    async def _write(self, frame: bytes) -> None:
        self._wrote_since_tick = True
        try:
            await self._response.write(frame)
        except ConnectionError as error:
            raise RouterGone from error


__all__ = ["FrameStream", "RouterGone"]
