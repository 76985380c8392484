"""Claims of idempotency keys at the owner of their shard."""

from __future__ import annotations

from enum import Enum
from typing import Any

import attrs

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8


class ClaimState(Enum):
    """What the owner knows of a key."""

    PENDING = "pending"  # waits for a committed page, or for service from memory
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"  # may have run, here or at an earlier owner
    WITHDRAWN = "withdrawn"  # did not run; a page may hold it all the same


@attrs.define(kw_only=True)
class Claim:
    """One key; the answer is kept by the owner that ran it only."""

    fingerprint: bytes
    state: ClaimState
    expires_ms: int
    runner: int = 0  # call that runs or will run
    waiters: list[int] = attrs.Factory(list)
    answer: Any = None
    sent: bool = False  # part of a write that was sent
    committed: bool = False  # part of a page or segment that was seen in the store
    sealed: bool = False  # kept in a segment

    def in_progress(self) -> bool:
        """:return: whether the key is about to run or runs"""
        return self.state in (ClaimState.PENDING, ClaimState.RUNNING)

    def has_ended(self) -> bool:
        """:return: whether the state is final"""
        return self.state in (ClaimState.FINISHED, ClaimState.UNKNOWN)


@attrs.frozen(kw_only=True)
class ShardCall:
    """One call that asks for its key."""

    call_id: int
    shard: int
    digest: bytes
    fingerprint: bytes
    age_ms: int = 0  # since the caller's request arrived at its router


__all__ = ["DIGEST_BYTES", "FINGERPRINT_BYTES", "Claim", "ClaimState", "ShardCall"]
