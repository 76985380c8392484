"""Shards of idempotency keys: their stored pages and the state of one agent's copies."""

from __future__ import annotations

import attrs

from boragetiller.tables.claims import Claim, ShardCall


@attrs.frozen(kw_only=True)
class StoredClaim:
    """A claim in a stored page or segment."""

    digest: bytes
    fingerprint: bytes
    finished: bool
    remaining_ms: int  # until it expires, counted from the write


@attrs.frozen(kw_only=True)
class SegmentRef:
    """Reference from a page to one of its sealed segments."""

    number: int
    remaining_ms: int  # until it expires, counted from the write


@attrs.frozen(kw_only=True)
class ShardPage:
    """Stored state of one shard; `owner` is empty after a release."""

    owner: str = ""
    incarnation: int = 0
    sequence: int = 0  # rises with each write, extended by the era; see systems.shard_restores
    sent_wall_ms: int = 0
    from_memory: bool = False  # the owner may run calls whose claims are not committed
    uncertain_ms: int = 0  # for so long an unknown key may have run at an earlier owner
    next_segment: int = 1
    segments: tuple[SegmentRef, ...] = ()
    claims: tuple[StoredClaim, ...] = ()


@attrs.frozen(kw_only=True)
class ObservedOwner:
    """Owner that the newest known page names."""

    owner: str
    incarnation: int
    since_ms: int  # end of the first read that returned this owner


@attrs.define(kw_only=True)
class Shard:
    """State of one shard at this agent; times are monotonic milliseconds."""

    index: int
    page: ShardPage = attrs.Factory(ShardPage)  # newest known page, whoever owns it
    revision: int = 0  # extended by the era; see boragetiller.store_eras
    owned: bool = False
    page_known: bool = False  # the page was read or written at least once
    page_just_read: bool = False  # no decision was based on the newest read yet
    claims: dict[bytes, Claim] = attrs.Factory(dict)
    loaded_segments: dict[int, tuple[StoredClaim, ...]] = attrs.Factory(dict)  # for a takeover
    segment_expires_ms: dict[int, int] = attrs.Factory(dict)
    segment_digests: dict[int, tuple[bytes, ...]] = attrs.Factory(dict)
    expired_segments: list[int] = attrs.Factory(list)  # to delete once no page refers to them
    next_segment: int = 1
    uncertain_until_ms: int = 0  # until then an unknown key may have run at an earlier owner
    pending_write: ShardPage | None = None
    store_call_pending: bool = False  # a read or a segment write is in progress
    write_unresolved: bool = False  # a write failed or got no reply, so the page is read again
    store_failing: bool = False  # a store call failed since the last success
    commit_first_sequence: int = 0  # newest write sent with `from_memory` unset
    commit_first_sent_ms: int | None = None  # None when service from memory needs no wait
    ownership_unconfirmed: bool = False  # no write is known to be applied since a pause
    sequence_before_pause: int = 0  # newest write sent before the pause
    closing: bool = False  # accepts no new keys and is about to be released
    releasing: bool = False  # a release was sent and cannot be withdrawn
    uncommitted: dict[bytes, None] = attrs.Factory(dict)  # claims in no page known to be stored
    unsealed: dict[bytes, None] = attrs.Factory(dict)  # claims in no segment, oldest first
    waiting_calls: list[ShardCall] = attrs.Factory(list)  # calls until the shard is owned
    next_write_ms: int = 0
    next_read_ms: int = 0
    last_write_ms: int = 0
    observed_owner: ObservedOwner | None = None
    requested_until_ms: int = -1  # a call asked for the shard although another agent is preferred
    owned_since_ms: int = 0
    page_seen_ms: int = 0  # when `page` was read or written


@attrs.define(kw_only=True)
class ShardTable:
    """Shards of one group at one agent; times are monotonic milliseconds."""

    name: str
    incarnation: int
    shards: list[Shard]
    members: tuple[str, ...] = ()  # live members of the group
    listed_hosts: frozenset[str] = frozenset()  # live and leaving hosts
    hosts_read_ms: int = -1  # start of the read that returned the host list
    joined_ms: dict[str, int] = attrs.Factory(dict)  # first host list with the member
    last_input_ms: int | None = None  # a long gap means that the process was paused
    response_bytes: dict[tuple[int, bytes], int] = attrs.Factory(dict)  # oldest first
    total_response_bytes: int = 0
    draining: bool = False
    era: int = 0  # newest known era of the store
    era_since_ms: int = 0
    era_is_old: bool = False  # no caller repeats a call from before the last restore any more

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards that this agent owns and accepts keys for"""
        return tuple(s.index for s in self.shards if s.owned and not s.closing)


__all__ = ["ObservedOwner", "SegmentRef", "Shard", "ShardPage", "ShardTable", "StoredClaim"]
