"""Seal claims of a shard into immutable segments, and expire claims and segments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems import claims
from boragetiller.systems.shard_pages import build_stored_claims
from boragetiller.tables.shard_actions import DeleteSegment, ShardAction, WriteSegment

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardTable, StoredClaim


def expire_claims(table: ShardTable, shard: Shard, now_ms: int) -> list[ShardAction]:
    """
    Drop expired claims and segments.

    :param table: stored responses
    :param shard: an owned shard
    :param now_ms: monotonic time in milliseconds
    :return: deletions of expired segments to which the stored page no longer refers
    """
    for digest in list(shard.unsealed):
        claim = shard.claims[digest]
        if claim.expires_ms <= now_ms and not claim.in_progress():
            claims.drop_claim(table, shard, digest)
    deletions = _build_segment_deletions(shard)
    expired = [n for n, expires_ms in shard.segment_expires_ms.items() if expires_ms <= now_ms]
    for number in expired:
        del shard.segment_expires_ms[number]
        shard.expired_segments.append(number)
        for digest in shard.segment_digests.pop(number, ()):
            claims.drop_claim(table, shard, digest)
    return deletions


def _build_segment_deletions(shard: Shard) -> list[ShardAction]:
    referenced = {ref.number for ref in shard.page.segments}
    unreferenced = [number for number in shard.expired_segments if number not in referenced]
    shard.expired_segments = [number for number in shard.expired_segments if number in referenced]
    return [DeleteSegment(shard.index, number) for number in unreferenced]


def seal_claims(shard: Shard, settings: ClaimSettings, now_ms: int) -> WriteSegment | None:
    """
    Seal ended claims when the next page would hold too many.

    :param shard: an owned shard
    :param settings: number of claims per page
    :param now_ms: monotonic time in milliseconds
    :return: the segment to write before the next page, None when none is needed
    """
    if len(shard.unsealed) < settings.page_claims:
        return None
    ended = [digest for digest in shard.unsealed if shard.claims[digest].has_ended()]
    digests = tuple(ended[: settings.page_claims])
    if len(digests) < settings.page_claims // 2:
        return None
    shard.store_call_pending = True
    number = shard.next_segment
    shard.next_segment += 1
    return WriteSegment(shard.index, number, build_stored_claims(shard, digests, now_ms))


def handle_segment_written(shard: Shard, number: int, sealed: tuple[StoredClaim, ...]) -> None:
    """
    Record that a segment was written; the next page refers to it.

    :param shard: the shard
    :param number: number of the segment
    :param sealed: its claims
    """
    shard.store_call_pending = False
    if not shard.owned:
        return
    present = [claim.digest for claim in sealed if claim.digest in shard.claims]
    attach_segment(shard, number, tuple(present))


def attach_segment(shard: Shard, number: int, digests: tuple[bytes, ...]) -> None:
    """
    Move claims from the page to a segment.

    :param shard: the shard
    :param number: number of the segment
    :param digests: keys of its claims
    """
    shard.segment_digests[number] = digests
    expiries = [shard.claims[digest].expires_ms for digest in digests]
    shard.segment_expires_ms[number] = max(expiries, default=0)
    for digest in digests:
        shard.claims[digest].sealed = True
        shard.unsealed.pop(digest, None)


__all__ = ["attach_segment", "expire_claims", "handle_segment_written", "seal_claims"]
