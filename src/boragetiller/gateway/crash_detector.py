"""Detect engine crashes as soon as a connection breaks, instead of at the next request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.connection_probe import refuses_connections

if TYPE_CHECKING:
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.tables.servers import BackendServer

PROBE_TIMEOUT_S = 0.5


class CrashDetector:
    """Probes servers whose connections broke; one probe at a time for each server."""

    def __init__(self, registry: BackendRegistry) -> None:
        """:param registry: records the crashes"""
        self._registry = registry
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def check(self, server: BackendServer) -> None:
        """
        Start to probe a server, unless that is in progress.

        :param server: server whose connection broke
        """
        if server.name not in self._tasks:
            task = asyncio.create_task(self._probe(server))
            self._tasks[server.name] = task
            task.add_done_callback(lambda _: self._tasks.pop(server.name, None))

    async def close(self) -> None:
        """Cancel all probes."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _probe(self, server: BackendServer) -> None:
        host, _, port = server.record.address.rpartition(":")
        if await refuses_connections(host, int(port), PROBE_TIMEOUT_S):
            self._registry.record_crash(server.name)


__all__ = ["CrashDetector"]
