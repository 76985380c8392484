"""Decide which agent may own a shard, and when its owner may serve from memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import mix64, stable_hash
from boragetiller.systems.shard_restores import (
    get_next_sequence,
    get_uncertain_period_ms,
    is_from_copy,
)
from boragetiller.tables.shards import ObservedOwner, ShardPage

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardTable


def rank_owners(table: ShardTable, index: int) -> list[str]:
    """
    Rank the live members for a shard by rendezvous hashing.

    :param table: live members; this agent is left out while it drains
    :param index: the shard
    :return: names of agents: the preferred owner, its successor, and so on
    """
    members = [name for name in table.members if not (table.draining and name == table.name)]
    return sorted(
        members, key=lambda name: (mix64(stable_hash(name) ^ mix64(index)), name), reverse=True
    )


def get_preferred_owner(table: ShardTable, index: int) -> str | None:
    """:return: the agent that should own a shard, None when no member is live"""
    return next(iter(rank_owners(table, index)), None)


def is_successor(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent takes over when the preferred owner is gone"""
    return rank_owners(table, shard.index)[1:2] == [table.name]


def find_owner_hint(
    table: ShardTable, shard: Shard, settings: ClaimSettings | None = None, now_ms: int = 0
) -> str | None:
    """
    Find the agent to which calls for a shard should be redirected.

    :param table: live members
    :param shard: the shard
    :param settings: how long a page counts as recent; without settings no page does
    :param now_ms: monotonic time in milliseconds
    :return: name of another agent, None when no other is known
    """
    owner = shard.page.owner
    other = owner if owner in table.listed_hosts and owner != table.name else None
    recent = settings is not None and now_ms - shard.page_seen_ms < settings.successor_poll_ms
    if other is not None and recent:
        return other
    preferred = get_preferred_owner(table, shard.index)
    return preferred if preferred not in (None, table.name) else other


def should_own(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent should own the shard if no other agent does"""
    if table.draining or table.name not in table.members:
        return False
    if shard.requested_until_ms >= (table.last_input_ms or 0):
        return True
    return get_preferred_owner(table, shard.index) == table.name or shard.page.owner == table.name


def expects_ownership(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent does not own the shard yet and is about to take it"""
    owner = shard.page.owner
    available = owner in ("", table.name) or owner not in table.listed_hosts
    return not shard.owned and available and should_own(table, shard)


def record_observed_owner(shard: Shard, page: ShardPage, now_ms: int) -> None:
    """
    Record the owner that a page names and since when.

    :param shard: the shard
    :param page: the page as read or written
    :param now_ms: monotonic time in milliseconds
    """
    seen = shard.observed_owner
    same = seen is not None and (seen.owner, seen.incarnation) == (page.owner, page.incarnation)
    if not same:
        shard.observed_owner = ObservedOwner(
            owner=page.owner, incarnation=page.incarnation, since_ms=now_ms
        )


def may_take_over(table: ShardTable, shard: Shard) -> bool:
    """
    Check whether this agent may take the shard by writing its page.

    An owner counts as gone only if it is missing from a host list that was read after the page
    named it. An older list does not show a host that came back in between.

    :param table: the host list
    :param shard: the shard
    :return: whether the page names no other agent that may still be running
    """
    owner = shard.page.owner
    if not should_own(table, shard):
        return False
    if owner in ("", table.name):
        return True
    assert shard.observed_owner is not None
    return owner not in table.listed_hosts and table.hosts_read_ms > shard.observed_owner.since_ms


def build_takeover_page(
    table: ShardTable, shard: Shard, settings: ClaimSettings, wall_ms: int
) -> ShardPage:
    """
    Build the page that takes a shard over, with all claims of its earlier owners.

    When the earlier owner may have served from memory, or a restored store may have lost claims,
    the page is uncertain for the longest time in which a caller may still repeat a call.

    :param table: name and incarnation of the new owner
    :param shard: the shard, with the page last read
    :param settings: delay of service from memory, clock skew, retry horizon and call age
    :param wall_ms: wall-clock time in milliseconds
    :return: the page
    """
    page = shard.page
    uncertain_ms = page.uncertain_ms
    from_copy = is_from_copy(table, page, shard.revision)
    if from_copy or _may_have_served_from_memory(page, settings, wall_ms):
        uncertain_ms = get_uncertain_period_ms(settings)
    return attrs.evolve(
        page,
        owner=table.name,
        incarnation=table.incarnation,
        sequence=get_next_sequence(shard),
        sent_wall_ms=wall_ms,
        from_memory=False,
        uncertain_ms=uncertain_ms,
    )


def may_serve_from_memory(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> bool:
    """
    Check whether the owner may serve from memory: run calls before their claims are committed.

    :param table: the host list
    :param shard: the shard
    :param settings: delay of service from memory
    :param now_ms: monotonic time in milliseconds
    :return: whether each later owner will detect that this one may have served from memory
    """
    if not shard.owned or not shard.store_failing or table.name not in table.listed_hosts:
        return False
    return may_set_memory_flag(shard, settings, now_ms)


def may_set_memory_flag(shard: Shard, settings: ClaimSettings, now_ms: int) -> bool:
    """
    Check whether a page may be written with `from_memory` set.

    :param shard: the shard
    :param settings: delay of service from memory
    :param now_ms: monotonic time in milliseconds
    :return: whether no recent write without the flag could still be applied
    """
    if shard.ownership_unconfirmed or shard.releasing:
        return False
    sent_ms = shard.commit_first_sent_ms
    return sent_ms is None or now_ms - sent_ms >= settings.memory_after_ms


def _may_have_served_from_memory(page: ShardPage, settings: ClaimSettings, wall_ms: int) -> bool:
    if not page.owner:
        return False
    age_ms = wall_ms - page.sent_wall_ms
    skew_ms = settings.max_clock_skew_ms
    recent = -skew_ms <= age_ms < settings.memory_after_ms - skew_ms
    return page.from_memory or not recent


__all__ = [
    "build_takeover_page",
    "expects_ownership",
    "is_successor",
    "may_serve_from_memory",
    "may_set_memory_flag",
    "may_take_over",
    "find_owner_hint",
    "get_preferred_owner",
    "rank_owners",
    "record_observed_owner",
    "should_own",
]
