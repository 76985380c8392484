"""Routers and agents that can be frozen and killed; each has an event loop in its own thread."""

from __future__ import annotations

import asyncio
import os
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from boragetiller.agent.process import AgentProcess
from boragetiller.platform_clients.clients import open_http_clients
from boragetiller.router.process import RouterProcess
from boragetiller.settings import Role

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from boragetiller.platform_clients.clients import PlatformClients
    from boragetiller.process import Endpoints
    from boragetiller.settings import Settings

MS_PER_S = 1_000


class FaultyProcess:
    """One router or agent with real sockets."""

    def __init__(self, settings: Settings) -> None:
        """:param settings: settings of the process, including the URLs of the platform"""
        self.settings = settings
        self.alive = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._process: RouterProcess | AgentProcess | None = None
        self._clients: PlatformClients | None = None

    async def start(self) -> Endpoints:
        """:return: the ports on which the process listens"""
        self._thread.start()
        endpoints: Endpoints = await self._await(self._open())
        self.alive = True
        return endpoints

    def freeze(self, duration_ms: int) -> None:
        """
        Block the event loop; connections stay open.

        :param duration_ms: duration in milliseconds
        """
        self._loop.call_soon_threadsafe(time.sleep, duration_ms / MS_PER_S)

    def kill(self) -> None:
        """Stop the event loop at once and shut down all sockets, as if the process were killed."""
        self.alive = False
        self._loop.call_soon_threadsafe(self._terminate)

    async def stop(self) -> None:
        """Shut down gracefully."""
        self.alive = False
        await self._await(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)

    async def wait_until_configured(self) -> None:
        """Wait until a router has its records."""
        if isinstance(self._process, RouterProcess):
            await self._await(self._process.configured.wait())

    async def _await(self, work: Coroutine[Any, Any, Any]) -> Any:
        return await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, self._loop))

    async def _open(self) -> Endpoints:
        self._clients = await open_http_clients(self.settings.platform)
        is_router = self.settings.role is Role.ROUTER
        self._process = (RouterProcess if is_router else AgentProcess)(self.settings, self._clients)
        await self._process.start()
        return self._process.endpoints()

    async def _close(self) -> None:
        assert self._process is not None and self._clients is not None
        await self._process.close()
        await self._clients.close()

    def _terminate(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._loop.stop()
        own_descriptor = self._loop._ssock.fileno()  # type: ignore[attr-defined]
        for key in list(self._loop._selector.get_map().values()):  # type: ignore[attr-defined]
            if key.fd != own_descriptor:
                _shut_down_socket(key.fd)


def _shut_down_socket(descriptor: int) -> None:
    try:
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


__all__ = ["FaultyProcess"]
