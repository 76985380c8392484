"""
Keep keys from running twice when the store is restored from an older copy.

A restored page may lack claims of calls that have run. The sequence of a page is extended by the
era in which it was written, which tells a page of the copy from one that was written since.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.store_eras import FIRST_ERA, extend_revision, get_era
from boragetiller.tables.claims import ClaimState

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardPage, ShardTable

OWNER_RENEWALS = 2  # in which an owner writes its claims again before others may take over


def record_era(table: ShardTable, revision: int, settings: ClaimSettings, now_ms: int) -> None:
    """
    Record the era of a response of the store.

    :param table: shards of this agent
    :param revision: extended revision of a page
    :param settings: retry horizon and call age
    :param now_ms: monotonic time in milliseconds
    """
    era = get_era(revision)
    if era > table.era:
        table.era, table.era_since_ms, table.era_is_old = era, now_ms, False
    elif now_ms - table.era_since_ms >= get_uncertain_period_ms(settings):
        table.era_is_old = True


def get_uncertain_period_ms(settings: ClaimSettings) -> int:
    """:return: longest time in which a caller may repeat a call"""
    return settings.retry_horizon_ms + settings.max_call_age_ms


def is_from_copy(table: ShardTable, page: ShardPage, revision: int) -> bool:
    """
    Check whether a page was written before the last restore, so that later claims may be lost.

    A page that does not exist may have been lost as a whole, and one without an era was written by
    an earlier release. Both count as pages of the first era until the last restore is long ago.

    :param table: age of the era
    :param page: the page
    :param revision: its extended revision
    :return: whether the page was written in an earlier era
    """
    page_era = get_era(page.sequence)
    if page_era == 0 and table.era_is_old:
        return False
    return max(FIRST_ERA, page_era) < get_era(revision)


def get_next_sequence(shard: Shard) -> int:
    """:return: sequence of the next page, extended by the era of the newest known page"""
    return max(shard.page.sequence + 1, extend_revision(get_era(shard.revision), 1))


def is_memory_complete(shard: Shard) -> bool:
    """:return: whether this owner knows all claims of the shard, also those that the store lost"""
    return shard.owned and not (shard.ownership_unconfirmed or shard.releasing)


def keep_ownership(shard: Shard, page: ShardPage) -> None:
    """
    Let an owner with complete memory write all of its claims again.

    :param shard: the shard
    :param page: the page of the copy, whoever owned it then
    """
    lost_segments = {*shard.segment_expires_ms, *(ref.number for ref in page.segments)}
    shard.expired_segments = sorted(lost_segments.union(shard.expired_segments))
    shard.segment_digests, shard.segment_expires_ms = {}, {}
    shard.page = attrs.evolve(shard.page, segments=page.segments)
    shard.unsealed = dict.fromkeys(shard.claims)
    shard.uncommitted = {}
    for digest, claim in shard.claims.items():
        claim.committed = claim.sealed = False
        if claim.state is not ClaimState.WITHDRAWN:
            shard.uncommitted[digest] = None


def must_wait_for_owner(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> bool:
    """
    Check whether the owner that the copy does not name may still write its claims again.

    :param table: time since which the era is known
    :param shard: the shard, not owned by this agent
    :param settings: interval of renewals
    :param now_ms: monotonic time in milliseconds
    :return: whether a takeover has to wait
    """
    wait_ms = OWNER_RENEWALS * settings.renew_ms
    is_new_era = now_ms - table.era_since_ms < wait_ms
    return is_new_era and is_from_copy(table, shard.page, shard.revision)


__all__ = [
    "get_next_sequence",
    "get_uncertain_period_ms",
    "is_from_copy",
    "is_memory_complete",
    "keep_ownership",
    "must_wait_for_owner",
    "record_era",
]
