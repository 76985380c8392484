"""Steps of an agent that reads and writes its page, in the model of at-most-once execution."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.at_most_once_state import (
    NO_OWNER,
    Agent,
    ClaimState,
    Mutation,
    Page,
    State,
    Step,
    Write,
    apply_page,
    is_owner,
    may_grant_from_memory,
    replace_agent,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


def owner_steps(state: State, name: int, mutation: Mutation | None) -> Iterator[Step]:
    """List the steps in which an agent reads, writes, takes over or releases the page."""
    agent = state.agents[name]
    if agent.write_pending:
        timed_out = agent._replace(write_pending=False, write_unresolved=True, store_failing=True)
        yield f"write_timeout_{name}", replace_agent(state, name, timed_out)
        return
    if agent.page is not None or agent.write_unresolved:
        learned = apply_page(agent, name, state.page)
        if mutation is Mutation.CONFIRM_BY_READ:
            learned = learned._replace(ownership_unconfirmed=False)
        yield f"read_{name}", replace_agent(state, name, learned)
    if not agent.store_failing and is_owner(agent, name):
        yield f"read_failed_{name}", replace_agent(state, name, agent._replace(store_failing=True))
    if agent.write_unresolved or not state.revisions:
        return
    base = agent.page or state.page
    for label, page in _list_next_pages(state, name, mutation):
        numbered = page._replace(revision=base.revision + 1, memory_interval_passed=False)
        sent = agent._replace(write_pending=True, releasing=page.owner == NO_OWNER)
        if not numbered.memory:
            sent = sent._replace(strict_revision=numbered.revision, strict_interval_passed=False)
        write = Write(name, agent.incarnation, numbered)
        after = replace_agent(state, name, sent)
        writes = state.writes | {write} if base.revision == state.page.revision else state.writes
        yield label, after._replace(writes=writes, revisions=state.revisions - 1)


def _list_next_pages(
    state: State, name: int, mutation: Mutation | None
) -> Iterator[tuple[str, Page]]:
    agent = state.agents[name]
    page = agent.page
    if page is None:
        if _may_take_over(state, name, mutation):
            yield f"take_{name}", _build_takeover_page(
                state.page, name, agent.incarnation, mutation
            )
        return
    held = agent.claim in (ClaimState.PENDING, ClaimState.GRANTED, ClaimState.TAKEN)
    from_memory = may_grant_from_memory(agent, mutation)
    forgets = mutation is Mutation.OMIT_MEMORY_KEYS and from_memory
    key = page.key or (held and not forgets)
    if from_memory and held and not page.key:
        yield f"add_memory_keys_{name}", page._replace(key=key, memory=True)
    elif not agent.releasing and _needs_write(agent, page, held):
        yield f"commit_{name}", page._replace(key=key, memory=False)
    if agent.claim is not ClaimState.GRANTED and agent.claim is not ClaimState.PENDING:
        yield f"release_{name}", Page(key=key, uncertain=page.uncertain)


def _needs_write(agent: Agent, page: Page, held: bool) -> bool:
    return agent.ownership_unconfirmed or page.memory or (held and not page.key)


def _may_take_over(state: State, name: int, mutation: Mutation | None) -> bool:
    owner = state.page.owner
    if owner in (NO_OWNER, name) or mutation is Mutation.TAKEOVER_WITHOUT_HOST_LIST:
        return True
    return state.agents[owner].unlisted


def _build_takeover_page(
    page: Page, name: int, incarnation: int, mutation: Mutation | None
) -> Page:
    served_from_memory = page.owner != NO_OWNER and (page.memory_interval_passed or page.memory)
    if mutation is Mutation.NO_UNCERTAIN_FLAG:
        served_from_memory = False
    uncertain = page.uncertain or served_from_memory
    return Page(0, name, incarnation, page.key, uncertain=uncertain)


__all__ = ["owner_steps"]
