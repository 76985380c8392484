"""An HTTP server on raw TCP that injects a fault at a given point of the response."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LOOPBACK = "127.0.0.1"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n"
SERVER_ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
EMPTY_STREAM_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n"
    b"data: [DONE]\n\n"
)
RESPONSE_BODY = b"0123456789"


class Fault(Enum):
    """The fault that the server injects."""

    NONE = "none"
    RESET_BEFORE_FIRST_BYTE = "reset before first byte"
    RESET_IN_BODY = "reset in body"
    TRUNCATED = "truncated"
    SILENT = "silent"
    SILENT_IN_BODY = "silent in body"
    SERVER_ERROR = "server error"
    UNAVAILABLE = "unavailable"
    NO_EVENTS = "no events"


class FaultyServer:
    """Injects a fault into the first `count` requests and serves later ones."""

    def __init__(self, fault: Fault, count: int = 1_000_000) -> None:
        """
        Create the server.

        :param fault: fault to inject
        :param count: number of requests that fail
        """
        self.fault = fault
        self.failures_left = count
        self.requests = 0
        self.refusal_status = 503  # of Fault.UNAVAILABLE
        self.on_request: Callable[[], Awaitable[None]] | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def close(self) -> None:
        """Reset the open connections and stop listening."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self._server.wait_closed()

    @property
    def port(self) -> int:
        """:return: TCP port"""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    @property
    def url(self) -> str:
        """:return: base URL"""
        return f"http://{LOOPBACK}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await _read_request(reader)
                    self.requests += 1
                    if self.on_request is not None:
                        await self.on_request()
                    fault = self.fault if self.failures_left > 0 else Fault.NONE
                    self.failures_left -= 1
                    if not await self._respond(fault, writer, reader):
                        return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, fault: Fault, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        match fault:
            case Fault.NONE:
                writer.write(RESPONSE_HEAD + RESPONSE_BODY)
            case Fault.SERVER_ERROR:
                writer.write(SERVER_ERROR_RESPONSE)
            case Fault.NO_EVENTS:
                writer.write(EMPTY_STREAM_RESPONSE)
            case Fault.UNAVAILABLE:
                writer.write(_build_refusal(self.refusal_status))
            case Fault.RESET_BEFORE_FIRST_BYTE:
                writer.transport.abort()
            case Fault.RESET_IN_BODY | Fault.TRUNCATED | Fault.SILENT_IN_BODY:
                writer.write(RESPONSE_HEAD + RESPONSE_BODY[:4])
                await writer.drain()
        if fault in (Fault.SILENT, Fault.SILENT_IN_BODY):
            await reader.read()  # until the client closes the connection
            return False
        if fault is Fault.RESET_IN_BODY:
            await asyncio.sleep(0.02)  # the client receives the first bytes before the reset
            writer.transport.abort()
        return fault in (Fault.NONE, Fault.SERVER_ERROR, Fault.UNAVAILABLE, Fault.NO_EVENTS)


def _build_refusal(status: int) -> bytes:
    head = f"HTTP/1.1 {status} Refused\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\n"
    return head.encode() + b"busy"


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
        if line.startswith(b"transfer-encoding: chunked"):
            await reader.readuntil(b"0\r\n\r\n")


__all__ = ["RESPONSE_BODY", "Fault", "FaultyServer"]
