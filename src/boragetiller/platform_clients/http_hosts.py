"""HTTP client of the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.events import Event, log_event
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
                self._cached_hosts = self._decode_list(await response.json())
                self._etag = response.headers.get("ETag", "")
        return list(self._cached_hosts)

    def _decode_list(self, items: Any) -> tuple[Host, ...]:
        """
        Decode a list; an unreadable entry leaves what is known of its host as it is.

        A host must not count as gone because its entry is unreadable: another one would take over
        its shards while it may still run calls.

        :raises ValueError: not a list
        """
        if not isinstance(items, list):
            raise ValueError(f"the hosts must be a list, got {type(items).__name__}")
        hosts: dict[str, Host] = {}
        kept_names: set[str] = set()
        for item in items:
            try:
                host = decode_host(item)
            except ValueError as error:
                name = item.get("name") if isinstance(item, dict) else None
                log_event(Event.HOST_UNREADABLE, name=name, reason=str(error))
                # without a name it may be the entry of any host that is not listed otherwise
                kept_names |= (
                    {name} if isinstance(name, str) else {host.name for host in self._cached_hosts}
                )
            else:
                hosts[host.name] = host
        kept = [host for host in self._cached_hosts if host.name in kept_names - set(hosts)]
        return (*hosts.values(), *kept)


__all__ = ["HttpHostList"]
