"""HTTP client of the store."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

from boragetiller.errors import RevisionConflict, StoreUnavailable
from boragetiller.platform_clients.http_session import HttpSession
from boragetiller.platform_clients.store import Entry, Lease
from boragetiller.platform_clients.wire_format import REVISION_HEADER, read_entry

if TYPE_CHECKING:
    import builtins
    from collections.abc import AsyncIterator

    from boragetiller.settings import PlatformSettings


class HttpStore:
    """HTTP implementation of :class:`boragetiller.platform_clients.store.Store`."""

    def __init__(self, settings: PlatformSettings) -> None:
        """:param settings: base URL and timeout"""
        self._session = HttpSession(settings.store_url, settings)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._session.start()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def get(self, key: str) -> Entry | None:
        """See :class:`Store`."""
        async with self._session.request("GET", "/entry", params={"key": key}) as response:
            if response.status == 404:
                return None
            return Entry(key, await response.read(), int(response.headers[REVISION_HEADER]))

    async def list(self, prefix: str) -> builtins.list[Entry]:
        """See :class:`Store`."""
        entries: builtins.list[Entry] = []
        async with self._session.request("GET", "/entries", params={"prefix": prefix}) as response:
            while (entry := await read_entry(response.content)) is not None:
                entries.append(entry)
        return entries

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """See :class:`Store`."""
        params = {"key": key, "expected_revision": str(expected_revision)}
        async with self._session.request(
            "POST", "/put", params=params, data=io.BytesIO(value)
        ) as response:
            return int((await response.json())["revision"])

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """See :class:`Store`."""
        params = {"key": key, "expected_revision": str(expected_revision)}
        async with self._session.request("POST", "/delete", params=params) as response:
            await response.json()

    async def watch(self, prefix: str, *, after_revision: int) -> AsyncIterator[Entry]:
        """See :class:`Store`."""
        params = {"prefix": prefix, "after_revision": str(after_revision)}
        async with self._session.request(
            "GET", "/watch", params=params, open_ended=True
        ) as response:
            if response.status == 404:
                raise StoreUnavailable("the store does not support watches")
            while (entry := await read_entry(response.content)) is not None:
                yield entry

    async def acquire_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """See :class:`Store`."""
        request = {"name": name, "holder": holder, "ttl_ms": ttl_ms}
        try:
            async with self._session.request("POST", "/leases/acquire", json=request) as response:
                token = int((await response.json())["token"])
        except RevisionConflict:
            return None
        return Lease(name=name, holder=holder, token=token, ttl_ms=ttl_ms)

    async def renew_lease(self, lease: Lease) -> bool:
        """See :class:`Store`."""
        try:
            await self._send_lease("/leases/renew", lease)
        except RevisionConflict:
            return False
        return True

    async def release_lease(self, lease: Lease) -> None:
        """See :class:`Store`."""
        await self._send_lease("/leases/release", lease)

    async def _send_lease(self, path: str, lease: Lease) -> None:
        request = {
            "name": lease.name,
            "holder": lease.holder,
            "token": lease.token,
            "ttl_ms": lease.ttl_ms,
        }
        async with self._session.request("POST", path, json=request) as response:
            await response.json()


__all__ = ["HttpStore"]
