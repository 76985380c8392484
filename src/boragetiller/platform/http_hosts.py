"""The host list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.platform.dialect import decode_host
from boragetiller.platform.http_session import HttpSession

if TYPE_CHECKING:
    from boragetiller.platform.hosts import Host
    from boragetiller.settings import PlatformSettings


class HttpHostList:
    """Client of the host list; see :class:`boragetiller.platform.hosts.HostList`."""

    def __init__(self, settings: PlatformSettings) -> None:
        """:param settings: base URL and time-out"""
        self._session = HttpSession(settings.host_list_url, settings)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._session.start()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def hosts(self) -> list[Host]:
        """See :class:`HostList`."""
        async with self._session.call("GET", "/hosts") as response:
            return [decode_host(item) for item in await response.json()]


__all__ = ["HttpHostList"]
