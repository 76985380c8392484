"""Opens and closes a process's clients of the platform together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.platform_clients.hosts import HostList
from boragetiller.platform_clients.http_hosts import HttpHostList
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.platform_clients.http_weights import HttpWeightStore
from boragetiller.platform_clients.store import Store
from boragetiller.platform_clients.weights import WeightStore

if TYPE_CHECKING:
    from boragetiller.settings import PlatformSettings


@attrs.frozen
class PlatformClients:
    """Clients of the store, the host list and, if there is one, the weight store."""

    store: Store
    hosts: HostList
    weights: WeightStore | None = None

    async def close(self) -> None:
        """Close every client."""
        await self.store.close()
        await self.hosts.close()
        if self.weights is not None:
            await self.weights.close()


async def open_http_clients(settings: PlatformSettings) -> PlatformClients:
    """
    Open HTTP clients of the services that the settings name.

    :param settings: base URLs and timeout
    :return: clients with open connection pools
    """
    store = HttpStore(settings)
    hosts = HttpHostList(settings)
    weights = HttpWeightStore(settings) if settings.weight_store_url else None
    await store.start()
    await hosts.start()
    if weights is not None:
        await weights.start()
    return PlatformClients(store, hosts, weights)


__all__ = ["PlatformClients", "open_http_clients"]
