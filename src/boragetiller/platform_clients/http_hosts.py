"""HTTP client of the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.platform_clients.http_session import NOT_MODIFIED, HttpSession
from boragetiller.platform_clients.wire_format import decode_host

if TYPE_CHECKING:
    from boragetiller.platform_clients.hosts import Host
    from boragetiller.settings import PlatformSettings


class HttpHostList:
    """HTTP implementation of :class:`boragetiller.platform_clients.hosts.HostList`."""

    def __init__(self, settings: PlatformSettings) -> None:
        """:param settings: base URL and timeout"""
        self._session = HttpSession(settings.host_list_url, settings)
        self._etag = ""
        self._cached_hosts: tuple[Host, ...] = ()

    async def start(self) -> None:
        """Open the connection pool."""
        await self._session.start()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def list_hosts(self) -> list[Host]:
        """See :class:`HostList`; a conditional request avoids sending an unchanged list again."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        async with self._session.request("GET", "/hosts", headers=headers) as response:
            if response.status != NOT_MODIFIED:
                self._cached_hosts = tuple(decode_host(item) for item in await response.json())
                self._etag = response.headers.get("ETag", "")
        return list(self._cached_hosts)


__all__ = ["HttpHostList"]
