"""Decide on calls by the claims of their keys, at the agent that owns the shard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragetiller.errors import KeyReused, OutcomeUnknown, ResponseNotStored
from boragetiller.tables.claims import Claim, ClaimState, ShardCall
from boragetiller.tables.shard_actions import RefuseCall, ReplayAnswer, RunCall, ShardAction
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from boragetiller.settings import ClaimSettings
    from boragetiller.tables.shards import Shard, ShardTable


def claim_key(
    shard: Shard, call: ShardCall, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    """
    Ask for a key of an owned shard.

    :param shard: the shard
    :param call: the call
    :param settings: how long claims are kept
    :param now_ms: monotonic time in milliseconds
    :return: an answer, or nothing when the call waits
    """
    claim = shard.claims.get(call.digest)
    if claim is None and now_ms < shard.uncertain_until_ms:
        return [RefuseCall(call.call_id, OutcomeUnknown(retry_after_s=_uncertain_s(shard, now_ms)))]
    if claim is None or claim.state is ClaimState.WITHDRAWN:
        return _claim_anew(shard, call, claim, settings, now_ms)
    if claim.fingerprint != call.fingerprint:
        return [RefuseCall(call.call_id, KeyReused())]
    if claim.in_progress():
        claim.waiters.append(call.call_id)
        return []
    return [_ended_answer(call.call_id, claim)]


def grant(shard: Shard, digest: bytes) -> list[ShardAction]:
    """
    Let a pending call run, once its claim is committed or may be served from memory.

    :param shard: the shard
    :param digest: the key
    :return: the call to run
    """
    claim = shard.claims[digest]
    if claim.state is not ClaimState.PENDING:
        return []
    claim.state = ClaimState.RUNNING
    return [RunCall(claim.runner)]


def withdraw_call(shard: Shard, digest: bytes, call_id: int) -> Verdict:
    """
    Make sure that a waiting call never runs.

    :param shard: the shard
    :param digest: its key
    :param call_id: the call
    :return: NOT_RUN when the key did not run at all
    """
    claim = shard.claims.get(digest)
    if claim is None:
        return Verdict.MAY_HAVE_RUN
    if call_id in claim.waiters:
        claim.waiters.remove(call_id)
        return Verdict.MAY_HAVE_RUN
    if claim.runner != call_id or claim.state is not ClaimState.PENDING:
        return Verdict.MAY_HAVE_RUN
    if claim.waiters:
        claim.runner = claim.waiters.pop(0)
        return Verdict.MAY_HAVE_RUN
    _withdraw(shard, digest, claim)
    certain = shard.owned and not shard.unconfirmed
    return Verdict.NOT_RUN if certain else Verdict.MAY_HAVE_RUN


def finish_call(
    table: ShardTable, shard: Shard, digest: bytes, answer: Any, size_bytes: int, limit_bytes: int
) -> list[ShardAction]:
    """
    Note the end of a call that was let run.

    :param table: answers kept
    :param shard: the shard
    :param digest: its key
    :param answer: the answer, None when it is lost
    :param size_bytes: size of the answer
    :param limit_bytes: size of all kept answers
    :return: answers for calls of the same key that wait
    """
    claim = shard.claims.get(digest)
    if claim is None or claim.state is not ClaimState.RUNNING:
        return []
    claim.state = ClaimState.UNKNOWN if answer is None else ClaimState.FINISHED
    claim.answer = answer
    waiters, claim.waiters = claim.waiters, []
    actions: list[ShardAction] = [_ended_answer(call_id, claim) for call_id in waiters]
    _keep_answer(table, shard, digest, size_bytes, limit_bytes)
    return actions


def abandon_call(shard: Shard, digest: bytes, call_id: int) -> list[ShardAction]:
    """
    Take back a call that was let run and never reached the backend server.

    :param shard: the shard
    :param digest: its key
    :param call_id: the call
    :return: the next call of the same key to run, if one waits
    """
    claim = shard.claims.get(digest)
    if claim is None or claim.state is not ClaimState.RUNNING or claim.runner != call_id:
        return []
    if claim.waiters:
        claim.runner = claim.waiters.pop(0)
        return [RunCall(claim.runner)]
    _withdraw(shard, digest, claim)
    return []


def forget_claim(table: ShardTable, shard: Shard, digest: bytes) -> None:
    """
    Drop a claim that expired.

    :param table: answers kept
    :param shard: the shard
    :param digest: the key
    """
    _drop_answer(table, shard, digest)
    shard.claims.pop(digest, None)
    shard.recent.pop(digest, None)
    shard.uncommitted.pop(digest, None)


def _claim_anew(
    shard: Shard, call: ShardCall, earlier: Claim | None, settings: ClaimSettings, now_ms: int
) -> list[ShardAction]:
    kept_ms = settings.retry_horizon_ms + settings.max_call_age_ms
    claim = earlier or Claim(fingerprint=call.fingerprint, state=ClaimState.PENDING, expires_ms=0)
    claim.committed = claim.committed and claim.fingerprint == call.fingerprint
    claim.fingerprint = call.fingerprint
    claim.state = ClaimState.PENDING
    claim.expires_ms = now_ms + kept_ms
    claim.runner = call.call_id
    shard.claims[call.digest] = claim
    shard.recent[call.digest] = None
    if claim.committed:
        return grant(shard, call.digest)
    shard.uncommitted[call.digest] = None
    return []


def _withdraw(shard: Shard, digest: bytes, claim: Claim) -> None:
    claim.state = ClaimState.WITHDRAWN
    shard.uncommitted.pop(digest, None)
    if not claim.sent:
        del shard.claims[digest]
        shard.recent.pop(digest, None)


def _ended_answer(call_id: int, claim: Claim) -> ShardAction:
    if claim.state is ClaimState.UNKNOWN:
        return RefuseCall(call_id, OutcomeUnknown())
    if claim.answer is None:
        return RefuseCall(call_id, ResponseNotStored())
    return ReplayAnswer(call_id, claim.answer)


def _keep_answer(
    table: ShardTable, shard: Shard, digest: bytes, size_bytes: int, limit_bytes: int
) -> None:
    table.kept_bytes[(shard.index, digest)] = size_bytes
    table.kept_total_bytes += size_bytes
    while table.kept_total_bytes > limit_bytes:
        index, oldest = next(iter(table.kept_bytes))
        _drop_answer(table, table.shards[index], oldest)


def _drop_answer(table: ShardTable, shard: Shard, digest: bytes) -> None:
    table.kept_total_bytes -= table.kept_bytes.pop((shard.index, digest), 0)
    claim = shard.claims.get(digest)
    if claim is not None:
        claim.answer = None


def _uncertain_s(shard: Shard, now_ms: int) -> int:
    return (shard.uncertain_until_ms - now_ms + 999) // 1_000


__all__ = [
    "abandon_call",
    "claim_key",
    "finish_call",
    "forget_claim",
    "grant",
    "withdraw_call",
]
