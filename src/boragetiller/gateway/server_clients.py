"""HTTP clients of the backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.gateway.server_client import ServerClient
from boragetiller.tables.servers import Incarnation

if TYPE_CHECKING:
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_pauses import ServerPauses
    from boragetiller.tables.servers import BackendServer

CLOSE_DELAY_MS = 30_000  # lets calls in progress at a removed server end


class ServerClients:
    """
    Clients by incarnation; that of a removed server is closed after a delay.

    A call may look for the client of an incarnation that was replaced a moment before.
    """

    def __init__(self, dialect: Dialect, pauses: ServerPauses) -> None:
        """
        Start without clients.

        :param dialect: header names and data formats of the platform
        :param pauses: pauses that servers ask for
        """
        self._dialect = dialect
        self._pauses = pauses
        self._by_incarnation: dict[Incarnation, ServerClient] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    def get(self, server: BackendServer) -> ServerClient:
        """
        Get or create the client of a server.

        :param server: the server
        :return: its client
        """
        incarnation = Incarnation.of(server.record)
        client = self._by_incarnation.get(incarnation)
        if client is None:
            client = ServerClient(server.record, self._dialect, self._pauses)
            self._by_incarnation[incarnation] = client
        return client

    def remove(self, name: str) -> None:
        """
        Remove the clients of the incarnations of a server, and close them after CLOSE_DELAY_MS.

        :param name: name of a server that was removed or replaced in the list
        """
        for incarnation in [each for each in self._by_incarnation if each.name == name]:
            client = self._by_incarnation.pop(incarnation)
            task = asyncio.create_task(_close_after_delay(client))
            self._close_tasks.add(task)
            task.add_done_callback(self._close_tasks.discard)

    async def close(self) -> None:
        """Close all clients."""
        for task in self._close_tasks:
            task.cancel()
        for client in self._by_incarnation.values():
            await client.close()
        self._by_incarnation.clear()


async def _close_after_delay(client: ServerClient) -> None:
    try:
        await asyncio.sleep(CLOSE_DELAY_MS / 1_000)
    finally:
        await client.close()


__all__ = ["ServerClients"]
