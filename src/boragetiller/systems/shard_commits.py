"""Commit the claims of a shard: apply stored pages and choose the next store call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import NotOwner
from boragetiller.systems import claims, shard_ownership, shard_restores
from boragetiller.systems.shard_pages import build_page
from boragetiller.systems.shard_segments import attach_segment, expire_claims, seal_claims
from boragetiller.tables.claims import Claim, ClaimState
from boragetiller.tables.shard_actions import (
    ReadPage,
    ReadSegments,
    RefuseCall,
    ShardAction,
    WritePage,
)

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardPage, ShardTable, StoredClaim


def apply_page(
    table: ShardTable, shard: Shard, page: ShardPage, revision: int, now_ms: int
) -> list[ShardAction]:
    """
    Apply a page that is known to be in the store.

    :param table: name and incarnation of this agent
    :param shard: the shard
    :param page: a page that was read, or whose write was confirmed
    :param revision: its revision
    :param now_ms: monotonic time in milliseconds
    :return: calls to run, or to refuse when the shard was lost
    """
    owned_here = (page.owner, page.incarnation) == (table.name, table.incarnation)
    advanced = page.sequence > shard.page.sequence
    from_copy = shard_restores.is_from_copy(table, page, revision)
    keeps_ownership = from_copy and shard_restores.is_memory_complete(shard)
    shard.revision, shard.page_known = revision, True
    if keeps_ownership:
        shard_restores.keep_ownership(shard, page)
    else:
        shard.page = page
    shard.write_unresolved = shard.store_failing = False
    shard.page_just_read = True
    shard.page_seen_ms = now_ms
    shard_ownership.record_observed_owner(shard, page, now_ms)
    if keeps_ownership:
        return []
    if not owned_here or from_copy:  # the copy may name an owner that has given up the shard
        return _lose_ownership(table, shard) if shard.owned else []
    if not shard.owned:
        _begin_ownership(shard, page, now_ms)
    shard.releasing = shard.releasing and not advanced
    shard.ownership_unconfirmed = (
        shard.ownership_unconfirmed and page.sequence <= shard.sequence_before_pause
    )
    if page.from_memory and page.sequence >= shard.commit_first_sequence:
        shard.commit_first_sent_ms = None
    return _apply_committed_claims(shard, page)


def record_failed_write(shard: Shard, *, conflict: bool, now_ms: int) -> None:
    """
    Record that a write was rejected or got no reply; the page is read next.

    :param shard: the shard
    :param conflict: whether the store rejected the write because of its revision
    :param now_ms: monotonic time in milliseconds
    """
    shard.pending_write = None
    shard.write_unresolved = True
    shard.store_failing = shard.store_failing or not conflict
    shard.next_read_ms = now_ms


def next_actions(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Choose the next actions of a shard.

    :param table: shards of this agent
    :param shard: the shard
    :param settings: intervals and sizes
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: calls to run from memory, and at most one store call besides deletions
    """
    actions = _serve_from_memory(table, shard, settings, now_ms)
    if shard.pending_write is not None or shard.store_call_pending:
        return actions
    if shard.write_unresolved or not shard.page_known:
        return actions + _poll_page(shard, settings, now_ms)
    if not shard.owned:
        return actions + _acquire(table, shard, settings, now_ms, wall_ms)
    if shard.releasing or (shard.closing and not _has_calls_in_progress(shard)):
        return actions + _release(table, shard, settings, now_ms, wall_ms)
    return actions + _renew_or_commit(table, shard, settings, now_ms, wall_ms)


def _serve_from_memory(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    if not shard.uncommitted:
        return []
    if not shard_ownership.may_serve_from_memory(table, shard, settings, now_ms):
        return []
    return [action for digest in shard.uncommitted for action in claims.grant_claim(shard, digest)]


def _poll_page(shard: Shard, settings: ClaimSettings, now_ms: int) -> list[ShardAction]:
    if now_ms < shard.next_read_ms:
        return []
    shard.store_call_pending = True
    shard.next_read_ms = now_ms + settings.poll_ms
    return [ReadPage(shard.index)]


def _acquire(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if not shard_ownership.should_own(table, shard):
        return _follow_owner(table, shard, settings, now_ms)
    if not shard.page_just_read:
        return _poll_page(shard, settings, now_ms)
    shard.page_just_read = False
    if shard_restores.must_wait_for_owner(table, shard, settings, now_ms):
        return []
    if not shard_ownership.may_take_over(table, shard):
        return []
    missing = tuple(
        ref.number for ref in shard.page.segments if ref.number not in shard.loaded_segments
    )
    if missing:
        shard.store_call_pending = True
        return [ReadSegments(shard.index, missing)]
    page = shard_ownership.build_takeover_page(table, shard, settings, wall_ms)
    return [_write(shard, page, settings, now_ms)]


def _follow_owner(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    """Read the page from time to time as the successor, so that a takeover needs one read."""
    shard.page_just_read = False
    poll_due = now_ms - shard.next_read_ms >= settings.successor_poll_ms
    if not poll_due or not shard_ownership.is_successor(table, shard):
        return []
    return _poll_page(shard, settings, now_ms)


def _release(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if now_ms < shard.next_write_ms:
        return []
    shard.releasing = True
    page = build_page(table, shard, now_ms, wall_ms, from_memory=False)
    released = attrs.evolve(page, owner="", incarnation=0)
    return [_write(shard, released, settings, now_ms)]


def _renew_or_commit(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    changed = bool(shard.uncommitted) or shard.ownership_unconfirmed or shard.page.from_memory
    commit_due = changed and now_ms >= shard.next_write_ms
    if not commit_due and now_ms - shard.last_write_ms < settings.renew_ms:
        return []
    deletions = expire_claims(table, shard, now_ms)
    sealing = seal_claims(shard, settings, now_ms)
    if sealing is not None:
        return [*deletions, sealing]
    from_memory = _needs_memory_flag(shard, settings, now_ms)
    page = build_page(table, shard, now_ms, wall_ms, from_memory=from_memory)
    return [*deletions, _write(shard, page, settings, now_ms)]


def _needs_memory_flag(shard: Shard, settings: ClaimSettings, now_ms: int) -> bool:
    served_from_memory = any(
        shard.claims[digest].state is not ClaimState.PENDING for digest in shard.uncommitted
    )
    return served_from_memory and shard_ownership.may_set_memory_flag(shard, settings, now_ms)


def _write(shard: Shard, page: ShardPage, settings: ClaimSettings, now_ms: int) -> WritePage:
    for claim in page.claims:
        known_claim = shard.claims.get(claim.digest)
        if known_claim is not None:
            known_claim.write_sent = True
    if not page.from_memory:
        shard.commit_first_sequence = page.sequence
        shard.commit_first_sent_ms = now_ms
    shard.pending_write = page
    shard.last_write_ms = now_ms
    shard.next_write_ms = now_ms + settings.commit_interval_ms
    return WritePage(shard.index, page, shard.revision)


def _begin_ownership(shard: Shard, page: ShardPage, now_ms: int) -> None:
    shard.owned = True
    shard.owned_since_ms = now_ms
    shard.requested_until_ms = -1
    shard.closing = shard.releasing = shard.ownership_unconfirmed = False
    shard.uncertain_until_ms = now_ms + page.uncertain_ms
    shard.next_segment = page.next_segment
    running = {
        digest: claim for digest, claim in shard.claims.items() if claim.state is ClaimState.RUNNING
    }
    shard.claims, shard.unsealed, shard.uncommitted = {}, {}, {}
    shard.segment_digests, shard.segment_expires_ms, shard.expired_segments = {}, {}, []
    _load_claims(shard, page.claims, now_ms)
    for ref in page.segments:
        sealed = shard.loaded_segments.get(ref.number, ())
        _load_claims(shard, sealed, now_ms)
        attach_segment(shard, ref.number, tuple(claim.digest for claim in sealed))
        shard.segment_expires_ms[ref.number] = now_ms + ref.remaining_ms
    shard.loaded_segments = {}
    _restore_running_claims(shard, running)


def _restore_running_claims(shard: Shard, running: dict[bytes, Claim]) -> None:
    for digest, claim in running.items():
        claim.committed = claim.write_sent = claim.sealed = digest in shard.claims
        shard.claims[digest] = claim
        shard.unsealed[digest] = None
        if not claim.committed:
            shard.uncommitted[digest] = None


def _load_claims(shard: Shard, loaded: tuple[StoredClaim, ...], now_ms: int) -> None:
    for claim in loaded:
        state = ClaimState.FINISHED if claim.finished else ClaimState.UNKNOWN
        shard.claims[claim.digest] = Claim(
            fingerprint=claim.fingerprint,
            state=state,
            expires_ms=now_ms + claim.remaining_ms,
            write_sent=True,
            committed=True,
        )
        shard.unsealed[claim.digest] = None


def _apply_committed_claims(shard: Shard, page: ShardPage) -> list[ShardAction]:
    actions: list[ShardAction] = []
    if not shard.uncommitted:
        return actions
    for entry in page.claims:
        claim = shard.claims.get(entry.digest)
        if claim is not None and claim.fingerprint == entry.fingerprint:
            actions += _mark_committed(shard, entry.digest, claim)
    for ref in page.segments:
        for digest in shard.segment_digests.get(ref.number, ()):
            actions += _mark_committed(shard, digest, shard.claims[digest])
    return actions


def _mark_committed(shard: Shard, digest: bytes, claim: Claim) -> list[ShardAction]:
    claim.committed = True
    shard.uncommitted.pop(digest, None)
    return claims.grant_claim(shard, digest)


def _lose_ownership(table: ShardTable, shard: Shard) -> list[ShardAction]:
    owner = shard.page.owner or shard_ownership.find_owner_hint(table, shard)
    shard.owned = shard.closing = shard.releasing = shard.ownership_unconfirmed = False
    shard.uncommitted = {}
    actions: list[ShardAction] = []
    for claim in shard.claims.values():
        if claim.state is ClaimState.PENDING:
            claim.state = ClaimState.WITHDRAWN
            actions.append(RefuseCall(claim.running_call_id, NotOwner(owner=owner)))
        waiting, claim.waiting_call_ids = claim.waiting_call_ids, []
        actions += [RefuseCall(call_id, NotOwner(owner=owner)) for call_id in waiting]
    return actions


def _has_calls_in_progress(shard: Shard) -> bool:
    return any(shard.claims[digest].in_progress() for digest in shard.unsealed)


__all__ = ["apply_page", "next_actions", "record_failed_write"]
