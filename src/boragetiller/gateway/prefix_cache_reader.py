"""Read the prefix cache contents of newly registered engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.errors import EntryUnreadable
from boragetiller.events import Event, log_event
from boragetiller.gateway.server_client import TRANSPORT_ERRORS
from boragetiller.systems.prefix_cache import estimate_cache_tokens, record_cached_parts

if TYPE_CHECKING:
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.servers import BackendServer

MAX_LOGGED_REASONS = 3
TIMEOUT_MS = 1_000  # a call takes a few ms; a cache that cannot be read is assumed to be empty


class PrefixCacheReader:
    """
    Reads the prefix cache of each engine that is added to the registry.

    Without this a router that starts beside running engines would assume empty caches when it
    places prompts, and so would all routers after the list of servers was lost and restored.
    Afterwards a router keeps track of the caches by its own calls and the reports of its peers.
    """

    def __init__(self, registry: BackendRegistry, dialect: Dialect) -> None:
        """
        Create the reader; it is inactive until started.

        :param registry: backend servers, route configuration and clients
        :param dialect: header names and data formats of the platform
        """
        self._registry = registry
        self._dialect = dialect
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Read the cache of each engine that is added from now on."""
        self._registry.on_server_added = self._begin_read

    async def close(self) -> None:
        """Stop and cancel reads in progress."""
        self._registry.on_server_added = None
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _begin_read(self, server: BackendServer) -> None:
        config = self._registry.config
        engine = config.groups[server.record.group].engine if config is not None else None
        if engine is not None:
            task = asyncio.create_task(self._read(server, engine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _read(self, server: BackendServer, engine: EngineProfile) -> None:
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1_000):
                body = await self._registry.get_client(server).get_body(
                    self._dialect.prefix_cache_path
                )
            cached = self._dialect.decode_prefix_cache(body)
        except (*TRANSPORT_ERRORS, TimeoutError, EntryUnreadable) as error:
            log_event(Event.CACHE_UNREAD, server=server.name, reason=repr(error))
            return
        record_cached_parts(server, cached.parts, estimate_cache_tokens(engine))
        log_event(
            Event.CACHE_READ,
            server=server.name,
            parts=len(cached.parts),
            unreadable=len(cached.unreadable),
            reasons=cached.unreadable[:MAX_LOGGED_REASONS],
        )


__all__ = ["PrefixCacheReader"]
