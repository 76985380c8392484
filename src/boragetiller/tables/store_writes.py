"""Leases and transactions of the platform's store."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.tables.store_view import StoredItem

NO_REVISION = 0  # expected revision of a key that must not exist
NO_LEASE = 0


@attrs.frozen(kw_only=True)
class StoreLease:
    """A lease of the store; keys written with it are removed when it ends."""

    lease_id: int
    ttl_ms: int
    era: int  # of the store; a later era does not know the lease, or gives its number out again


@attrs.frozen
class ExpectedRevision:
    """A condition of a transaction."""

    key: str
    revision: int  # extended revision, or NO_REVISION


@attrs.frozen
class KeyWrite:
    """A key that a transaction writes."""

    key: str
    value: bytes
    lease_id: int = NO_LEASE


@attrs.frozen(kw_only=True)
class Transaction:
    """Writes and removals that take effect together, or not at all if a condition fails."""

    era: int  # of the store in which the expected revisions were read
    expected: tuple[ExpectedRevision, ...]
    writes: tuple[KeyWrite, ...] = ()
    removals: tuple[str, ...] = ()


class CommitStatus(Enum):
    """Result of a transaction that the store answered."""

    COMMITTED = "committed"
    CONFLICT = "conflict"  # a condition failed
    LEASE_ENDED = "lease_ended"  # the lease of a write does not exist


@attrs.frozen(kw_only=True)
class CommitResult:
    """Answer of the store to a transaction."""

    status: CommitStatus
    revision: int = 0  # extended revision of the written keys; 0 unless committed
    # Present state of the expected keys after a conflict; missing keys are left out.
    entries: tuple[StoredItem, ...] = ()


__all__ = [
    "NO_LEASE",
    "NO_REVISION",
    "CommitResult",
    "CommitStatus",
    "ExpectedRevision",
    "KeyWrite",
    "StoreLease",
    "Transaction",
]
