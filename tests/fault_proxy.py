"""A TCP proxy that can slow down, reset or stall its connections."""

from __future__ import annotations

import asyncio
import contextlib

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 16_384
MAX_LATE_S = 0.1  # by which a busy host may resume a link too late without loss of its rate


class _Link:
    """One direction of a link, with a rate that all connections share."""

    def __init__(self, bytes_per_s: float | None) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def wait(self, size: int) -> None:
        """Wait until a number of bytes has passed; the loop's own delays are made up for."""
        if self._bytes_per_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now_s - MAX_LATE_S) + size / self._bytes_per_s
        await asyncio.sleep(max(0.0, self._free_s - now_s))


class FaultProxy:
    """Forwards bytes in both directions between a free port and a target port."""

    def __init__(self, target_port: int, bytes_per_s: float | None = None) -> None:
        """
        Create the proxy; it is inactive until started.

        :param target_port: TCP port to which connections are forwarded
        :param bytes_per_s: rate of all connections together in each direction, None for no limit
        """
        self._target_port = target_port
        self._up, self._down = _Link(bytes_per_s), _Link(bytes_per_s)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._forward_tasks: set[asyncio.Task[None]] = set()
        self._forwarding_enabled = asyncio.Event()
        self._forwarding_enabled.set()

    @property
    def port(self) -> int:
        """:return: TCP port of the proxy"""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def close(self) -> None:
        """Reset all connections and stop listening."""
        assert self._server is not None
        self._forwarding_enabled.set()
        self._server.close()
        self.reset_connections()
        await asyncio.gather(*self._forward_tasks, return_exceptions=True)
        await self._server.wait_closed()

    def reset_connections(self) -> None:
        """Reset each open connection; new connections are accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self) -> None:
        """Forward no bytes until :meth:`resume`, as if one side were suspended."""
        self._forwarding_enabled.clear()

    def resume(self) -> None:
        """Forward bytes again."""
        self._forwarding_enabled.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                LOOPBACK, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        links = ((reader, upstream_writer, self._up), (upstream_reader, writer, self._down))
        for source, sink, link in links:
            task = asyncio.create_task(self._forward(source, sink, link))
            self._forward_tasks.add(task)
            task.add_done_callback(self._forward_tasks.discard)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, link: _Link
    ) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while chunk := await source.read(CHUNK_BYTES):
                await self._forwarding_enabled.wait()
                await link.wait(len(chunk))
                sink.write(chunk)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)


__all__ = ["FaultProxy"]
