"""A TCP proxy whose connections a test can cut or hold."""

from __future__ import annotations

import asyncio
import contextlib

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536


class FaultProxy:
    """Passes bytes both ways between a free port and a target port."""

    def __init__(self, target_port: int) -> None:
        """:param target_port: where connections go"""
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._pumps: set[asyncio.Task[None]] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()

    @property
    def port(self) -> int:
        """:return: TCP port of the proxy"""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def close(self) -> None:
        """Cut everything and stop listening."""
        assert self._server is not None
        self._flowing.set()
        self._server.close()
        self.cut()
        await asyncio.gather(*self._pumps, return_exceptions=True)
        await self._server.wait_closed()

    def cut(self) -> None:
        """Reset each open connection; new ones are served."""
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self) -> None:
        """Pass no byte on until released, as if one side were paused."""
        self._flowing.clear()

    def release(self) -> None:
        """Pass bytes on again."""
        self._flowing.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._pumps.add(task)
            task.add_done_callback(self._pumps.discard)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while chunk := await source.read(CHUNK_BYTES):
                await self._flowing.wait()
                sink.write(chunk)
                await sink.drain()
        sink.close()
        self._writers.discard(sink)


__all__ = ["FaultProxy"]
