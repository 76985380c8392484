"""Handle calls, timers and store replies for the shards of one agent, and return the actions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import ClaimNotCommitted, NotOwner, OutcomeUnknown
from boragetiller.hashing import stable_hash
from boragetiller.systems import claims, shard_ownership
from boragetiller.systems.shard_commits import apply_page, next_actions, record_failed_write
from boragetiller.systems.shard_restores import get_next_sequence, record_era
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
    Create the table of a starting agent, which owns no shard.

    :param name: name of this agent
    :param incarnation: incarnation of this process
    :param shard_count: number of shards of the group
    :return: the table
    """
    shards = [Shard(index=index) for index in range(shard_count)]
    return ShardTable(name=name, incarnation=incarnation, shards=shards)


def shard_of(customer: str, key: str, shard_count: int) -> int:
    """
    Compute the shard of a key.

    :param customer: customer that sent the key
    :param key: idempotency key
    :param shard_count: number of shards of the group
    :return: index of the shard
    """
    return stable_hash(customer, key) % shard_count


def submit_call(
    table: ShardTable, call: ShardCall, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Handle a call that claims its key.

    :param table: shards of this agent
    :param call: the call
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions, for this call and for others
    """
    _record_time(table, settings, now_ms)
    shard = table.shards[call.shard]
    if call.age_ms > settings.max_call_age_ms:
        return [
            RefuseCall(
                call.call_id,
                OutcomeUnknown(
                    f"call is {call.age_ms} ms old, limit {settings.max_call_age_ms} ms"
                ),
            )
        ]
    if shard.owned and not shard.closing:
        actions = claims.claim_key(shard, call, settings, now_ms)
        return actions + next_actions(table, shard, settings, now_ms, wall_ms)
    if not shard.owned and not table.draining:  # its owner may have released it meanwhile
        shard.requested_until_ms = now_ms + settings.poll_ms
    actions = next_actions(table, shard, settings, now_ms, wall_ms)
    if shard_ownership.expects_ownership(table, shard):
        shard.waiting_calls.append(call)
        return actions
    hint = shard_ownership.find_owner_hint(table, shard, settings, now_ms)
    return [*actions, RefuseCall(call.call_id, NotOwner(owner=hint))]


def withdraw_call(table: ShardTable, call: ShardCall) -> BoragetillerError:
    """
    Withdraw a call that waited too long, so that it never runs.

    :param table: shards of this agent
    :param call: the call
    :return: the error with the verdict
    """
    shard = table.shards[call.shard]
    if call in shard.waiting_calls:
        shard.waiting_calls.remove(call)
        return OutcomeUnknown()
    verdict = claims.withdraw_call(shard, call.digest, call.call_id)
    return ClaimNotCommitted() if verdict is Verdict.NOT_RUN else OutcomeUnknown()


def finish_call(
    table: ShardTable, call: ShardCall, response: Any, size_bytes: int, settings: ClaimSettings
) -> list[ShardAction]:
    """
    Record the end of a call.

    :param table: shards of this agent
    :param call: the call
    :param response: its response, None when it is lost
    :param size_bytes: size of the response
    :param settings: limit on the total size of stored responses
    :return: actions that respond to the waiting calls of the same key
    """
    shard = table.shards[call.shard]
    limit_bytes = settings.answers_bytes
    return claims.finish_call(table, shard, call.digest, response, size_bytes, limit_bytes)


def abandon_call(table: ShardTable, call: ShardCall) -> list[ShardAction]:
    """:return: the next waiting call of the key, after one that never reached the server"""
    return claims.abandon_call(table.shards[call.shard], call.digest, call.call_id)


def update_hosts(
    table: ShardTable, live: tuple[str, ...], listed: frozenset[str], read_ms: int
) -> None:
    """
    Update the live members and known hosts from a host list.

    :param table: shards of this agent
    :param live: live members of the group, this agent included if it is live
    :param listed: live and leaving hosts
    :param read_ms: monotonic time when the read of the list began
    """
    if table.name in table.listed_hosts and table.name not in listed:
        _mark_unconfirmed(table)
    table.members = live
    table.listed_hosts = listed
    table.hosts_read_ms = read_ms
    joined_ms = {name: table.joined_ms.get(name, read_ms) for name in live}
    table.joined_ms = joined_ms


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
    Handle the reply to a read of a page.

    :param table: shards of this agent
    :param index: the shard
    :param page: the page, None when it does not exist
    :param revision: its extended revision; a page that does not exist has revision 0 in the era
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions to carry out
    """
    _record_time(table, settings, now_ms)
    shard = table.shards[index]
    shard.store_call_pending = False
    if shard.page_known and revision < shard.revision:  # a stale read
        return []
    record_era(table, revision, settings, now_ms)
    actions = apply_page(table, shard, page or ShardPage(), revision, now_ms)
    return actions + _advance_shard(table, shard, settings, now_ms, wall_ms)


def handle_page_written(
    table: ShardTable,
    action: WritePage,
    revision: int,
    settings: ClaimSettings,
    now_ms: int,
    wall_ms: int,
) -> list[ShardAction]:
    """
    Handle the confirmation of a written page.

    :param table: shards of this agent
    :param action: the write
    :param revision: the new revision
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions to carry out
    """
    _record_time(table, settings, now_ms)
    shard = table.shards[action.shard]
    shard.pending_write = None
    record_era(table, revision, settings, now_ms)
    actions = apply_page(table, shard, action.page, revision, now_ms)
    return actions + _advance_shard(table, shard, settings, now_ms, wall_ms)


def handle_write_failure(table: ShardTable, index: int, *, conflict: bool, now_ms: int) -> None:
    """
    Handle a write that was rejected or got no reply; the page is read next.

    :param table: shards of this agent
    :param index: the shard
    :param conflict: whether the store rejected the write because of its revision
    :param now_ms: monotonic time in milliseconds
    """
    record_failed_write(table.shards[index], conflict=conflict, now_ms=now_ms)


def handle_read_failure(
    table: ShardTable, index: int, settings: ClaimSettings, now_ms: int
) -> None:
    """
    Handle a read of a page or segment, or a write of a segment, that failed.

    :param table: shards of this agent
    :param index: the shard
    :param settings: poll interval
    :param now_ms: monotonic time in milliseconds
    """
    shard = table.shards[index]
    shard.store_call_pending = False
    shard.store_failing = True
    shard.next_read_ms = now_ms + settings.poll_ms


def handle_segments_read(
    table: ShardTable, index: int, segments: dict[int, tuple[StoredClaim, ...]]
) -> None:
    """
    Handle the sealed segments read for a takeover.

    :param table: shards of this agent
    :param index: the shard
    :param segments: claims by number of the segment
    """
    shard = table.shards[index]
    shard.store_call_pending = False
    shard.loaded_segments.update(segments)
    shard.page_just_read = True


def run_tick(
    table: ShardTable, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    """
    Run the timers of all shards: polls, renewals, commits, service from memory, releases.

    :param table: shards of this agent
    :param settings: limits
    :param now_ms: monotonic time in milliseconds
    :param wall_ms: wall-clock time in milliseconds
    :return: actions to carry out
    """
    _record_time(table, settings, now_ms)
    actions: list[ShardAction] = []
    for shard in table.shards:
        actions += _advance_shard(table, shard, settings, now_ms, wall_ms)
    return actions


def begin_drain(table: ShardTable) -> None:
    """
    Accept no new keys and release each shard when its calls have ended.

    :param table: shards of this agent
    """
    table.draining = True


def is_drained(table: ShardTable) -> bool:
    """:return: whether no shard is owned and no write is in progress"""
    return not any(shard.owned or shard.pending_write for shard in table.shards)


def _advance_shard(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    _decide_closing(table, shard, settings, now_ms)
    resubmitted = _resubmit_waiting(table, shard, settings, now_ms, wall_ms)
    return resubmitted + next_actions(table, shard, settings, now_ms, wall_ms)


def _decide_closing(table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int) -> None:
    if not shard.owned or shard.releasing:
        return
    preferred = shard_ownership.get_preferred_owner(table, shard.index)
    joined_ms = max(shard.owned_since_ms, table.joined_ms.get(preferred or "", now_ms))
    moved = preferred not in (None, table.name)
    shard.closing = table.draining or (moved and now_ms - joined_ms >= settings.rebalance_after_ms)


def _resubmit_waiting(
    table: ShardTable, shard: Shard, settings: ClaimSettings, now_ms: int, wall_ms: int
) -> list[ShardAction]:
    if not shard.waiting_calls or shard_ownership.expects_ownership(table, shard):
        return []
    calls, shard.waiting_calls = shard.waiting_calls, []
    actions: list[ShardAction] = []
    for call in calls:
        actions += submit_call(table, call, settings, now_ms, wall_ms)
    return actions


def _record_time(table: ShardTable, settings: ClaimSettings, now_ms: int) -> None:
    last_ms = table.last_input_ms
    table.last_input_ms = now_ms
    if last_ms is not None and now_ms - last_ms >= settings.pause_limit_ms:
        _mark_unconfirmed(table)


def _mark_unconfirmed(table: ShardTable) -> None:
    for shard in table.shards:
        shard.ownership_unconfirmed = shard.owned
        in_flight = shard.pending_write is not None or shard.write_unresolved
        newest = get_next_sequence(shard) if in_flight else shard.page.sequence
        shard.sequence_before_pause = newest


__all__ = [
    "abandon_call",
    "begin_drain",
    "finish_call",
    "handle_page_read",
    "handle_page_written",
    "handle_read_failure",
    "handle_segments_read",
    "handle_write_failure",
    "is_drained",
    "new_shard_table",
    "run_tick",
    "shard_of",
    "submit_call",
    "update_hosts",
    "withdraw_call",
]
