"""A backend server that answers from a script, byte for byte."""

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
    """A request as the server read it."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    connection: int  # number of the connection, from 0

    @property
    def request_id(self) -> str:
        """:return: id of the request"""
        return self.headers["x-boragetiller-attempt-id"]


CACHE_PATH = "/kv-list"


class ScriptedEngine:
    """Reads requests and lets a script write the answers; tells its cache by itself."""

    def __init__(self, script: Script) -> None:
        """:param script: writes the answer to each request"""
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.held: list[tuple[str, int]] = []  # parts and tokens that its cache holds
        self.cache_reads = 0
        self.connections = 0
        self.ended = 0  # connections that the other side closed
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stop and drop all connections."""
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
                    writer.write(cache_list(self.held))
                    continue
                self.requests.append(request)
                await self.script(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1
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


def answer(
    request_id: str,
    body: bytes = b"ok",
    *,
    status: str = "200 OK",
    seal: str = "seal",
    extra: str = "",
) -> bytes:
    """
    Build a whole answer.

    :param request_id: id that it bears
    :param body: its body
    :param status: status and reason
    :param seal: receipt, empty for none
    :param extra: more header lines, each with its end
    :return: bytes
    """
    sealed = f"X-Boragetiller-Response-Seal: {seal}\r\n" if seal else ""
    head = f"HTTP/1.1 {status}\r\nX-Boragetiller-Attempt-Id: {request_id}\r\n{sealed}{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def cache_list(held: list[tuple[str, int]]) -> bytes:
    """
    Build the answer that tells what a cache holds.

    :param held: ids of parts and their tokens
    :return: bytes
    """
    entries = [["", part, tokens, "m"] for part, tokens in held]
    body = json.dumps({"epoch": 1, "next": 1, "held": entries}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def stream_head(request_id: str, seal: str = "seal") -> bytes:
    """
    Build the head of an event stream in chunks.

    :param request_id: id that it bears
    :param seal: receipt
    :return: bytes
    """
    return (
        f"HTTP/1.1 200 OK\r\nX-Boragetiller-Attempt-Id: {request_id}\r\n"
        f"X-Boragetiller-Response-Seal: {seal}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """
    Build a chunk of a chunked body.

    :param data: its bytes; none for the last chunk
    :return: bytes
    """
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """
    Build an event.

    :param number: its id
    :return: bytes
    """
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """
    Reset the connection, so that the other side gets an error instead of an end.

    :param writer: the connection
    """
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


__all__ = ["ReceivedRequest", "ScriptedEngine", "answer", "chunk", "event", "reset", "stream_head"]
