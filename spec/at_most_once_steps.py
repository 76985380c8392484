"""Steps of callers, time, the store and faults in the model of at-most-once execution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.at_most_once_state import (
    Agent,
    CallState,
    ClaimState,
    Mutation,
    Page,
    ProcessState,
    State,
    Step,
    apply_page,
    is_owner,
    may_grant_from_memory,
    replace_agent,
    replace_call,
    respond_not_run,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


def time_steps(state: State) -> Iterator[Step]:
    """List the steps of the two abstract clocks."""
    aged = state._replace(
        page=state.page._replace(memory_interval_passed=True),
        agents=tuple(agent._replace(strict_interval_passed=True) for agent in state.agents),
        writes=frozenset(
            w._replace(page=w.page._replace(memory_interval_passed=True)) for w in state.writes
        ),
    )
    if aged != state:
        yield "age", aged
    if not state.closed and CallState.NEW not in state.calls:
        yield "horizon", state._replace(
            closed=True,
            page=state.page._replace(uncertain=False),
            agents=tuple(a._replace(page=_clear_uncertain(a.page)) for a in state.agents),
            writes=frozenset(
                w._replace(page=w.page._replace(uncertain=False)) for w in state.writes
            ),
        )


def _clear_uncertain(page: Page | None) -> Page | None:
    return None if page is None else page._replace(uncertain=False)


def write_steps(state: State) -> Iterator[Step]:
    """List the steps in which the store applies a write, with and without a reply."""
    for write in state.writes:
        page = write.page
        later = frozenset(w for w in state.writes if w.page.revision > page.revision)
        after = state._replace(writes=later, page=page)
        yield "write_reply_lost", after
        sender = state.agents[write.sender]
        if (
            sender.process is ProcessState.UP
            and sender.write_pending
            and sender.incarnation == write.incarnation
        ):
            learned = apply_page(sender, write.sender, page)
            yield "write_applied", replace_agent(after, write.sender, learned)


def call_steps(
    state: State, index: int, call: CallState, mutation: Mutation | None
) -> Iterator[Step]:
    """List the steps of one attempt of a caller."""
    if call is CallState.NEW and not state.closed:
        yield f"send_{index}_a", replace_call(state, index, CallState.TO_A)
        yield f"send_{index}_b", replace_call(state, index, CallState.TO_B)
    if call in (CallState.TO_A, CallState.TO_B):
        name = call - CallState.TO_A
        if state.agents[name].process is ProcessState.UP:
            yield f"arrive_{index}", _receive_call(state, index, name, mutation)
        else:
            yield f"lost_{index}", replace_call(state, index, CallState.DONE)
    if call in (CallState.AT_A, CallState.AT_B):
        name = call - CallState.AT_A
        if state.agents[name].process is ProcessState.DEAD:
            yield f"lost_{index}", replace_call(state, index, CallState.DONE)
        elif state.agents[name].process is ProcessState.UP:
            yield from _waiting_call_steps(state, index, name, mutation)


def _receive_call(state: State, index: int, name: int, mutation: Mutation | None) -> State:
    agent = state.agents[name]
    if state.closed and mutation is not Mutation.RUN_LATE_CALLS:
        return replace_call(state, index, CallState.DONE)
    releasing = agent.releasing and mutation is not Mutation.MEMORY_AFTER_RELEASE
    if not is_owner(agent, name) or releasing:
        other = CallState.TO_B if name == 0 else CallState.TO_A
        redirected = (
            state.page.owner == 1 - name and state.agents[1 - name].process is ProcessState.UP
        )
        return replace_call(state, index, other if redirected else CallState.DONE)
    assert agent.page is not None
    if agent.claim in (ClaimState.PENDING, ClaimState.GRANTED, ClaimState.TAKEN):
        return replace_call(state, index, CallState.DONE)
    if agent.page.uncertain and agent.claim is ClaimState.UNKNOWN:
        if mutation is Mutation.NOT_RUN_FOR_UNKNOWN:
            return respond_not_run(state, index)
        return replace_call(state, index, CallState.DONE)
    pending = replace_agent(state, name, agent._replace(claim=ClaimState.PENDING))
    return replace_call(pending, index, CallState.AT_A if name == 0 else CallState.AT_B)


def _waiting_call_steps(
    state: State, index: int, name: int, mutation: Mutation | None
) -> Iterator[Step]:
    agent = state.agents[name]
    if agent.claim is ClaimState.PENDING:
        if mutation is Mutation.RUN_BEFORE_COMMIT or may_grant_from_memory(agent, mutation):
            yield "claim_in_memory", replace_agent(
                state, name, agent._replace(claim=ClaimState.GRANTED)
            )
        left = replace_agent(state, name, agent._replace(claim=ClaimState.NEVER))
        if agent.ownership_unconfirmed and mutation is not Mutation.NOT_RUN_UNCONFIRMED:
            yield f"withdraw_{index}", replace_call(left, index, CallState.DONE)
        else:
            yield f"withdraw_not_run_{index}", respond_not_run(left, index)
    if agent.claim is ClaimState.GRANTED:
        ran = replace_agent(state, name, agent._replace(claim=ClaimState.TAKEN))
        yield f"run_{index}", replace_call(ran._replace(runs=state.runs + 1), index, CallState.DONE)
    if agent.claim in (
        ClaimState.UNKNOWN,
        ClaimState.TAKEN,
    ):  # ownership was lost, or reset by a read
        yield f"refuse_{index}", replace_call(state, index, CallState.DONE)


def fault_steps(state: State, name: int, mutation: Mutation | None) -> Iterator[Step]:
    """List the steps that crash, restart, pause, resume or unlist an agent."""
    agent = state.agents[name]
    if agent.process is ProcessState.UP and state.crashes:
        crashed = replace_agent(state, name, Agent(ProcessState.DEAD, agent.incarnation))
        yield f"crash_{name}", crashed._replace(crashes=state.crashes - 1)
    if agent.process is ProcessState.DEAD:
        restarted = Agent(incarnation=agent.incarnation + 1)
        if mutation is Mutation.NO_INCARNATION:
            restarted = Agent(incarnation=agent.incarnation)
        yield f"restart_{name}", replace_agent(state, name, restarted)
    if agent.process is not ProcessState.UP and not agent.unlisted:
        yield f"list_gone_{name}", replace_agent(state, name, agent._replace(unlisted=True))
    if agent.process is ProcessState.UP and state.pauses and agent.page is not None:
        paused = replace_agent(state, name, agent._replace(process=ProcessState.PAUSED))
        yield f"pause_{name}", paused._replace(pauses=state.pauses - 1)
    if agent.process is ProcessState.PAUSED:
        confirm = mutation is not Mutation.RESUME_WITHOUT_CONFIRMATION
        resumed = agent._replace(
            process=ProcessState.UP, ownership_unconfirmed=confirm, unlisted=False
        )
        yield f"resume_{name}", replace_agent(state, name, resumed)


__all__ = ["call_steps", "fault_steps", "time_steps", "write_steps"]
