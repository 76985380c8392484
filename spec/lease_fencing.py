"""
Orders to an engine under a lease, and weight loads under slots, for minicheck.

Lease model. Two processes want to give orders to one engine. Each may pause at any step (time
then passes without it), restart, and lose a reply of the store. Time is kept as what is left or
has passed, in ticks, so pauses may be of any length. A sent order arrives within `DELIVERY` ticks.
The engine either honours fencing numbers or ignores them.

Slot model. Two engines share one slot for weight loads. A load ends at latest `DELIVERY + LOAD`
ticks after its order, also when the process that ordered it is paused or gone.

Invariants: orders run in the order of their numbers; no order runs once another process was
granted the lease; no more loads run at once than there are slots. Bound: `MAX_GRANTS` leases.

    python -m spec.lease_fencing
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol, check_safety

if TYPE_CHECKING:
    from collections.abc import Iterator

TTL = 3
DELIVERY = 1
MAX_GRANTS = 3
LOAD = 2
SLOT_TTL = 5
MAX_STATES = 500_000
NONE = -1
GONE = 2  # added to the index of a process that held the lease and was restarted
PROCESSES = (0, 1)


class Mistake(Enum):
    """Seeded mistakes; the checker must find each."""

    NO_CHECK_AT_SEND = "the lease is checked when it is taken, not when an order is sent"
    COUNTED_FROM_REPLY = "the lease is counted from its reply, not from its request"
    NO_DELIVERY_TIME = "the time that an order is on its way is not allowed for"
    LAST_MOMENT = "an order may arrive at the very moment when the lease ends"
    OLD_NUMBER = "a new lease is used with the number of the first one"
    SHORT_SLOT = "a slot is only checked to be held when the load begins"
    SLOT_FREED_EARLY = "a slot is released when its holder loses sight of the load"


class Holder(NamedTuple):
    """One process: its outstanding request, its lease, its order on the way."""

    asked_ago: int = NONE
    reply: int = 0  # number granted and not heard of yet
    token: int = 0
    valid_left: int = 0
    order_token: int = 0
    order_ago: int = NONE


class LeaseState(NamedTuple):
    """Everything at one moment."""

    lease_holder: int = NONE
    lease_token: int = 0
    lease_left: int = 0
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    newest_run: int = 0
    stale_run: bool = False
    superseded_run: bool = False


def may_send(holder: Holder, mistake: Mistake | None = None) -> bool:
    """:return: whether the process may send an order now"""
    if holder.token == 0 or mistake is Mistake.NO_CHECK_AT_SEND:
        return holder.token > 0
    if mistake is Mistake.NO_DELIVERY_TIME:
        return holder.valid_left > 0
    if mistake is Mistake.LAST_MOMENT:
        return holder.valid_left >= DELIVERY
    return holder.valid_left > DELIVERY


def lease_steps(
    state: LeaseState, *, honours: bool, mistake: Mistake | None = None
) -> Iterator[tuple[str, LeaseState]]:
    """
    List what can happen next.

    :param state: the present state
    :param honours: whether the engine refuses old numbers
    :param mistake: seeded mistake, if any
    :return: labels and next states
    """
    if all(holder.order_ago < DELIVERY for holder in state.holders):
        yield "tick", _ticked(state)
    for index in PROCESSES:
        yield from _request_steps(state, index, mistake)
        yield from _order_steps(state, index, honours, mistake)
        if state.holders[index] != Holder():
            yield f"restart {index}", _restarted(state, index)


def _ticked(state: LeaseState) -> LeaseState:
    first, second = state.holders
    left = max(0, state.lease_left - 1)
    return state._replace(lease_left=left, holders=(_older(first), _older(second)))


def _older(holder: Holder) -> Holder:
    asked_ago = holder.asked_ago if holder.asked_ago == NONE else min(TTL, holder.asked_ago + 1)
    order_ago = holder.order_ago if holder.order_ago == NONE else holder.order_ago + 1
    valid_left = max(0, holder.valid_left - 1)
    return holder._replace(asked_ago=asked_ago, order_ago=order_ago, valid_left=valid_left)


def _request_steps(
    state: LeaseState, index: int, mistake: Mistake | None
) -> Iterator[tuple[str, LeaseState]]:
    holder = state.holders[index]
    if holder.asked_ago == NONE:
        yield f"ask {index}", _with(state, index, holder._replace(asked_ago=0))
        return
    forgotten = holder._replace(asked_ago=NONE, reply=0)
    if holder.reply:
        yield f"hear {index}", _with(state, index, _heard(holder, forgotten, mistake))
        yield f"lose {index}", _with(state, index, forgotten)
    elif state.lease_holder not in (NONE, index) and state.lease_left > 0:
        yield f"deny {index}", _with(state, index, forgotten)
    elif state.lease_token < MAX_GRANTS:
        token = state.lease_token + 1
        granted = state._replace(lease_holder=index, lease_token=token, lease_left=TTL)
        yield f"grant {index}", _with(granted, index, holder._replace(reply=token))


def _heard(holder: Holder, forgotten: Holder, mistake: Mistake | None) -> Holder:
    left = TTL if mistake is Mistake.COUNTED_FROM_REPLY else TTL - holder.asked_ago
    token = holder.reply
    if mistake is Mistake.OLD_NUMBER and holder.token:
        token = holder.token
    return forgotten._replace(token=token, valid_left=left)


def _order_steps(
    state: LeaseState, index: int, honours: bool, mistake: Mistake | None
) -> Iterator[tuple[str, LeaseState]]:
    holder = state.holders[index]
    if holder.order_ago == NONE:
        if may_send(holder, mistake):
            sent = holder._replace(order_token=holder.token, order_ago=0)
            yield f"send {index}", _with(state, index, sent)
        return
    token = holder.order_token
    after = _with(state, index, holder._replace(order_token=0, order_ago=NONE))
    if honours and token < state.newest_run:
        yield f"refuse {index}", after
        return
    superseded = state.lease_holder not in (index, index + GONE)
    run = after._replace(
        newest_run=max(token, state.newest_run),
        stale_run=state.stale_run or token < state.newest_run,
        superseded_run=state.superseded_run or superseded,
    )
    yield f"run {index}", run


def _restarted(state: LeaseState, index: int) -> LeaseState:
    old = state.holders[index]
    kept = Holder(order_token=old.order_token, order_ago=old.order_ago)
    owner = index + GONE if state.lease_holder == index else state.lease_holder
    return _with(state, index, kept)._replace(lease_holder=owner)


def _with(state: LeaseState, index: int, holder: Holder) -> LeaseState:
    holders = (holder, state.holders[1]) if index == 0 else (state.holders[0], holder)
    return state._replace(holders=holders)


class Loader(NamedTuple):
    """One engine and its agent: what is left of its slot as the agent knows, and its load."""

    valid_left: int = 0
    load_left: int = NONE


class SlotState(NamedTuple):
    """Everything at one moment."""

    slot_holder: int = NONE
    slot_left: int = 0
    loaders: tuple[Loader, Loader] = (Loader(), Loader())


def slot_covers(loader: Loader, mistake: Mistake | None = None) -> bool:
    """:return: whether a load may begin now"""
    if mistake is Mistake.SHORT_SLOT:
        return loader.valid_left > 0
    return loader.valid_left > DELIVERY + LOAD


def slot_steps(
    state: SlotState, *, mistake: Mistake | None = None
) -> Iterator[tuple[str, SlotState]]:
    """
    List what can happen next.

    :param state: the present state
    :param mistake: seeded mistake, if any
    :return: labels and next states
    """
    if all(loader.load_left != 0 for loader in state.loaders):
        first, second = state.loaders
        left = max(0, state.slot_left - 1)
        loaders = (_later(first), _later(second))
        yield "tick", state._replace(slot_left=left, loaders=loaders)
    for index in PROCESSES:
        yield from _slot_steps_of(state, index, mistake)


def _slot_steps_of(
    state: SlotState, index: int, mistake: Mistake | None
) -> Iterator[tuple[str, SlotState]]:
    loader = state.loaders[index]
    if loader.load_left != NONE:
        yield f"end {index}", _released(state, index, Loader())
        unseen = Loader(load_left=loader.load_left)
        early = mistake is Mistake.SLOT_FREED_EARLY
        after = _released(state, index, unseen) if early else _with_loader(state, index, unseen)
        yield f"lose {index}", after
        return
    if state.slot_left == 0 and loader.valid_left == 0:
        taken = state._replace(slot_holder=index, slot_left=SLOT_TTL)
        for delay in (0, 1):  # how long ago the slot was asked for when the reply comes
            held = Loader(valid_left=SLOT_TTL - delay)
            yield f"take {index} {delay}", _with_loader(taken, index, held)
    if slot_covers(loader, mistake):
        begun = loader._replace(load_left=DELIVERY + LOAD)
        yield f"load {index}", _with_loader(state, index, begun)
    if loader.valid_left:
        yield f"restart {index}", _with_loader(state, index, Loader())


def _later(loader: Loader) -> Loader:
    load_left = loader.load_left if loader.load_left == NONE else loader.load_left - 1
    return Loader(valid_left=max(0, loader.valid_left - 1), load_left=load_left)


def _released(state: SlotState, index: int, loader: Loader) -> SlotState:
    after = _with_loader(state, index, loader)
    still_held = state.slot_holder == index and state.loaders[index].valid_left > 0
    return after._replace(slot_holder=NONE, slot_left=0) if still_held else after


def _with_loader(state: SlotState, index: int, loader: Loader) -> SlotState:
    loaders = (loader, state.loaders[1]) if index == 0 else (state.loaders[0], loader)
    return state._replace(loaders=loaders)


def lease_model(*, honours: bool, mistake: Mistake | None = None) -> Protocol:
    """
    Build the lease model.

    :param honours: whether the engine refuses old numbers
    :param mistake: seeded mistake, if any
    :return: the model
    """
    return Protocol(
        name=f"lease-{'honours' if honours else 'ignores'}",
        candidate=False,
        fields=("state",),
        initial=(LeaseState(),),
        transitions=lambda s: [
            (label, (after,))
            for label, after in lease_steps(s[0], honours=honours, mistake=mistake)
        ],
        invariants={
            "orders run by number": lambda d: not d["state"].stale_run,
            "no order runs after a takeover": lambda d: not d["state"].superseded_run,
        },
    )


def slot_model(mistake: Mistake | None = None) -> Protocol:
    """
    Build the slot model.

    :param mistake: seeded mistake, if any
    :return: the model
    """
    return Protocol(
        name="slots",
        candidate=False,
        fields=("state",),
        initial=(SlotState(),),
        transitions=lambda s: [
            (label, (after,)) for label, after in slot_steps(s[0], mistake=mistake)
        ],
        invariants={"one load at once": lambda d: _loads(d["state"]) <= 1},
    )


def _loads(state: SlotState) -> int:
    return sum(loader.load_left != NONE for loader in state.loaders)


def violated(model: Protocol) -> tuple[list[str], int]:
    """
    Check a model.

    :param model: the model
    :return: names of the invariants that do not hold, and the number of states
    :raises RuntimeError: the search was not exhaustive and found nothing
    """
    result: dict[str, Any] = check_safety(model, max_states=MAX_STATES)
    names = [name for name, found in result["properties"].items() if found["holds"] is False]
    if not names and not result["exhaustive"]:
        raise RuntimeError("the search was not exhaustive")
    return names, result["reachable_states"]


def main() -> int:
    """
    Check the models and print what was found.

    :return: process exit code
    """
    failed = 0
    for model in (lease_model(honours=True), lease_model(honours=False), slot_model()):
        names, states = violated(model)
        failed += bool(names)
        print(f"{model.name}: {states} states, violated: {names or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = [
    "DELIVERY",
    "LOAD",
    "SLOT_TTL",
    "TTL",
    "LeaseState",
    "Mistake",
    "SlotState",
    "lease_model",
    "lease_steps",
    "may_send",
    "slot_covers",
    "slot_model",
    "slot_steps",
    "violated",
]
