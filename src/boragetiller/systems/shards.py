"""Own shards and commit their claims: the inputs of one agent and the actions that follow."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import ClaimNotCommitted, NotOwner, OutcomeUnknown
from boragetiller.hashing import stable_hash
from boragetiller.systems import claims, shard_ownership
from boragetiller.systems.shard_commits import apply_page, next_actions, record_failed_write
from boragetiller.tables.shard_actions import RefuseCall, ShardAction, WritePage
from boragetiller.tables.shards import Shard, ShardPage, ShardTable
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.errors import BoragetillerError
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.claims import ShardCall
    from boragetiller.tables.shards import StoredClaim


def new_shard_table(name: str, incarnation: int, shard_count: int) -> ShardTable:
    """
    Start with no owned shard.

    :param name: name of this agent
    :param incarnation: number of this start of the process
    :param shard_count: shards of the group
    :return: the table
    """
    shards = [Shard(index=index) for index in range(shard_count)]
    return ShardTable(name=name, incarnation=incarnation, shards=shards)


def shard_of(customer: str, key: str, shard_count: int) -> int:
    """
    Find the shard of a key.

    :param customer: whose key it is
    :param key: idempotency key
    :param shard_count: shards of the group
    :return: index of the shard
    """
    return stable_hash(customer, key) % shard_count


def submit_call(
    table: ShardTable, call: ShardCall, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Take a call that asks for its key.

    :param table: shards of this agent
    :param call: the call
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions, for this and for other calls
    """
    _note_time(table, settings, now_ms)
    shard = table.shards[call.shard]
    if call.age_ms > settings.max_call_age_ms:
        return [RefuseCall(call.call_id, OutcomeUnknown("the call arrived too late"))]
    if shard.owned and not shard.closing:
        actions = claims.claim_key(shard, call, settings, now_ms)
        return actions + next_actions(table, shard, settings, now_ms, wall_ms)
    if not shard.owned and not table.draining:  # the shard may have been released meanwhile
        shard.wanted_until_ms = now_ms + settings.poll_ms
    actions = next_actions(table, shard, settings, now_ms, wall_ms)
    if shard_ownership.expects_ownership(table, shard):
        shard.waiting.append(call)
        return actions
    hint = shard_ownership.owner_hint(table, shard, settings, now_ms)
    return [*actions, RefuseCall(call.call_id, NotOwner(owner=hint))]


def withdraw_call(table: ShardTable, call: ShardCall) -> BoragetillerError:
    """
    Take back a call that waited too long.

    :param table: shards of this agent
    :param call: the call
    :return: the error with the verdict; the call never runs
    """
    shard = table.shards[call.shard]
    if call in shard.waiting:
        shard.waiting.remove(call)
        return OutcomeUnknown()
    verdict = claims.withdraw_call(shard, call.digest, call.call_id)
    return ClaimNotCommitted() if verdict is Verdict.NOT_RUN else OutcomeUnknown()


def finish_call(
    table: ShardTable, call: ShardCall, answer: Any, size_bytes: int, settings: ClaimSettings
) -> list[ShardAction]:
    """
    Note the end of a call.

    :param table: shards of this agent
    :param call: the call
    :param answer: its answer, None when it is lost
    :param size_bytes: size of the answer
    :param settings: sizes up to which answers are kept
    :return: answers for calls of the same key
    """
    shard = table.shards[call.shard]
    limit_bytes = settings.answers_bytes
    return claims.finish_call(table, shard, call.digest, answer, size_bytes, limit_bytes)


def abandon_call(table: ShardTable, call: ShardCall) -> list[ShardAction]:
    """:return: the next call of the key to run, after one that never reached the server"""
    return claims.abandon_call(table.shards[call.shard], call.digest, call.call_id)


def update_hosts(
    table: ShardTable, live: tuple[str, ...], listed: frozenset[str], read_ms: int
) -> None:
    """
    Take a host list.

    :param table: shards of this agent
    :param live: live members of the group, this agent included if it is live
    :param listed: live and leaving hosts
    :param read_ms: when the read of the list began
    """
    if table.name in table.listed and table.name not in listed:
        _mark_unconfirmed(table)
    table.members = live
    table.listed = listed
    table.hosts_read_ms = read_ms
    known = {name: table.joined_ms.get(name, read_ms) for name in live}
    table.joined_ms = known


def handle_page_read(
    table: ShardTable,
    index: int,
    page: ShardPage | None,
    revision: int,
    settings: ClaimSettings,
    now_ms: int,
    wall_ms: int,
) -> list[ShardAction]:
    """
    Take a page that was read.

    :param table: shards of this agent
    :param index: the shard
    :param page: the page, None when it does not exist
    :param revision: its revision, 0 when it does not exist
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions that follow
    """
    _note_time(table, settings, now_ms)
    shard = table.shards[index]
    shard.busy = False
    if shard.known and revision < shard.revision:  # a stale read
        return []
    actions = apply_page(table, shard, page or ShardPage(), revision, now_ms)
    return actions + _follow_up(table, shard, settings, now_ms, wall_ms)


def handle_page_written(
    table: ShardTable,
    action: WritePage,
    revision: int,
    settings: ClaimSettings,
    now_ms: int,
    wall_ms: int,
) -> list[ShardAction]:
    """
    Take the reply that a page was written.

    :param table: shards of this agent
    :param action: the write
    :param revision: the new revision
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions that follow
    """
    _note_time(table, settings, now_ms)
    shard = table.shards[action.shard]
    shard.writing = None
    actions = apply_page(table, shard, action.page, revision, now_ms)
    return actions + _follow_up(table, shard, settings, now_ms, wall_ms)


def handle_write_failure(table: ShardTable, index: int, *, conflict: bool, now_ms: int) -> None:
    """
    Note that a write was refused or got no reply; the page is read next.

    :param table: shards of this agent
    :param index: the shard
    :param conflict: the store refused it by revision
    :param now_ms: monotonic time in milliseconds
    """
    record_failed_write(table.shards[index], conflict=conflict, now_ms=now_ms)


def handle_read_failure(
    table: ShardTable, index: int, settings: ClaimSettings, now_ms: int
) -> None:
    """
    Note that a read got no answer.

    :param table: shards of this agent
    :param index: the shard
    :param settings: poll interval
    :param now_ms: monotonic time in milliseconds
    """
    shard = table.shards[index]
    shard.busy = False
    shard.failed = True
    shard.next_read_ms = now_ms + settings.poll_ms


def handle_segments_read(
    table: ShardTable, index: int, segments: dict[int, tuple[StoredClaim, ...]]
) -> None:
    """
    Take the sealed segments of a page that is to be taken.

    :param table: shards of this agent
    :param index: the shard
    :param segments: claims by segment
    """
    shard = table.shards[index]
    shard.busy = False
    shard.segments.update(segments)
    shard.fresh = True


def run_tick(
    table: ShardTable, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Let timers run: polls, renewals, commits, service from memory, releases.

    :param table: shards of this agent
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions to carry out
    """
    _note_time(table, settings, now_ms)
    actions: list[ShardAction] = []
    for shard in table.shards:
        actions += _follow_up(table, shard, settings, now_ms, wall_ms)
    return actions


def begin_drain(table: ShardTable) -> None:
    """
    Take no new keys and release each shard once its calls have ended.

    :param table: shards of this agent
    """
    table.draining = True


def is_drained(table: ShardTable) -> bool:
    """:return: whether nothing is owned, wanted or in progress any more"""
    return not any(shard.owned or shard.writing for shard in table.shards)


def _follow_up(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    _choose_closing(table, shard, settings, now_ms)
    waiting = _settle_waiting(table, shard, settings, now_ms, wall_ms)
    return waiting + next_actions(table, shard, settings, now_ms, wall_ms)


def _choose_closing(table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int) -> None:
    if not shard.owned or shard.releasing:
        return
    preferred = shard_ownership.preferred_owner(table, shard.index)
    joined_ms = max(shard.owned_since_ms, table.joined_ms.get(preferred or "", now_ms))
    moved = preferred not in (None, table.name)
    shard.closing = table.draining or (moved and now_ms - joined_ms >= settings.rebalance_after_ms)


def _settle_waiting(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if not shard.waiting or shard_ownership.expects_ownership(table, shard):
        return []
    calls, shard.waiting = shard.waiting, []
    actions: list[ShardAction] = []
    for call in calls:
        actions += submit_call(table, call, settings, now_ms, wall_ms)
    return actions


def _note_time(table: ShardTable, settings: ClaimSettings, now_ms: int) -> None:
    last_ms = table.last_ms
    table.last_ms = now_ms
    if last_ms is not None and now_ms - last_ms >= settings.pause_limit_ms:
        _mark_unconfirmed(table)


def _mark_unconfirmed(table: ShardTable) -> None:
    for shard in table.shards:
        shard.unconfirmed = shard.owned
        in_flight = shard.writing is not None or shard.unsettled
        shard.unconfirmed_sequence = shard.page.sequence + in_flight


__all__ = [
    "abandon_call",
    "begin_drain",
    "finish_call",
    "is_drained",
    "new_shard_table",
    "update_hosts",
    "handle_page_read",
    "handle_read_failure",
    "handle_segments_read",
    "handle_page_written",
    "handle_write_failure",
    "run_tick",
    "shard_of",
    "submit_call",
    "withdraw_call",
]
