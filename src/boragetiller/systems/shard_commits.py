"""Commit the claims of a shard: what to read or write next, and what a page settles."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import NotOwner
from boragetiller.systems import claims, shard_ownership
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
    Take over what a page in the store shows.

    :param table: name and incarnation of this agent
    :param shard: the shard
    :param page: a page that was read, or seen to be written
    :param revision: its revision
    :param now_ms: monotonic time in milliseconds
    :return: calls to run, or to refuse when the shard was lost
    """
    mine = (page.owner, page.incarnation) == (table.name, table.incarnation)
    advanced = page.sequence > shard.page.sequence
    shard.page, shard.revision, shard.known = page, revision, True
    shard.unsettled = shard.failed = False
    shard.fresh = True
    shard.learned_ms = now_ms
    shard_ownership.record_observed_owner(shard, page, now_ms)
    if not mine:
        return _lose(table, shard) if shard.owned else []
    if not shard.owned:
        _begin_ownership(shard, page, now_ms)
    shard.releasing = shard.releasing and not advanced
    shard.unconfirmed = shard.unconfirmed and page.sequence <= shard.unconfirmed_sequence
    if page.from_memory and page.sequence >= shard.strict_sequence:
        shard.strict_sent_ms = None
    return _settle_claims(shard, page)


def record_failed_write(shard: Shard, *, conflict: bool, now_ms: int) -> None:
    """
    Note that a write was refused or got no reply.

    :param shard: the shard
    :param conflict: the store refused it by revision
    :param now_ms: monotonic time in milliseconds
    """
    shard.writing = None
    shard.unsettled = True
    shard.failed = shard.failed or not conflict
    shard.next_read_ms = now_ms


def next_actions(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Decide what to do next with a shard.

    :param table: shards of this agent
    :param shard: the shard
    :param settings: intervals and sizes
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: calls to serve from memory, and at most one call of the store
    """
    actions = _serve_from_memory(table, shard, settings, now_ms)
    if shard.writing is not None or shard.busy:
        return actions
    if shard.unsettled or not shard.known:
        return actions + _read(shard, settings, now_ms)
    if not shard.owned:
        return actions + _acquire(table, shard, settings, now_ms, wall_ms)
    if shard.releasing or (shard.closing and not _in_progress(shard)):
        return actions + _release(table, shard, settings, now_ms, wall_ms)
    return actions + _maintain(table, shard, settings, now_ms, wall_ms)


def _serve_from_memory(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    if not shard.uncommitted:
        return []
    if not shard_ownership.may_serve_from_memory(table, shard, settings, now_ms):
        return []
    return [action for digest in shard.uncommitted for action in claims.grant_claim(shard, digest)]


def _read(shard: Shard, settings: ClaimSettings, now_ms: int) -> list[ShardAction]:
    if now_ms < shard.next_read_ms:
        return []
    shard.busy = True
    shard.next_read_ms = now_ms + settings.poll_ms
    return [ReadPage(shard.index)]


def _acquire(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if not shard_ownership.should_own(table, shard):
        return _watch(table, shard, settings, now_ms)
    if not shard.fresh:
        return _read(shard, settings, now_ms)
    shard.fresh = False
    if not shard_ownership.may_take_over(table, shard):
        return []
    missing = tuple(ref.number for ref in shard.page.segments if ref.number not in shard.segments)
    if missing:
        shard.busy = True
        return [ReadSegments(shard.index, missing)]
    page = shard_ownership.build_takeover_page(table, shard, settings, wall_ms)
    return [_write(shard, page, settings, now_ms)]


def _watch(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    """Know the owner before it is gone, so that a takeover needs one read."""
    shard.fresh = False
    rested = now_ms - shard.next_read_ms >= settings.successor_poll_ms
    if not rested or not shard_ownership.is_successor(table, shard):
        return []
    return _read(shard, settings, now_ms)


def _release(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if now_ms < shard.next_write_ms:
        return []
    shard.releasing = True
    page = build_page(table, shard, now_ms, wall_ms, from_memory=False)
    released = attrs.evolve(page, owner="", incarnation=0)
    return [_write(shard, released, settings, now_ms)]


def _maintain(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    urgent = bool(shard.uncommitted) or shard.unconfirmed or shard.page.from_memory
    paced = urgent and now_ms >= shard.next_write_ms
    if not paced and now_ms - shard.renewed_ms < settings.renew_ms:
        return []
    deletions = expire_claims(table, shard, now_ms)
    sealing = seal_claims(shard, settings, now_ms)
    if sealing is not None:
        return [*deletions, sealing]
    from_memory = _marks_memory(shard, settings, now_ms)
    page = build_page(table, shard, now_ms, wall_ms, from_memory=from_memory)
    return [*deletions, _write(shard, page, settings, now_ms)]


def _marks_memory(shard: Shard, settings: ClaimSettings, now_ms: int) -> bool:
    served = any(
        shard.claims[digest].state is not ClaimState.PENDING for digest in shard.uncommitted
    )
    return served and shard_ownership.may_set_memory_flag(shard, settings, now_ms)


def _write(shard: Shard, page: ShardPage, settings: ClaimSettings, now_ms: int) -> WritePage:
    for claim in page.claims:
        known = shard.claims.get(claim.digest)
        if known is not None:
            known.sent = True
    if not page.from_memory:
        shard.strict_sequence = page.sequence
        shard.strict_sent_ms = now_ms
    shard.writing = page
    shard.renewed_ms = now_ms
    shard.next_write_ms = now_ms + settings.commit_interval_ms
    return WritePage(shard.index, page, shard.revision)


def _begin_ownership(shard: Shard, page: ShardPage, now_ms: int) -> None:
    shard.owned = True
    shard.owned_since_ms = now_ms
    shard.wanted_until_ms = -1
    shard.closing = shard.releasing = shard.unconfirmed = False
    shard.uncertain_until_ms = now_ms + page.uncertain_ms
    shard.next_segment = page.next_segment
    running = {d: c for d, c in shard.claims.items() if c.state is ClaimState.RUNNING}
    shard.claims, shard.recent, shard.uncommitted = {}, {}, {}
    shard.segment_digests, shard.segment_expires_ms, shard.dropped_segments = {}, {}, []
    _load_claims(shard, page.claims, now_ms)
    for ref in page.segments:
        sealed = shard.segments.get(ref.number, ())
        _load_claims(shard, sealed, now_ms)
        attach_segment(shard, ref.number, tuple(claim.digest for claim in sealed))
        shard.segment_expires_ms[ref.number] = now_ms + ref.remaining_ms
    shard.segments = {}
    _carry_over(shard, running)


def _carry_over(shard: Shard, running: dict[bytes, Claim]) -> None:
    for digest, claim in running.items():
        claim.committed = claim.sent = claim.sealed = digest in shard.claims
        shard.claims[digest] = claim
        shard.recent[digest] = None
        if not claim.committed:
            shard.uncommitted[digest] = None


def _load_claims(shard: Shard, loaded: tuple[StoredClaim, ...], now_ms: int) -> None:
    for claim in loaded:
        state = ClaimState.FINISHED if claim.finished else ClaimState.UNKNOWN
        shard.claims[claim.digest] = Claim(
            fingerprint=claim.fingerprint,
            state=state,
            expires_ms=now_ms + claim.remaining_ms,
            sent=True,
            committed=True,
        )
        shard.recent[claim.digest] = None


def _settle_claims(shard: Shard, page: ShardPage) -> list[ShardAction]:
    actions: list[ShardAction] = []
    if not shard.uncommitted:
        return actions
    for entry in page.claims:
        claim = shard.claims.get(entry.digest)
        if claim is not None and claim.fingerprint == entry.fingerprint:
            actions += _note_committed(shard, entry.digest, claim)
    for ref in page.segments:
        for digest in shard.segment_digests.get(ref.number, ()):
            actions += _note_committed(shard, digest, shard.claims[digest])
    return actions


def _note_committed(shard: Shard, digest: bytes, claim: Claim) -> list[ShardAction]:
    claim.committed = True
    shard.uncommitted.pop(digest, None)
    return claims.grant_claim(shard, digest)


def _lose(table: ShardTable, shard: Shard) -> list[ShardAction]:
    owner = shard.page.owner or shard_ownership.owner_hint(table, shard)
    shard.owned = shard.closing = shard.releasing = shard.unconfirmed = False
    shard.uncommitted = {}
    actions: list[ShardAction] = []
    for claim in shard.claims.values():
        if claim.state is ClaimState.PENDING:
            claim.state = ClaimState.WITHDRAWN
            actions.append(RefuseCall(claim.runner, NotOwner(owner=owner)))
        waiters, claim.waiters = claim.waiters, []
        actions += [RefuseCall(call_id, NotOwner(owner=owner)) for call_id in waiters]
    return actions


def _in_progress(shard: Shard) -> bool:
    return any(shard.claims[digest].in_progress() for digest in shard.recent)


__all__ = ["record_failed_write", "apply_page", "next_actions"]
