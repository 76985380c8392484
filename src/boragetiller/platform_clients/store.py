"""Interface of the platform's key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    import builtins
    from collections.abc import AsyncIterator


@attrs.frozen
class Entry:
    """
    A key, its value and its revision.

    Revisions strictly increase over the whole store. They are extended by the store's era, so that
    they do so even when it is restored from an older copy; see boragetiller.store_eras.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease that the store granted; the token, extended by the era, increases with each grant."""

    name: str
    holder: str
    token: int
    ttl_ms: int


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches; the platform counts each call."""

    @property
    def era(self) -> int:
        """:return: number of times that the store was restored, as its responses named it last"""
        ...

    async def get(self, key: str) -> Entry | None:
        """
        Read the entry of a key.

        :return: the entry, None when the key does not exist
        :raises StoreUnavailable: no valid response within the timeout
        """
        ...

    async def list(self, prefix: str) -> builtins.list[Entry]:
        """:return: the entries whose key starts with the prefix, in key order, from one call"""
        ...

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """
        Write a value if the stored revision is the expected one; 0 in any era creates the key.

        :return: the new revision
        :raises RevisionConflict: the stored revision differs; nothing was written
        :raises ValueTooLarge: the value exceeds the size limit of the store
        :raises StoreUnavailable: no valid response, or the store was restored meanwhile; the write
            may have taken effect
        """
        ...

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """
        Delete a key if the stored revision is the expected one.

        :raises RevisionConflict: the stored revision differs; nothing was deleted
        :raises StoreUnavailable: no valid response; the deletion may have taken effect
        """
        ...

    def watch(self, prefix: str, *, after_revision: int) -> AsyncIterator[Entry]:
        """
        Watch the keys below a prefix.

        The store may repeat changes, send only the newest of several values of a key, or end the
        watch at any time.

        :param after_revision: only entries with a higher revision are sent
        :raises HistoryLost: the store was restored from a copy that lacks the revision
        :raises StoreUnavailable: the connection broke
        """
        ...

    async def acquire_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """
        Acquire a lease that is free or expired.

        The token of the lease is a fencing token: it increases with each grant.

        :return: the lease, None while another holder has it
        """
        ...

    async def renew_lease(self, lease: Lease) -> bool:
        """:return: whether the holder still had the lease, which is then extended by its TTL"""
        ...

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease; a lease that is no longer held is ignored."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Entry", "Lease", "Store"]
