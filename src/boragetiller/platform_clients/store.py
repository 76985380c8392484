"""The platform's key-value store as the project sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    import builtins
    from collections.abc import AsyncIterator


@attrs.frozen
class Entry:
    """One stored value; revisions grow over the whole store and never repeat."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease that the store granted."""

    name: str
    holder: str
    token: int
    ttl_ms: int


class Store(Protocol):
    """Compare-and-swap, leases and watches; each call is counted by the platform."""

    async def get(self, key: str) -> Entry | None:
        """
        Read one key.

        :return: the entry, None when the key does not exist
        :raises StoreUnavailable: no answer in time
        """
        ...

    async def list(self, prefix: str) -> builtins.list[Entry]:
        """:return: the entries whose key starts with the prefix, in key order (one call)"""
        ...

    async def put(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """
        Replace a value if its revision is the expected one; 0 creates the key.

        :return: the new revision
        :raises RevisionConflict: the revision is another one, nothing was written
        :raises StoreUnavailable: no answer; the write may have taken effect
        """
        ...

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """
        Remove a key if its revision is the expected one.

        :raises RevisionConflict: the revision is another one
        :raises StoreUnavailable: no answer; the delete may have taken effect
        """
        ...

    def watch(self, prefix: str, *, after_revision: int) -> AsyncIterator[Entry]:
        """
        Follow changes below a prefix; may repeat, skip to the newest value of a key, or end.

        :param after_revision: only entries with a higher revision are sent
        :raises StoreUnavailable: the watch broke
        """
        ...

    async def acquire_lease(self, name: str, holder: str, ttl_ms: int) -> Lease | None:
        """
        Take a lease that is free or expired; the token grows with each grant (fencing number).

        :return: the lease, None when another holder has it
        """
        ...

    async def renew_lease(self, lease: Lease) -> bool:
        """:return: whether the holder still has the lease, which now runs for its ttl again"""
        ...

    async def release_lease(self, lease: Lease) -> None:
        """Give a lease back."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


__all__ = ["Entry", "Lease", "Store"]
