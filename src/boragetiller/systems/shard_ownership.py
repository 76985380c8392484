"""Which agent owns a shard: who may take it, and when an owner may serve from memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import mix64, stable_hash
from boragetiller.tables.shards import Page, SeenOwner

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardTable


def preferred_owners(table: ShardTable, index: int) -> list[str]:
    """
    Order the live members for a shard by rendezvous hashing.

    :param table: live members; one that drains stands aside
    :param index: the shard
    :return: names of agents: the owner, its successor, and so on
    """
    members = [name for name in table.members if not (table.draining and name == table.name)]
    return sorted(
        members, key=lambda name: (mix64(stable_hash(name) ^ mix64(index)), name), reverse=True
    )


def preferred_owner(table: ShardTable, index: int) -> str | None:
    """:return: the agent that should own a shard, None without live members"""
    return next(iter(preferred_owners(table, index)), None)


def is_successor(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent follows when the preferred owner is gone"""
    return preferred_owners(table, shard.index)[1:2] == [table.name]


def owner_hint(
    table: ShardTable, shard: Shard, settings: ClaimSettings | None = None, now_ms: int = 0
) -> str | None:
    """
    Name the agent that should be asked for a key of a shard instead of this one.

    :param table: live members
    :param shard: the shard
    :param settings: how long a page that was read counts as recent
    :param now_ms: monotonic time in milliseconds
    :return: name of another agent, or None
    """
    owner = shard.page.owner
    other = owner if owner in table.listed and owner != table.name else None
    recent = settings is not None and now_ms - shard.learned_ms < settings.successor_poll_ms
    if other is not None and recent:
        return other
    preferred = preferred_owner(table, shard.index)
    return preferred if preferred not in (None, table.name) else other


def may_own(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent is to own the shard, when nobody else does"""
    if table.draining or table.name not in table.members:
        return False
    if shard.wanted_until_ms >= (table.last_ms or 0):
        return True
    return preferred_owner(table, shard.index) == table.name or shard.page.owner == table.name


def expects_shard(table: ShardTable, shard: Shard) -> bool:
    """:return: whether this agent does not own the shard and is about to"""
    owner = shard.page.owner
    free = owner in ("", table.name) or owner not in table.listed
    return not shard.owned and free and may_own(table, shard)


def note_seen(shard: Shard, page: Page, now_ms: int) -> None:
    """
    Note who owns a page.

    :param shard: the shard
    :param page: the page as read
    :param now_ms: monotonic time in milliseconds
    """
    seen = shard.seen
    same = seen is not None and (seen.owner, seen.incarnation) == (page.owner, page.incarnation)
    if not same:
        shard.seen = SeenOwner(owner=page.owner, incarnation=page.incarnation, since_ms=now_ms)


def may_take(table: ShardTable, shard: Shard) -> bool:
    """
    Tell whether the page last read may be taken by a write.

    An owner counts as gone only by a host list that was read after the page showed this owner, so
    that a host which came back in between is not passed over.

    :param table: the host list
    :param shard: the shard
    :return: whether nobody else owns it
    """
    owner = shard.page.owner
    if not may_own(table, shard):
        return False
    if owner in ("", table.name):
        return True
    assert shard.seen is not None
    return owner not in table.listed and table.hosts_read_ms > shard.seen.since_ms


def taken_page(table: ShardTable, shard: Shard, settings: ClaimSettings, wall_ms: int) -> Page:
    """
    Build the page that takes a shard, with all claims of its earlier owners.

    :param table: name and incarnation of the new owner
    :param shard: the shard, with the page last read
    :param settings: time until service from memory, clock skew and retry horizon
    :param wall_ms: wall-clock time in milliseconds
    :return: the page, uncertain when the earlier owner may have served from memory
    """
    page = shard.page
    uncertain_ms = page.uncertain_ms
    if _may_have_served_from_memory(page, settings, wall_ms):
        uncertain_ms = settings.retry_horizon_ms + settings.max_call_age_ms
    return attrs.evolve(
        page,
        owner=table.name,
        incarnation=table.incarnation,
        sequence=page.sequence + 1,
        sent_wall_ms=wall_ms,
        from_memory=False,
        uncertain_ms=uncertain_ms,
    )


def may_serve_from_memory(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int
) -> bool:
    """
    Tell whether the owner may claim keys without a write.

    :param table: the host list
    :param shard: the shard
    :param settings: time without a write
    :param now_ms: monotonic time in milliseconds
    :return: whether every later owner will know that it may have done so
    """
    if not shard.owned or not shard.failed or table.name not in table.listed:
        return False
    return may_mark_memory(shard, settings, now_ms)


def may_mark_memory(shard: Shard, settings: ClaimSettings, now_ms: int) -> bool:
    """
    Tell whether a write may say that its owner serves from memory.

    :param shard: the shard
    :param settings: time without a write
    :param now_ms: monotonic time in milliseconds
    :return: whether no write that could still be applied denies it
    """
    if shard.unconfirmed or shard.releasing:
        return False
    sent_ms = shard.strict_sent_ms
    return sent_ms is None or now_ms - sent_ms >= settings.memory_after_ms


def _may_have_served_from_memory(page: Page, settings: ClaimSettings, wall_ms: int) -> bool:
    if not page.owner:
        return False
    age_ms = wall_ms - page.sent_wall_ms
    skew_ms = settings.max_clock_skew_ms
    fresh = -skew_ms <= age_ms < settings.memory_after_ms - skew_ms
    return page.from_memory or not fresh


__all__ = [
    "expects_shard",
    "is_successor",
    "may_mark_memory",
    "may_own",
    "may_serve_from_memory",
    "may_take",
    "note_seen",
    "owner_hint",
    "preferred_owner",
    "preferred_owners",
    "taken_page",
]
