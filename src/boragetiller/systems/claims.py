"""Decide whether a call with an idempotency key runs, at the agent that owns the key's shard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import KeyReused, OutcomeUnknown, ResponseNotStored
from boragetiller.tables.claims import Claim, ClaimState, ShardCall
from boragetiller.tables.shard_actions import RefuseCall, ReplayResponse, RunCall, ShardAction
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardTable


def claim_key(
    shard: Shard, call: ShardCall, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    """
    Claim a key of an owned shard for a call.

    :param shard: the shard
    :param call: the call
    :param settings: how long claims are kept
    :param now_ms: monotonic time in milliseconds
    :return: how the call proceeds; empty when it waits
    """
    claim = shard.claims.get(call.digest)
    if claim is None and now_ms < shard.uncertain_until_ms:
        return [
            RefuseCall(
                call.call_id,
                OutcomeUnknown(retry_after_s=_compute_uncertain_period_s(shard, now_ms)),
            )
        ]
    if claim is None or claim.state is ClaimState.WITHDRAWN:
        return _start_claim(shard, call, claim, settings, now_ms)
    if claim.fingerprint != call.fingerprint:
        return [RefuseCall(call.call_id, KeyReused())]
    if claim.in_progress():
        claim.waiting_call_ids.append(call.call_id)
        return []
    return [_build_ended_claim_action(call.call_id, claim)]


def grant_claim(shard: Shard, digest: bytes) -> list[ShardAction]:
    """
    Run a pending call whose claim is committed or may be served from memory.

    :param shard: the shard
    :param digest: the key
    :return: the call to run; empty when the claim is not pending
    """
    claim = shard.claims[digest]
    if claim.state is not ClaimState.PENDING:
        return []
    claim.state = ClaimState.RUNNING
    return [RunCall(claim.running_call_id)]


def withdraw_call(shard: Shard, digest: bytes, call_id: int) -> Verdict:
    """
    Withdraw a waiting call so that it never runs.

    :param shard: the shard
    :param digest: its key
    :param call_id: the call
    :return: NOT_RUN when it is certain that no call of the key has run
    """
    claim = shard.claims.get(digest)
    if claim is None:
        return Verdict.MAY_HAVE_RUN
    if call_id in claim.waiting_call_ids:
        claim.waiting_call_ids.remove(call_id)
        return Verdict.MAY_HAVE_RUN
    if claim.running_call_id != call_id or claim.state is not ClaimState.PENDING:
        return Verdict.MAY_HAVE_RUN
    if claim.waiting_call_ids:
        claim.running_call_id = claim.waiting_call_ids.pop(0)
        return Verdict.MAY_HAVE_RUN
    _withdraw(shard, digest, claim)
    owner_confirmed = shard.owned and not shard.ownership_unconfirmed
    return Verdict.NOT_RUN if owner_confirmed else Verdict.MAY_HAVE_RUN


def finish_call(
    table: ShardTable, shard: Shard, digest: bytes, response: Any, size_bytes: int, limit_bytes: int
) -> list[ShardAction]:
    """
    Record the end of a running call.

    :param table: stored responses
    :param shard: the shard
    :param digest: its key
    :param response: the response, None when it is lost
    :param size_bytes: size of the response
    :param limit_bytes: limit on the total size of stored responses
    :return: actions that respond to the waiting calls of the same key
    """
    claim = shard.claims.get(digest)
    if claim is None or claim.state is not ClaimState.RUNNING:
        return []
    claim.state = ClaimState.UNKNOWN if response is None else ClaimState.FINISHED
    claim.response = response
    waiting, claim.waiting_call_ids = claim.waiting_call_ids, []
    actions: list[ShardAction] = [_build_ended_claim_action(call_id, claim) for call_id in waiting]
    _keep_response(table, shard, digest, size_bytes, limit_bytes)
    return actions


def abandon_call(shard: Shard, digest: bytes, call_id: int) -> list[ShardAction]:
    """
    Release the claim of a running call that never reached the backend server.

    :param shard: the shard
    :param digest: its key
    :param call_id: the call
    :return: the next waiting call of the same key, which runs instead
    """
    claim = shard.claims.get(digest)
    if claim is None or claim.state is not ClaimState.RUNNING or claim.running_call_id != call_id:
        return []
    if claim.waiting_call_ids:
        claim.running_call_id = claim.waiting_call_ids.pop(0)
        return [RunCall(claim.running_call_id)]
    _withdraw(shard, digest, claim)
    return []


def drop_claim(table: ShardTable, shard: Shard, digest: bytes) -> None:
    """
    Remove an expired claim and its response.

    :param table: stored responses
    :param shard: the shard
    :param digest: the key
    """
    _drop_response(table, shard, digest)
    shard.claims.pop(digest, None)
    shard.unsealed.pop(digest, None)
    shard.uncommitted.pop(digest, None)


def _start_claim(
    shard: Shard, call: ShardCall, withdrawn: Claim | None, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    kept_ms = settings.retry_horizon_ms + settings.max_call_age_ms
    claim = withdrawn or Claim(fingerprint=call.fingerprint, state=ClaimState.PENDING, expires_ms=0)
    claim.committed = claim.committed and claim.fingerprint == call.fingerprint
    claim.fingerprint = call.fingerprint
    claim.state = ClaimState.PENDING
    claim.expires_ms = now_ms + kept_ms
    claim.running_call_id = call.call_id
    shard.claims[call.digest] = claim
    shard.unsealed[call.digest] = None
    if claim.committed:
        return grant_claim(shard, call.digest)
    shard.uncommitted[call.digest] = None
    return []


def _withdraw(shard: Shard, digest: bytes, claim: Claim) -> None:
    claim.state = ClaimState.WITHDRAWN
    shard.uncommitted.pop(digest, None)
    if not claim.write_sent:
        del shard.claims[digest]
        shard.unsealed.pop(digest, None)


def _build_ended_claim_action(call_id: int, claim: Claim) -> ShardAction:
    if claim.state is ClaimState.UNKNOWN:
        return RefuseCall(call_id, OutcomeUnknown())
    if claim.response is None:
        return RefuseCall(call_id, ResponseNotStored())
    return ReplayResponse(call_id, claim.response)


def _keep_response(
    table: ShardTable, shard: Shard, digest: bytes, size_bytes: int, limit_bytes: int
) -> None:
    table.response_bytes[(shard.index, digest)] = size_bytes
    table.total_response_bytes += size_bytes
    while table.total_response_bytes > limit_bytes:
        index, oldest = next(iter(table.response_bytes))
        _drop_response(table, table.shards[index], oldest)


def _drop_response(table: ShardTable, shard: Shard, digest: bytes) -> None:
    table.total_response_bytes -= table.response_bytes.pop((shard.index, digest), 0)
    claim = shard.claims.get(digest)
    if claim is not None:
        claim.response = None


def _compute_uncertain_period_s(shard: Shard, now_ms: int) -> int:
    return (shard.uncertain_until_ms - now_ms + 999) // 1_000


__all__ = [
    "abandon_call",
    "claim_key",
    "drop_claim",
    "finish_call",
    "grant_claim",
    "withdraw_call",
]
