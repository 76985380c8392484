"""Claims of idempotency keys at the agent that owns their shard."""

from __future__ import annotations

from enum import Enum
from typing import Any

import attrs

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8


class ClaimState(Enum):
    """What the owner of the shard knows about the call of a key."""

    PENDING = "pending"  # waits for a committed page, or for service from memory
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"  # may have run, here or at an earlier owner
    WITHDRAWN = "withdrawn"  # did not run, although a stored page may still contain the claim


@attrs.define(kw_only=True)
class Claim:
    """Claim of one key; only the owner that ran the call keeps its response."""

    fingerprint: bytes
    state: ClaimState
    expires_ms: int
    running_call_id: int = 0  # call that runs or is the next to run
    waiting_call_ids: list[int] = attrs.Factory(list)  # later calls of the same key
    response: Any = None
    write_sent: bool = False  # part of a write that was sent to the store
    committed: bool = False  # part of a page or segment that is known to be in the store
    sealed: bool = False  # stored in a segment

    def in_progress(self) -> bool:
        """:return: whether the call of the key is pending or running"""
        return self.state in (ClaimState.PENDING, ClaimState.RUNNING)

    def has_ended(self) -> bool:
        """:return: whether the state is final"""
        return self.state in (ClaimState.FINISHED, ClaimState.UNKNOWN)


@attrs.frozen(kw_only=True)
class ShardCall:
    """One call that claims its key."""

    call_id: int
    shard: int
    digest: bytes
    fingerprint: bytes
    age_ms: int = 0  # since the caller's request arrived at its router


__all__ = ["DIGEST_BYTES", "FINGERPRINT_BYTES", "Claim", "ClaimState", "ShardCall"]
