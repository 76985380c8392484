"""HTTP clients of the backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.gateway.server_client import ServerClient

if TYPE_CHECKING:
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_pauses import ServerPauses
    from boragetiller.tables.servers import BackendServer

CLOSE_DELAY_MS = 30_000  # lets calls in progress at a removed server end


class ServerClients:
    """Clients by server; that of a removed server is closed after a delay."""

    def __init__(self, dialect: Dialect, pauses: ServerPauses) -> None:
        """
        Start without clients.

        :param dialect: header names and data formats of the platform
        :param pauses: pauses that servers ask for
        """
        self._dialect = dialect
        self._pauses = pauses
        self._by_name: dict[str, ServerClient] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    def get(self, server: BackendServer) -> ServerClient:
        """
        Get or create the client of a server.

        :param server: the server
        :return: its client
        """
        name = server.name
        if name not in self._by_name:
            self._by_name[name] = ServerClient(server.record, self._dialect, self._pauses)
        return self._by_name[name]

    def remove(self, name: str) -> None:
        """
        Remove the client of a server, if it has one, and close it after CLOSE_DELAY_MS.

        :param name: name of the server
        """
        client = self._by_name.pop(name, None)
        if client is not None:
            task = asyncio.create_task(_close_after_delay(client))
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)

    async def close(self) -> None:
        """Close all clients."""
        for task in self._close_tasks:
            task.cancel()
        for client in self._by_name.values():
            await client.close()
        self._by_name.clear()


async def _close_after_delay(client: ServerClient) -> None:
    try:
        await asyncio.sleep(CLOSE_DELAY_MS / 1_000)
    finally:
        await client.close()


__all__ = ["ServerClients"]
