"""HTTP client of the store."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import HistoryLost, RevisionConflict, StoreUnavailable
from boragetiller.platform_clients.http_session import HttpSession
from boragetiller.platform_clients.store import Entry, Lease
from boragetiller.platform_clients.wire_format import (
    ERA_HEADER,
    REVISION_HEADER,
    read_entry,
)
from boragetiller.store_eras import (
    MAX_REVISION,
    StoreEraTracker,
    extend_revision,
    get_era,
    get_store_revision,
)
from boragetiller.value_checks import check_count

if TYPE_CHECKING:
    import builtins
    from collections.abc import AsyncIterator

    from aiohttp import ClientResponse

    from boragetiller.settings import PlatformSettings


class HttpStore:
    """HTTP implementation of :class:`boragetiller.platform_clients.store.Store`."""

    def __init__(self, settings: PlatformSettings) -> None:
        """:param settings: base URL and timeout"""
        self._session = HttpSession(settings.store_url, settings)
        self._eras = StoreEraTracker()

    @property
    def era(self) -> int:
        """See :class:`Store`."""
        return self._eras.era or 0

    async def start(self) -> None:
        """Open the connection pool."""
        await self._session.start()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def get(self, key: str) -> Entry | None:
        """See :class:`Store`."""
        async with self._session.request("GET", "/entry", params={"key": key}) as response:
            era = self._observe_era(response)
            if response.status == 404:
                return None
            revision = extend_revision(era, int(response.headers[REVISION_HEADER]))
            return Entry(key, await response.read(), revision)

    async def list(self, prefix: str) -> builtins.list[Entry]:
        """See :class:`Store`."""
        entries: builtins.list[Entry] = []
        async with self._session.request("GET", "/entries", params={"prefix": prefix}) as response:
            era = self._observe_era(response)
            while (entry := await read_entry(response.content)) is not None:
                entries.append(_extend_entry(entry, era))
        return entries

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """See :class:`Store`."""
        params = self._build_condition(key, expected_revision)
        async with self._session.request(
            "POST", "/put", params=params, data=io.BytesIO(value)
        ) as response:
            era = self._check_era(response, expected_revision)
            revision = (await response.json())["revision"]
            return extend_revision(era, check_count(revision, MAX_REVISION))

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """See :class:`Store`."""
        params = self._build_condition(key, expected_revision)
        async with self._session.request("POST", "/delete", params=params) as response:
            self._check_era(response, expected_revision)
            await response.json()

    async def watch(self, prefix: str, *, after_revision: int) -> AsyncIterator[Entry]:
        """See :class:`Store`."""
        after = get_store_revision(after_revision)
        params = {"prefix": prefix, "after_revision": str(after)}
        async with self._session.request(
            "GET", "/watch", params=params, open_ended=True
        ) as response:
            if response.status == 404:
                raise StoreUnavailable("the store does not support watches")
            era = self._observe_era(response)
            if after and era != get_era(after_revision):
                raise HistoryLost
            while (entry := await read_entry(response.content)) is not None:
                yield _extend_entry(entry, era)

    async def acquire_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """See :class:`Store`."""
        request = {"name": name, "holder": holder, "ttl_ms": ttl_ms}
        try:
            async with self._session.request("POST", "/leases/acquire", json=request) as response:
                era = self._observe_era(response)
                token = (await response.json())["token"]
                extended = extend_revision(era, check_count(token, MAX_REVISION))
        except RevisionConflict:
            return None
        return Lease(name=name, holder=holder, token=extended, ttl_ms=ttl_ms)

    async def renew_lease(self, lease: Lease) -> bool:
        """See :class:`Store`."""
        if self._is_lost(lease):
            return False
        try:
            await self._send_lease("/leases/renew", lease)
        except RevisionConflict:
            return False
        return not self._is_lost(lease)

    async def release_lease(self, lease: Lease) -> None:
        """See :class:`Store`."""
        if not self._is_lost(lease):
            await self._send_lease("/leases/release", lease)

    def _is_lost(self, lease: Lease) -> bool:
        """:return: whether the lease was granted before a known restore; its token may be reused"""
        return get_era(lease.token) < self.era

    async def _send_lease(self, path: str, lease: Lease) -> None:
        request = {
            "name": lease.name,
            "holder": lease.holder,
            "token": get_store_revision(lease.token),
            "ttl_ms": lease.ttl_ms,
        }
        async with self._session.request("POST", path, json=request) as response:
            self._observe_era(response)
            await response.json()

    def _build_condition(self, key: str, expected_revision: int) -> dict[str, str]:
        """:raises RevisionConflict: the expected revision is from before a known restore"""
        expected = get_store_revision(expected_revision)
        if expected and get_era(expected_revision) < self.era:
            raise RevisionConflict(f"{key}: the expected revision is from before a restore")
        return {"key": key, "expected_revision": str(expected)}

    def _check_era(self, response: ClientResponse, expected_revision: int) -> int:
        """
        Read the era of the response to a write.

        :raises StoreUnavailable: the store was restored since the expected revision was read; the
            write has taken effect on another value if both have the same revision
        """
        era = self._observe_era(response)
        if get_store_revision(expected_revision) and era != get_era(expected_revision):
            raise StoreUnavailable("the store was restored before the write took effect")
        return era

    def _observe_era(self, response: ClientResponse) -> int:
        return self._eras.observe(response.headers.get(ERA_HEADER))


def _extend_entry(entry: Entry, era: int) -> Entry:
    return attrs.evolve(entry, revision=extend_revision(era, entry.revision))


__all__ = ["HttpStore"]
