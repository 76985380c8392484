"""
Model of weight loads that are limited by slots shared by all engines.

Two engines share one slot, which is a lease of the store. A load ends at most `DELIVERY + LOAD`
ticks after its order, even if the process that sent the order is paused, restarted, or no longer
knows the state of the load. Times are kept as remaining ticks, so a pause may be of any length.

Invariant: no more loads run at the same time than there are slots.

    python -m spec.weight_slots
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from spec.checking import check_models

if TYPE_CHECKING:
    from collections.abc import Iterator

DELIVERY = 1
LOAD = 2
SLOT_TTL = 5
NONE = -1
PROCESSES = (0, 1)


class Mutation(Enum):
    """A rule that a mutated protocol leaves out; the checker must find each."""

    SLOT_CHECKED_AT_START_ONLY = (
        "the slot only has to be held when the load starts, not until it ends"
    )
    SLOT_RELEASED_EARLY = "a slot is released when its holder no longer knows the state of the load"


class Loader(NamedTuple):
    """Remaining ticks of an agent's slot, as the agent counts them, and of its engine's load."""

    valid_left: int = 0
    load_left: int = NONE


class SlotState(NamedTuple):
    """State of the whole model."""

    slot_holder: int = NONE
    slot_left: int = 0
    loaders: tuple[Loader, Loader] = (Loader(), Loader())


def slot_covers(loader: Loader, mutation: Mutation | None = None) -> bool:
    """:return: whether a load may start now"""
    if mutation is Mutation.SLOT_CHECKED_AT_START_ONLY:
        return loader.valid_left > 0
    return loader.valid_left > DELIVERY + LOAD


def slot_steps(
    state: SlotState, *, mutation: Mutation | None = None
) -> Iterator[tuple[str, SlotState]]:
    """
    List the steps from a state.

    :param state: the state
    :param mutation: the rule that is left out, if any
    :return: label and next state of each step
    """
    if all(loader.load_left != 0 for loader in state.loaders):
        first, second = state.loaders
        left = max(0, state.slot_left - 1)
        loaders = (_advance_loader(first), _advance_loader(second))
        yield "tick", state._replace(slot_left=left, loaders=loaders)
    for index in PROCESSES:
        yield from _list_process_steps(state, index, mutation)


def _list_process_steps(
    state: SlotState, index: int, mutation: Mutation | None
) -> Iterator[tuple[str, SlotState]]:
    loader = state.loaders[index]
    if loader.load_left != NONE:
        yield f"end {index}", _release_slot(state, index, Loader())
        without_state = Loader(load_left=loader.load_left)
        early = mutation is Mutation.SLOT_RELEASED_EARLY
        after = (
            _release_slot(state, index, without_state)
            if early
            else _replace_loader(state, index, without_state)
        )
        yield f"lose {index}", after
        return
    if state.slot_left == 0 and loader.valid_left == 0:
        taken = state._replace(slot_holder=index, slot_left=SLOT_TTL)
        for delay in (0, 1):  # ticks between the request of the slot and its reply
            held = Loader(valid_left=SLOT_TTL - delay)
            yield f"take {index} {delay}", _replace_loader(taken, index, held)
    if slot_covers(loader, mutation):
        started = loader._replace(load_left=DELIVERY + LOAD)
        yield f"load {index}", _replace_loader(state, index, started)
    if loader.valid_left:
        yield f"restart {index}", _replace_loader(state, index, Loader())


def _advance_loader(loader: Loader) -> Loader:
    load_left = loader.load_left if loader.load_left == NONE else loader.load_left - 1
    return Loader(valid_left=max(0, loader.valid_left - 1), load_left=load_left)


def _release_slot(state: SlotState, index: int, loader: Loader) -> SlotState:
    after = _replace_loader(state, index, loader)
    still_held = state.slot_holder == index and state.loaders[index].valid_left > 0
    return after._replace(slot_holder=NONE, slot_left=0) if still_held else after


def _replace_loader(state: SlotState, index: int, loader: Loader) -> SlotState:
    loaders = (loader, state.loaders[1]) if index == 0 else (state.loaders[0], loader)
    return state._replace(loaders=loaders)


def slot_model(mutation: Mutation | None = None) -> Protocol:
    """
    Build the slot model.

    :param mutation: the rule that is left out, if any
    :return: the model
    """
    return Protocol(
        name="slots",
        candidate=False,
        fields=("state",),
        initial=(SlotState(),),
        transitions=lambda s: [
            (label, (after,)) for label, after in slot_steps(s[0], mutation=mutation)
        ],
        invariants={"one load at once": lambda d: _count_loads(d["state"]) <= 1},
    )


def _count_loads(state: SlotState) -> int:
    return sum(loader.load_left != NONE for loader in state.loaders)


def _count_loads(state: SlotState) -> int:
    return sum(loader.load_left != NONE for loader in state.loaders)


if __name__ == "__main__":
    sys.exit(check_models([slot_model()]))

__all__ = [
    "DELIVERY",
    "LOAD",
    "SLOT_TTL",
    "Mutation",
    "SlotState",
    "slot_covers",
    "slot_model",
    "slot_steps",
]
