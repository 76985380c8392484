"""
Model of orders that two processes send to one engine under a lease with fencing tokens.

Each process may pause at any step, restart, and lose a reply of the store. Times are kept as
remaining or elapsed ticks, so a pause may be of any length. An order arrives within `DELIVERY`
ticks after it was sent. The engine either checks fencing tokens or ignores them.

Invariants: orders run in the order of their tokens; no order runs after the lease was granted to
another process. Bound: `MAX_GRANTS` leases.

    python -m spec.lease_fencing
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from spec.checking import check_models

if TYPE_CHECKING:
    from collections.abc import Iterator

TTL = 3
DELIVERY = 1
MAX_GRANTS = 3
NONE = -1
FORMER_HOLDER_OFFSET = 2  # added to the index of a process that held the lease and was restarted
PROCESSES = (0, 1)


class Mutation(Enum):
    """A rule that a mutated protocol leaves out; the checker must find each."""

    NO_CHECK_AT_SEND = "the lease is checked when it is acquired, not when an order is sent"
    TTL_COUNTED_FROM_REPLY = (
        "the lease's time to live is counted from the reply, not from the request"
    )
    NO_DELIVERY_TIME = "the delivery time of an order is not subtracted"
    NO_MARGIN_AT_EXPIRY = "an order may arrive in the tick in which the lease expires"
    OLD_TOKEN = "a new lease is used with the token of the first one"


class Holder(NamedTuple):
    """One process with its outstanding request, its lease and its order in flight."""

    request_age: int = NONE
    reply: int = 0  # token that was granted and whose reply has not arrived
    token: int = 0
    valid_left: int = 0
    order_token: int = 0
    order_age: int = NONE


class LeaseState(NamedTuple):
    """State of the whole model."""

    lease_holder: int = NONE
    lease_token: int = 0
    lease_left: int = 0
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    newest_run: int = 0
    stale_run: bool = False
    superseded_run: bool = False


def may_send(holder: Holder, mutation: Mutation | None = None) -> bool:
    """:return: whether the process may send an order now"""
    if holder.token == 0 or mutation is Mutation.NO_CHECK_AT_SEND:
        return holder.token > 0
    if mutation is Mutation.NO_DELIVERY_TIME:
        return holder.valid_left > 0
    if mutation is Mutation.NO_MARGIN_AT_EXPIRY:
        return holder.valid_left >= DELIVERY
    return holder.valid_left > DELIVERY


def lease_steps(
    state: LeaseState, *, checks_tokens: bool, mutation: Mutation | None = None
) -> Iterator[tuple[str, LeaseState]]:
    """
    List the steps from a state.

    :param state: the state
    :param checks_tokens: whether the engine refuses orders with an older token
    :param mutation: the rule that is left out, if any
    :return: label and next state of each step
    """
    if all(holder.order_age < DELIVERY for holder in state.holders):
        yield "tick", _advance_time(state)
    for index in PROCESSES:
        yield from _request_steps(state, index, mutation)
        yield from _order_steps(state, index, checks_tokens, mutation)
        if state.holders[index] != Holder():
            yield f"restart {index}", _restart(state, index)


def _advance_time(state: LeaseState) -> LeaseState:
    first, second = state.holders
    left = max(0, state.lease_left - 1)
    return state._replace(
        lease_left=left, holders=(_advance_holder(first), _advance_holder(second))
    )


def _advance_holder(holder: Holder) -> Holder:
    request_age = (
        holder.request_age if holder.request_age == NONE else min(TTL, holder.request_age + 1)
    )
    order_age = holder.order_age if holder.order_age == NONE else holder.order_age + 1
    valid_left = max(0, holder.valid_left - 1)
    return holder._replace(request_age=request_age, order_age=order_age, valid_left=valid_left)


def _request_steps(
    state: LeaseState, index: int, mutation: Mutation | None
) -> Iterator[tuple[str, LeaseState]]:
    holder = state.holders[index]
    if holder.request_age == NONE:
        yield f"request {index}", _replace_holder(state, index, holder._replace(request_age=0))
        return
    without_request = holder._replace(request_age=NONE, reply=0)
    if holder.reply:
        yield f"receive {index}", _replace_holder(
            state, index, _receive_reply(holder, without_request, mutation)
        )
        yield f"lose {index}", _replace_holder(state, index, without_request)
    elif state.lease_holder not in (NONE, index) and state.lease_left > 0:
        yield f"deny {index}", _replace_holder(state, index, without_request)
    elif state.lease_token < MAX_GRANTS:
        token = state.lease_token + 1
        granted = state._replace(lease_holder=index, lease_token=token, lease_left=TTL)
        yield f"grant {index}", _replace_holder(granted, index, holder._replace(reply=token))


def _receive_reply(holder: Holder, without_request: Holder, mutation: Mutation | None) -> Holder:
    left = TTL if mutation is Mutation.TTL_COUNTED_FROM_REPLY else TTL - holder.request_age
    token = holder.reply
    if mutation is Mutation.OLD_TOKEN and holder.token:
        token = holder.token
    return without_request._replace(token=token, valid_left=left)


def _order_steps(
    state: LeaseState, index: int, checks_tokens: bool, mutation: Mutation | None
) -> Iterator[tuple[str, LeaseState]]:
    holder = state.holders[index]
    if holder.order_age == NONE:
        if may_send(holder, mutation):
            sent = holder._replace(order_token=holder.token, order_age=0)
            yield f"send {index}", _replace_holder(state, index, sent)
        return
    token = holder.order_token
    after = _replace_holder(state, index, holder._replace(order_token=0, order_age=NONE))
    if checks_tokens and token < state.newest_run:
        yield f"refuse {index}", after
        return
    superseded = state.lease_holder not in (index, index + FORMER_HOLDER_OFFSET)
    run = after._replace(
        newest_run=max(token, state.newest_run),
        stale_run=state.stale_run or token < state.newest_run,
        superseded_run=state.superseded_run or superseded,
    )
    yield f"run {index}", run


def _restart(state: LeaseState, index: int) -> LeaseState:
    old = state.holders[index]
    kept = Holder(order_token=old.order_token, order_age=old.order_age)
    owner = index + FORMER_HOLDER_OFFSET if state.lease_holder == index else state.lease_holder
    return _replace_holder(state, index, kept)._replace(lease_holder=owner)


def _replace_holder(state: LeaseState, index: int, holder: Holder) -> LeaseState:
    holders = (holder, state.holders[1]) if index == 0 else (state.holders[0], holder)
    return state._replace(holders=holders)


def lease_model(*, checks_tokens: bool, mutation: Mutation | None = None) -> Protocol:
    """
    Build the lease model.

    :param checks_tokens: whether the engine refuses orders with an older token
    :param mutation: the rule that is left out, if any
    :return: the model
    """
    return Protocol(
        name=f"lease-{'honours' if checks_tokens else 'ignores'}",
        candidate=False,
        fields=("state",),
        initial=(LeaseState(),),
        transitions=lambda s: [
            (label, (after,))
            for label, after in lease_steps(s[0], checks_tokens=checks_tokens, mutation=mutation)
        ],
        invariants={
            "orders run by number": lambda d: not d["state"].stale_run,
            "no order runs after a takeover": lambda d: not d["state"].superseded_run,
        },
    )


if __name__ == "__main__":
    sys.exit(check_models([lease_model(checks_tokens=True), lease_model(checks_tokens=False)]))

__all__ = [
    "DELIVERY",
    "TTL",
    "LeaseState",
    "Mutation",
    "lease_model",
    "lease_steps",
    "may_send",
]
