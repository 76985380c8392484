"""
Model of at-most-once execution by shard owners that commit a claim before they run a call.

The model has two agents, one page and one key. Steps are atomic. A write may be applied at any
later time, its reply may be lost, and a store call may fail at any time, which covers outages of
any length. Two clock events are abstract: *age* (the interval after which an owner may grant claims
from memory has passed for all writes sent so far) and *horizon* (callers no longer retry the key).
Shards share no state except whether an agent's process runs, so one shard is modelled.

Invariants: the key runs at most once; no caller gets NOT_RUN for a key that ran.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from minicheck import Protocol

from spec.at_most_once_owner import owner_steps
from spec.at_most_once_state import (
    Agent,
    CallState,
    ClaimState,
    Mutation,
    Page,
    ProcessState,
    State,
    Step,
    Write,
)
from spec.at_most_once_steps import call_steps, fault_steps, time_steps, write_steps

if TYPE_CHECKING:
    from collections.abc import Iterator


def build(mutation: Mutation | None = None, **budgets: int) -> Protocol:
    """
    Build the specification.

    :param mutation: the rule that is left out, None for the correct protocol
    :param budgets: maximum numbers of crashes, pauses and revisions, by name
    :return: the model for the checker
    """
    initial = State(**budgets)  # type: ignore[arg-type]
    found: list[State] = []  # the search of a mutation ends at its first violation

    def transitions(fields: tuple[object, ...]) -> list[Step]:
        if found:
            return []
        steps = list(_steps(State(*fields), mutation))  # type: ignore[arg-type]
        found.extend(after for _, after in steps if _is_violation(after))
        return steps

    return Protocol(
        name="at_most_once",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "runs_at_most_once": lambda d: d["runs"] <= 1,
            "not_run_is_true": lambda d: not d["false_not_run"],
        },
    )


def _is_violation(state: State) -> bool:
    return state.runs > 1 or state.false_not_run


def _steps(state: State, mutation: Mutation | None) -> Iterator[Step]:
    yield from time_steps(state)
    yield from write_steps(state)
    for index, call in enumerate(state.calls):
        if index and call == state.calls[index - 1]:
            continue  # equal calls lead to equivalent states
        yield from call_steps(state, index, call, mutation)
    for name in (0, 1):
        yield from fault_steps(state, name, mutation)
        if state.agents[name].process is ProcessState.UP:
            yield from owner_steps(state, name, mutation)


__all__ = [
    "Agent",
    "CallState",
    "ClaimState",
    "ProcessState",
    "Mutation",
    "Page",
    "State",
    "Write",
    "build",
]
