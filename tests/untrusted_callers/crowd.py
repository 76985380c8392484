"""Crowds of callers that send what no well-behaved caller sends, and the state of a process."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
OVERSIZED_BYTES = 4 * MAX_BODY_BYTES  # sent by a caller whose head or body is over the limit
ANNOUNCED_BYTES = 900_000_000
PIECE_BYTES = 65_536
TINY_BODY_BYTES = 262_144  # of a body in chunks of one byte, which is six times that on the wire
SOCKET_BUFFER_BYTES = (
    65_536  # what the kernel takes for a caller must not hide what a process reads
)
HANG_GUARD_S = 60.0  # only ends a test whose process hangs; no check depends on it


@attrs.frozen
class Target:
    """Where a crowd connects, and the head of a valid request up to the fields of its body."""

    port: int
    head: bytes


def endless_head(_target: Target) -> Iterator[bytes]:
    """:return: a head of short lines without end"""
    yield b"POST /stock/1 HTTP/1.1\r\n"
    piece = b"".join(b"X-Line-%d: abcdefgh\r\n" % number for number in range(64))
    for _ in range(OVERSIZED_BYTES // len(piece)):
        yield piece


def endless_line(_target: Target) -> Iterator[bytes]:
    """:return: a head whose line has no end"""
    yield b"POST /stock/1 HTTP/1.1\r\nX-Line: "
    for _ in range(OVERSIZED_BYTES // PIECE_BYTES):
        yield b"a" * PIECE_BYTES


def large_head(target: Target) -> Iterator[bytes]:
    """:return: a complete head of twice the limit"""
    count = 2 * MAX_HEAD_BYTES // 1_000
    lines = b"".join(b"X-Line-%d: %s\r\n" % (number, b"a" * 1_000) for number in range(count))
    yield target.head + lines + b"Content-Length: 0\r\n\r\n"


def empty_lines(_target: Target) -> Iterator[bytes]:
    """:return: empty lines without end in place of a request"""
    for _ in range(OVERSIZED_BYTES // PIECE_BYTES):
        yield b"\r\n" * (PIECE_BYTES // 2)


def large_chunks(target: Target) -> Iterator[bytes]:
    """:return: a chunked body within the limit that stops short of its end"""
    yield target.head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        yield b"%x\r\n%s\r\n" % (PIECE_BYTES, b"a" * PIECE_BYTES)


def tiny_chunks(target: Target) -> Iterator[bytes]:
    """:return: a chunked body of one-byte chunks that stops short of its end"""
    yield target.head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(TINY_BODY_BYTES // 4_096):
        yield b"1\r\na\r\n" * 4_096


def announced_body(target: Target) -> Iterator[bytes]:
    """:return: a body whose length is announced far over the limit"""
    yield target.head + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES
    for _ in range(OVERSIZED_BYTES // PIECE_BYTES):
        yield b"a" * PIECE_BYTES


def sent_body(target: Target) -> Iterator[bytes]:
    """:return: a chunked body that is far over the limit"""
    yield target.head + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(OVERSIZED_BYTES // PIECE_BYTES):
        yield b"%x\r\n%s\r\n" % (PIECE_BYTES, b"a" * PIECE_BYTES)


def unfinished_head(_target: Target) -> Iterator[bytes]:
    """:return: the first bytes of a head"""
    yield b"POST /stock/1 HTTP/1.1\r\n"


def pipelined_head(target: Target) -> Iterator[bytes]:
    """:return: a complete request and, in the same write, most of a head within the limit"""
    lines = b"A:\r\n" * (MAX_HEAD_BYTES // 4 - 196)
    yield target.head + b"Content-Length: 0\r\n\r\nPOST /stock/1 HTTP/1.1\r\n" + lines


def unread_response(target: Target) -> Iterator[bytes]:
    """:return: a request whose response the caller does not read"""
    head = target.head.replace(b"/stock/1 ", b"/stock/large ")
    yield head + b"Content-Length: 0\r\n\r\n"


FORMS: dict[str, Callable[[Target], Iterator[bytes]]] = {
    form.__name__: form
    for form in (
        endless_head,
        endless_line,
        large_head,
        empty_lines,
        large_chunks,
        tiny_chunks,
        announced_body,
        sent_body,
        unread_response,
    )
}


class Crowd:
    """Callers that send one form at once and keep their connections open."""

    def __init__(self, target: Target) -> None:
        """:param target: where to connect"""
        self._target = target
        self._sockets: list[socket.socket] = []
        self.sent_all = 0  # callers that could send all they had

    async def send(self, form: Callable[[Target], Iterator[bytes]], callers: int) -> None:
        """
        Send until each caller has sent all or was cut off.

        :param form: builds what a caller sends
        :param callers: number of callers
        """
        async with asyncio.timeout(HANG_GUARD_S):
            await asyncio.gather(*(self._send_one(form) for _ in range(callers)))

    async def _send_one(self, form: Callable[[Target], Iterator[bytes]]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        sock.setblocking(False)
        self._sockets.append(sock)
        with suppress(OSError):  # the process may close the connection at any time
            await loop.sock_connect(sock, ("127.0.0.1", self._target.port))
            for piece in form(self._target):
                await loop.sock_sendall(sock, piece)
            self.sent_all += 1
            if form is unread_response:
                await loop.sock_recv(sock, 1)  # the rest stays unread

    def close(self) -> None:
        """Close the connections."""
        for sock in self._sockets:
            sock.close()


async def receive_status(target: Target, body: bytes) -> int:
    """
    Send one ordinary request.

    :param target: where to connect
    :param body: body of the request
    :return: status of the response
    """
    async with asyncio.timeout(HANG_GUARD_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
        try:
            writer.write(target.head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        finally:
            writer.transport.abort()


def read_memory_kb(pid: int, field: str) -> int:
    """
    Read a field of /proc/PID/status.

    :param pid: the process
    :param field: VmRSS, or VmHWM for its highest value
    :return: memory in KB
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise ValueError(f"{field}: not in the status of process {pid}")


def count_descriptors(pid: int) -> int:
    """:return: number of open descriptors of a process"""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


__all__ = [
    "Crowd",
    "FORMS",
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "Target",
    "count_descriptors",
    "read_memory_kb",
    "receive_status",
    "unfinished_head",
]
