"""A backend server whose responses are written byte by byte by a script."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Script = Callable[["ReceivedRequest", asyncio.StreamWriter], Awaitable[None]]


@attrs.frozen
class ReceivedRequest:
    """A request that the server has received."""

    method: str
    path: str
    headers: dict[str, str]  # by lower-case name
    body: bytes
    connection: int  # index of its connection

    @property
    def request_id(self) -> str:
        """:return: ID of the request"""
        return self.headers["x-boragetiller-attempt-id"]


CACHE_PATH = "/kv-list"


class ScriptedEngine:
    """Reads requests and runs a script for each response; lists its cache without the script."""

    def __init__(self, script: Script) -> None:
        """:param script: writes the response to each request"""
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.cached_parts: list[tuple[str, int]] = []  # IDs and tokens
        self.cache_reads = 0
        self.cache_response: bytes | None = None  # instead of the list
        self.connections = 0
        self.closed_connections = 0  # connections closed by the client
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop and reset all connections."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        number, self.connections = self.connections, self.connections + 1
        try:
            while True:
                request = await _read_request(reader, number)
                if request.path == CACHE_PATH:
                    self.cache_reads += 1
                    writer.write(self.cache_response or build_cache_list(self.cached_parts))
                    continue
                self.requests.append(request)
                await self.script(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        finally:
            writer.transport.abort()
            self._writers.discard(writer)


async def _read_request(reader: asyncio.StreamReader, number: int) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, path, _ = head[0].split(" ")
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, path, headers, body, number)


def build_response(
    request_id: str,
    body: bytes = b"ok",
    *,
    status: str = "200 OK",
    seal: str = "seal",
    extra: str = "",
) -> bytes:
    """
    Build a complete response.

    :param request_id: request ID in the header
    :param body: response body
    :param status: status code and reason
    :param seal: value of the seal header, empty to leave it out
    :param extra: additional header lines, each with CR LF
    :return: the response as bytes
    """
    sealed = f"X-Boragetiller-Response-Seal: {seal}\r\n" if seal else ""
    head = f"HTTP/1.1 {status}\r\nX-Boragetiller-Attempt-Id: {request_id}\r\n{sealed}{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def build_cache_list(cached_parts: list[tuple[str, int]]) -> bytes:
    """
    Build the response with the contents of a prefix cache.

    :param cached_parts: IDs and tokens of the cached prompt parts
    :return: the response as bytes
    """
    entries = [["", part, tokens, "m"] for part, tokens in cached_parts]
    body = json.dumps({"epoch": 1, "next": 1, "held": entries}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def build_stream_header(request_id: str, seal: str = "seal") -> bytes:
    """
    Build the header of a chunked event stream.

    :param request_id: request ID in the header
    :param seal: value of the seal header
    :return: the header as bytes
    """
    return (
        f"HTTP/1.1 200 OK\r\nX-Boragetiller-Attempt-Id: {request_id}\r\n"
        f"X-Boragetiller-Response-Seal: {seal}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def build_chunk(data: bytes) -> bytes:
    """
    Build a chunk of a chunked body.

    :param data: data of the chunk, empty for the last one
    :return: the chunk as bytes
    """
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def build_event(number: int) -> bytes:
    """
    Build an event.

    :param number: ID of the event
    :return: the event as bytes
    """
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """
    Reset the connection, so that the client gets an error instead of an end of the stream.

    :param writer: writer of the connection
    """
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


__all__ = [
    "ReceivedRequest",
    "ScriptedEngine",
    "build_response",
    "build_chunk",
    "build_event",
    "reset",
    "build_stream_header",
]
