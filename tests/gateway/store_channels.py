"""Virtual-time channels to the stand-in of the platform's store: silent ones, narrow links."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import aiohttp
from aiohttp.client_proto import ResponseHandler

from boragetiller.errors import StoreUnavailable
from tests.platform_adapter.store_server import PlatformStoreServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALL_MS = 4  # time that the store takes for a response
CHUNK_BYTES = 16_384  # of a response on a narrow link
HEAD_END = b"\r\n\r\n"


class ChannelStore(PlatformStoreServer):
    """The store behind channels that fall silent; its calls need no socket."""

    def __init__(self) -> None:
        """Create an empty store that responds."""
        super().__init__()
        self.calls: list[str] = []  # paths of the calls that arrived
        self.silent = False
        self.refused_status: int | None = None  # of all new calls, None to serve them
        self.link_bytes_per_s: int | None = None  # of the router's link, None for no limit
        self.sent_bytes = 0  # of the bodies of responses
        self._link_free_s = 0.0
        self._channels: set[StoreChannel] = set()

    @property
    def open_channels(self) -> int:
        """:return: number of channels that the clients have not closed"""
        return len(self._channels)

    def open_channel(self, handler: ResponseHandler) -> None:
        """:param handler: protocol of the client's side of a new channel"""
        channel = StoreChannel(self, handler)
        self._channels.add(channel)
        handler.connection_made(channel)

    def discard(self, channel: StoreChannel) -> None:
        """:param channel: a channel that the client closed"""
        self._channels.discard(channel)

    def stall_channels(self) -> None:
        """Let all open channels go silent for good, while new ones work."""
        for channel in self._channels:
            channel.stalled = True

    def set_silent(self, silent: bool) -> None:
        """:param silent: whether calls that wait or arrive are never answered"""
        self.silent = silent
        for channel in self._channels:
            channel.stalled |= silent and channel.waiting

    async def wait_for_link(self, size: int) -> None:
        """:param size: bytes to wait for; all channels share the link"""
        if self.link_bytes_per_s is None:
            return
        loop = asyncio.get_running_loop()
        self._link_free_s = max(self._link_free_s, loop.time()) + size / self.link_bytes_per_s
        await asyncio.sleep(self._link_free_s - loop.time())

    async def respond(self, target: str) -> tuple[int, dict[str, Any]]:
        """
        Execute a call.

        :param target: path and query
        :return: status and document of the response
        """
        parts = urlsplit(target)
        self.calls.append(parts.path)
        request: Any = SimpleNamespace(path=parts.path, query=dict(parse_qsl(parts.query)))
        await asyncio.sleep(CALL_MS / 1_000)
        if self.refused_status is not None:
            return self.refused_status, {}
        handler = self._watch if parts.path == "/kv-watch" else self._list
        return await handler(request)


class StoreChannel(asyncio.Transport):
    """The store's side of one channel."""

    def __init__(self, store: ChannelStore, handler: ResponseHandler) -> None:
        """
        Open the channel.

        :param store: the store
        :param handler: protocol of the client's side
        """
        super().__init__()
        self.stalled = False  # nothing arrives any more, in either direction
        self.waiting = False  # whether a call has no response yet
        self._store = store
        self._handler = handler
        self._head = b""
        self._closing = False
        self._task: asyncio.Task[None] | None = None

    def write(self, data: Any) -> None:
        """See :class:`asyncio.Transport`."""
        self._head += bytes(data)
        if HEAD_END not in self._head:
            return
        target, self._head = self._head.split(b" ", 2)[1].decode(), b""
        self.waiting = True
        self.stalled |= self._store.silent
        if not self.stalled:
            self._task = asyncio.create_task(self._respond(target))

    def writelines(self, list_of_data: Any) -> None:
        """See :class:`asyncio.Transport`."""
        self.write(b"".join(list_of_data))

    def is_closing(self) -> bool:
        """See :class:`asyncio.Transport`."""
        return self._closing

    def close(self) -> None:
        """See :class:`asyncio.Transport`."""
        if self._closing:
            return
        self._closing = True
        self._store.discard(self)
        if self._task is not None:
            self._task.cancel()
        asyncio.get_running_loop().call_soon(self._handler.connection_lost, None)

    abort = close

    def pause_reading(self) -> None:
        """See :class:`asyncio.Transport`."""

    def resume_reading(self) -> None:
        """See :class:`asyncio.Transport`."""

    async def _respond(self, target: str) -> None:
        status, document = await self._store.respond(target)
        if self.stalled or self._closing:
            return
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 {status} x\r\nStore-Era: {self._store.era}\r\nContent-Length: {len(body)}"
        data = head.encode() + HEAD_END + body
        chunk_bytes = CHUNK_BYTES if self._store.link_bytes_per_s else len(data)
        for start in range(0, len(data), chunk_bytes):
            chunk = data[start : start + chunk_bytes]
            await self._store.wait_for_link(len(chunk))
            if self.stalled or self._closing:
                return
            self._store.sent_bytes += len(chunk)
            self.waiting = start + chunk_bytes < len(data)
            self._handler.data_received(chunk)


class ChannelConnector(aiohttp.BaseConnector):
    """Takes the place of :class:`aiohttp.TCPConnector`, with its pool of idle connections."""

    def __init__(self, store: ChannelStore) -> None:
        """:param store: the store that all connections lead to"""
        super().__init__(limit=0)
        self._store = store

    async def _create_connection(self, *_args: Any) -> ResponseHandler:
        await asyncio.sleep(CALL_MS / 1_000)
        handler = ResponseHandler(asyncio.get_running_loop())
        self._store.open_channel(handler)
        return handler


async def count_failed_calls(call: Callable[[], Awaitable[object]]) -> int:
    """
    Call the store until it answers.

    :param call: makes one call
    :return: number of calls that failed before
    """
    failed = 0
    while True:
        try:
            await call()
        except StoreUnavailable:
            failed += 1
        else:
            return failed


__all__ = ["count_failed_calls", "ChannelConnector", "ChannelStore", "StoreChannel"]
