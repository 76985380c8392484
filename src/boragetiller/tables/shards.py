"""Shards of idempotency keys: their pages in the store and what one agent knows of them."""

from __future__ import annotations

import attrs

from boragetiller.tables.claims import Claim, ShardCall


@attrs.frozen(kw_only=True)
class StoredClaim:
    """A claim as a page keeps it; the duration counts from the moment of writing."""

    digest: bytes
    fingerprint: bytes
    finished: bool
    remaining_ms: int


@attrs.frozen(kw_only=True)
class SegmentRef:
    """A sealed segment that belongs to a page."""

    number: int
    remaining_ms: int


@attrs.frozen(kw_only=True)
class ShardPage:
    """The page of one shard; `owner` is empty after a release."""

    owner: str = ""
    incarnation: int = 0
    sequence: int = 0
    sent_wall_ms: int = 0
    from_memory: bool = False  # the owner may serve from memory at once
    uncertain_ms: int = 0
    next_segment: int = 1
    segments: tuple[SegmentRef, ...] = ()
    claims: tuple[StoredClaim, ...] = ()


@attrs.frozen(kw_only=True)
class ObservedOwner:
    """Who owned a page when it was last read."""

    owner: str
    incarnation: int
    since_ms: int  # end of the first read that showed this owner


@attrs.define(kw_only=True)
class Shard:
    """One shard as this agent knows it; times are monotonic milliseconds."""

    index: int
    page: ShardPage = attrs.Factory(ShardPage)  # newest page known, own or not
    revision: int = 0
    owned: bool = False
    known: bool = False  # the page was read or written at least once
    fresh: bool = False  # the page was just read
    claims: dict[bytes, Claim] = attrs.Factory(dict)
    segments: dict[int, tuple[StoredClaim, ...]] = attrs.Factory(dict)  # of a page to be taken
    segment_expires_ms: dict[int, int] = attrs.Factory(dict)
    segment_digests: dict[int, tuple[bytes, ...]] = attrs.Factory(dict)
    dropped_segments: list[int] = attrs.Factory(list)  # expired, until no page names them
    next_segment: int = 1
    uncertain_until_ms: int = 0
    writing: ShardPage | None = None
    busy: bool = False  # a read or a segment write is in progress
    unsettled: bool = False
    failed: bool = False  # a store call failed since the last success
    strict_sequence: int = 0  # last write sent without the memory flag
    strict_sent_ms: int | None = None  # None when service from memory needs no wait
    unconfirmed: bool = False  # paused, and no later write was seen applied
    unconfirmed_sequence: int = 0  # newest write sent before the pause
    closing: bool = False  # takes no new keys, to be released
    releasing: bool = False  # a release was sent, which can't be taken back
    uncommitted: dict[bytes, None] = attrs.Factory(dict)  # claims in no page that was seen
    recent: dict[bytes, None] = attrs.Factory(dict)  # claims in no segment, oldest first
    waiting: list[ShardCall] = attrs.Factory(list)  # calls until the shard is owned
    next_write_ms: int = 0
    next_read_ms: int = 0
    renewed_ms: int = 0
    seen: ObservedOwner | None = None
    wanted_until_ms: int = -1  # a call came for it though another agent is preferred
    owned_since_ms: int = 0
    learned_ms: int = 0  # when `page` was read or written


@attrs.define(kw_only=True)
class ShardTable:
    """All shards of one group at one agent."""

    name: str
    incarnation: int
    shards: list[Shard]
    members: tuple[str, ...] = ()  # live members of the group
    listed: frozenset[str] = frozenset()  # live and leaving hosts
    hosts_read_ms: int = -1  # start of the read that gave the list
    joined_ms: dict[str, int] = attrs.Factory(dict)  # when a member was first seen
    last_ms: int | None = None
    kept_bytes: dict[tuple[int, bytes], int] = attrs.Factory(dict)  # answers, oldest first
    kept_total_bytes: int = 0
    draining: bool = False

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards that this agent owns and serves"""
        return tuple(s.index for s in self.shards if s.owned and not s.closing)


__all__ = ["ShardPage", "StoredClaim", "ObservedOwner", "SegmentRef", "Shard", "ShardTable"]
