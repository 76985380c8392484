"""Callers on raw sockets that stop reading, and time that a test moves forward."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import attrs

from boragetiller.clock import SystemClock
from tests.gateway.harness import HOST, KEY, RouterHarness, wait_until
from tests.gateway.test_streams import PROMPT

if TYPE_CHECKING:
    import unittest

# Small and fixed, so that a caller that does not read holds up the router at its first event.
SOCKET_BUFFER_BYTES = 32_768
DEADLINE_MS = 60_000


class SkippedTime:
    """Moves the loop and the clocks of this process forward, and fires what is due by then."""

    def __init__(self, test: unittest.IsolatedAsyncioTestCase) -> None:
        """:param test: test that runs in the loop; its end undoes all"""
        loop = asyncio.get_running_loop()
        self.skipped_ms = 0
        loop_time, now_ms = loop.time, SystemClock().now_ms
        loop.time = lambda: loop_time() + self.skipped_ms / 1_000  # type: ignore[method-assign]
        clock = patch.object(SystemClock, "now_ms", lambda _: now_ms() + self.skipped_ms)
        clock.start()
        test.addCleanup(clock.stop)

    async def skip(self, time_ms: int) -> None:
        """:param time_ms: milliseconds to move forward"""
        self.skipped_ms += time_ms
        for _ in range(100):  # steps of the tasks whose time limits are over
            await asyncio.sleep(0)


@attrs.frozen
class ReceivedStream:
    """What a caller has received."""

    body: bytes
    complete: bool  # whether the last chunk has arrived
    raw: bytes = b""  # as received

    @property
    def events(self) -> list[tuple[int, str]]:
        """:return: id and first word of the data of each event"""
        lines = self.body.split(b"\n")
        ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
        words = [line.split(b" ")[1].decode() for line in lines if line.startswith(b"data: ")]
        return list(zip(ids, words, strict=True))


class StallingCaller:
    """Sends a request and reads nothing until it is told to."""

    def __init__(self, harness: RouterHarness) -> None:
        """:param harness: router that serves the caller; see `open_narrow_socket`"""
        self._harness = harness
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._socket.setblocking(False)

    async def send(self, path: str, request_id: str = "slow") -> None:
        """
        Send a request.

        :param path: its path
        :param request_id: its id
        """
        port = self._harness.router.caller_listener.port
        headers = {
            "Host": HOST,
            "X-Boragetiller-Attempt-Id": request_id,
            "X-Boragetiller-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {KEY}",
            "Connection": "close",
            **{name.replace("_", "-"): value for name, value in PROMPT.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, ("127.0.0.1", port))
        await loop.sock_sendall(self._socket, f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())

    async def wait_until_blocked(self) -> None:
        """Wait until the router waits for this caller, the only one."""
        # Bytes that are held alone may be room for a response that is still being read.
        server: Any = self._harness.router.caller_listener._runner.server
        await wait_until(lambda: any(each.use.unread_bytes for each in server.connections))

    async def take(self, size: int) -> int:
        """
        Read a part of the response.

        :param size: bytes
        :return: bytes that were read
        """
        return len(await asyncio.get_running_loop().sock_recv(self._socket, size))

    async def read(self) -> ReceivedStream:
        """:return: the response up to its end, or to the reset of the connection"""
        loop, received = asyncio.get_running_loop(), bytearray()
        try:
            while data := await loop.sock_recv(self._socket, 1_048_576):
                received += data
        except ConnectionError:
            pass
        finally:
            self.close()
        stream = _parse_chunks(bytes(received).partition(b"\r\n\r\n")[2])
        return attrs.evolve(stream, raw=bytes(received))

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def open_narrow_socket() -> socket.socket:
    """:return: a listening socket of a router whose connections take few bytes"""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return listening


def _parse_chunks(data: bytes) -> ReceivedStream:
    body = bytearray()
    while b"\r\n" in data:
        line, _, data = data.partition(b"\r\n")
        if not line.isalnum():
            break  # not in chunks
        size = int(line, 16)
        if size == 0:
            return ReceivedStream(bytes(body), complete=True)
        body += data[:size]
        data = data[size + 2 :]
    return ReceivedStream(bytes(body), complete=False)


def count_metric(harness: RouterHarness, name: str, **labels: str) -> float:
    """
    Get the value of a counter.

    :param harness: the router
    :param name: its name without prefix and suffix
    :param labels: its labels
    :return: the value, 0 if nothing was counted
    """
    registry: Any = harness.router.metrics.registry
    value: float | None = registry.get_sample_value(f"boragetiller_{name}_total", labels)
    return value or 0.0


__all__ = [
    "ReceivedStream",
    "SkippedTime",
    "StallingCaller",
    "count_metric",
    "open_narrow_socket",
]
