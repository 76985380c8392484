"""Steps of an agent with its page in the specification of at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from spec.at_most_once_state import (
    NOBODY,
    Agent,
    Claim,
    Mutation,
    Page,
    State,
    Step,
    Write,
    learn,
    may_serve_from_memory,
    owns,
    set_agent,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


def owner_steps(state: State, name: int, mistake: Mutation | None) -> Iterator[Step]:
    """Let an agent read, write, take or release the page."""
    agent = state.agents[name]
    if agent.waiting:
        timed_out = agent._replace(waiting=False, unsettled=True, failed=True)
        yield f"write_timeout_{name}", set_agent(state, name, timed_out)
        return
    if agent.page is not None or agent.unsettled:
        learned = learn(agent, name, state.page)
        if mistake is Mutation.CONFIRM_BY_READ:
            learned = learned._replace(unconfirmed=False)
        yield f"read_{name}", set_agent(state, name, learned)
    if not agent.failed and owns(agent, name):
        yield f"read_failed_{name}", set_agent(state, name, agent._replace(failed=True))
    if agent.unsettled or not state.revisions:
        return
    base = agent.page or state.page
    for label, page in _next_pages(state, name, mistake):
        numbered = page._replace(revision=base.revision + 1, old=False)
        sent = agent._replace(waiting=True, leaving=page.owner == NOBODY)
        if not numbered.memory:
            sent = sent._replace(strict_revision=numbered.revision, strict_old=False)
        write = Write(name, agent.incarnation, numbered)
        after = set_agent(state, name, sent)
        writes = state.writes | {write} if base.revision == state.page.revision else state.writes
        yield label, after._replace(writes=writes, revisions=state.revisions - 1)


def _next_pages(state: State, name: int, mistake: Mutation | None) -> Iterator[tuple[str, Page]]:
    agent = state.agents[name]
    page = agent.page
    if page is None:
        if _may_take(state, name, mistake):
            yield f"take_{name}", _taken(state.page, name, agent.incarnation, mistake)
        return
    held = agent.claim in (Claim.PENDING, Claim.GRANTED, Claim.TAKEN)
    from_memory = may_serve_from_memory(agent, mistake)
    forgets = mistake is Mutation.FORGET_MEMORY_KEYS and from_memory
    key = page.key or (held and not forgets)
    if from_memory and held and not page.key:
        yield f"add_memory_keys_{name}", page._replace(key=key, memory=True)
    elif not agent.leaving and _has_to_write(agent, page, held):
        yield f"commit_{name}", page._replace(key=key, memory=False)
    if agent.claim is not Claim.GRANTED and agent.claim is not Claim.PENDING:
        yield f"release_{name}", Page(key=key, uncertain=page.uncertain)


def _has_to_write(agent: Agent, page: Page, held: bool) -> bool:
    return agent.unconfirmed or page.memory or (held and not page.key)


def _may_take(state: State, name: int, mistake: Mutation | None) -> bool:
    owner = state.page.owner
    if owner in (NOBODY, name) or mistake is Mutation.TAKEOVER_WITHOUT_LIST:
        return True
    return state.agents[owner].gone


def _taken(page: Page, name: int, incarnation: int, mistake: Mutation | None) -> Page:
    served_from_memory = page.owner != NOBODY and (page.old or page.memory)
    if mistake is Mutation.NO_UNCERTAIN_MARK:
        served_from_memory = False
    uncertain = page.uncertain or served_from_memory
    return Page(0, name, incarnation, page.key, uncertain=uncertain)


__all__ = ["owner_steps"]
