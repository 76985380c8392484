"""HTTP client of the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.platform_clients.http_session import HttpSession
from boragetiller.value_checks import check_count

if TYPE_CHECKING:
    from boragetiller.settings import PlatformSettings

MAX_LOADS = 10_000  # each load at once is a lease


class HttpWeightStore:
    """HTTP implementation of :class:`boragetiller.platform_clients.weights.WeightStore`."""

    def __init__(self, settings: PlatformSettings) -> None:
        """
        Create the client without opening connections.

        :param settings: base URL and timeout
        :raises ValueError: the settings have no URL of a weight store
        """
        if settings.weight_store_url is None:
            raise ValueError("platform.weight_store_url: not set")
        self._session = HttpSession(settings.weight_store_url, settings)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._session.start()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def get_load_limit(self) -> int:
        """See :class:`WeightStore`."""
        async with self._session.request("GET", "/weights") as response:
            return check_count((await response.json())["concurrent_loads"], MAX_LOADS)


__all__ = ["HttpWeightStore"]
