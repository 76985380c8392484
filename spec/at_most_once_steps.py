"""Steps of callers, time, the store and faults in the specification of at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.at_most_once_state import (
    Agent,
    Call,
    Claim,
    Life,
    Mutation,
    Page,
    State,
    Step,
    learn,
    may_serve_from_memory,
    owns,
    say_not_run,
    set_agent,
    set_call,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


def time_steps(state: State) -> Iterator[Step]:
    """Let time pass."""
    aged = state._replace(
        page=state.page._replace(old=True),
        agents=tuple(agent._replace(strict_old=True) for agent in state.agents),
        writes=frozenset(w._replace(page=w.page._replace(old=True)) for w in state.writes),
    )
    if aged != state:
        yield "age", aged
    if not state.closed and Call.NEW not in state.calls:
        yield "horizon", state._replace(
            closed=True,
            page=state.page._replace(uncertain=False),
            agents=tuple(a._replace(page=_certain(a.page)) for a in state.agents),
            writes=frozenset(
                w._replace(page=w.page._replace(uncertain=False)) for w in state.writes
            ),
        )


def _certain(page: Page | None) -> Page | None:
    return None if page is None else page._replace(uncertain=False)


def write_steps(state: State) -> Iterator[Step]:
    """Apply a write."""
    for write in state.writes:
        page = write.page
        later = frozenset(w for w in state.writes if w.page.revision > page.revision)
        after = state._replace(writes=later, page=page)
        yield "write_reply_lost", after
        sender = state.agents[write.sender]
        if sender.life is Life.UP and sender.waiting and sender.incarnation == write.incarnation:
            learned = learn(sender, write.sender, page)
            yield "write_applied", set_agent(after, write.sender, learned)


def call_steps(state: State, index: int, call: Call, mistake: Mutation | None) -> Iterator[Step]:
    """Move one attempt of a caller."""
    if call is Call.NEW and not state.closed:
        yield f"send_{index}_a", set_call(state, index, Call.TO_A)
        yield f"send_{index}_b", set_call(state, index, Call.TO_B)
    if call in (Call.TO_A, Call.TO_B):
        name = call - Call.TO_A
        if state.agents[name].life is Life.UP:
            yield f"arrive_{index}", _arrive(state, index, name, mistake)
        else:
            yield f"lost_{index}", set_call(state, index, Call.DONE)
    if call in (Call.AT_A, Call.AT_B):
        name = call - Call.AT_A
        if state.agents[name].life is Life.DEAD:
            yield f"lost_{index}", set_call(state, index, Call.DONE)
        elif state.agents[name].life is Life.UP:
            yield from _waiting_call_steps(state, index, name, mistake)


def _arrive(state: State, index: int, name: int, mistake: Mutation | None) -> State:
    agent = state.agents[name]
    if state.closed and mistake is not Mutation.LATE_CALLS_RUN:
        return set_call(state, index, Call.DONE)
    leaving = agent.leaving and mistake is not Mutation.MEMORY_AFTER_RELEASE
    if not owns(agent, name) or leaving:
        other = Call.TO_B if name == 0 else Call.TO_A
        redirected = state.page.owner == 1 - name and state.agents[1 - name].life is Life.UP
        return set_call(state, index, other if redirected else Call.DONE)
    assert agent.page is not None
    if agent.claim in (Claim.PENDING, Claim.GRANTED, Claim.TAKEN):
        return set_call(state, index, Call.DONE)
    if agent.page.uncertain and agent.claim is Claim.UNKNOWN:
        if mistake is Mutation.NOT_RUN_FOR_UNKNOWN:
            return say_not_run(state, index)
        return set_call(state, index, Call.DONE)
    pending = set_agent(state, name, agent._replace(claim=Claim.PENDING))
    return set_call(pending, index, Call.AT_A if name == 0 else Call.AT_B)


def _waiting_call_steps(
    state: State, index: int, name: int, mistake: Mutation | None
) -> Iterator[Step]:
    agent = state.agents[name]
    if agent.claim is Claim.PENDING:
        if mistake is Mutation.RUN_BEFORE_COMMIT or may_serve_from_memory(agent, mistake):
            yield "claim_in_memory", set_agent(state, name, agent._replace(claim=Claim.GRANTED))
        left = set_agent(state, name, agent._replace(claim=Claim.NEVER))
        if agent.unconfirmed and mistake is not Mutation.NOT_RUN_UNCONFIRMED:
            yield f"withdraw_{index}", set_call(left, index, Call.DONE)
        else:
            yield f"withdraw_not_run_{index}", say_not_run(left, index)
    if agent.claim is Claim.GRANTED:
        ran = set_agent(state, name, agent._replace(claim=Claim.TAKEN))
        yield f"run_{index}", set_call(ran._replace(runs=state.runs + 1), index, Call.DONE)
    if agent.claim in (Claim.UNKNOWN, Claim.TAKEN):  # ownership was lost or read again
        yield f"refuse_{index}", set_call(state, index, Call.DONE)


def fault_steps(state: State, name: int, mistake: Mutation | None) -> Iterator[Step]:
    """Crash, restart, pause or resume an agent, or drop it from the host list."""
    agent = state.agents[name]
    if agent.life is Life.UP and state.crashes:
        crashed = set_agent(state, name, Agent(Life.DEAD, agent.incarnation))
        yield f"crash_{name}", crashed._replace(crashes=state.crashes - 1)
    if agent.life is Life.DEAD:
        restarted = Agent(incarnation=agent.incarnation + 1)
        if mistake is Mutation.NO_INCARNATION:
            restarted = Agent(incarnation=agent.incarnation)
        yield f"restart_{name}", set_agent(state, name, restarted)
    if agent.life is not Life.UP and not agent.gone:
        yield f"list_gone_{name}", set_agent(state, name, agent._replace(gone=True))
    if agent.life is Life.UP and state.pauses and agent.page is not None:
        paused = set_agent(state, name, agent._replace(life=Life.PAUSED))
        yield f"pause_{name}", paused._replace(pauses=state.pauses - 1)
    if agent.life is Life.PAUSED:
        confirm = mistake is not Mutation.RESUME_UNCONFIRMED
        resumed = agent._replace(life=Life.UP, unconfirmed=confirm, gone=False)
        yield f"resume_{name}", set_agent(state, name, resumed)


__all__ = ["call_steps", "fault_steps", "time_steps", "write_steps"]
