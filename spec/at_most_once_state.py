"""States of the specification of at most once, and what its steps share."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NOBODY = -1


class Mutation(IntEnum):
    """A rule that a seeded variant leaves out."""

    RUN_BEFORE_COMMIT = 1
    NO_INCARNATION = 2
    NO_UNCERTAIN_MARK = 3
    TAKEOVER_WITHOUT_LIST = 4
    NOT_RUN_FOR_UNKNOWN = 5
    MEMORY_TOO_EARLY = 6
    RESUME_UNCONFIRMED = 7
    LATE_CALLS_RUN = 8
    FORGET_MEMORY_KEYS = 9
    NOT_RUN_UNCONFIRMED = 10
    CONFIRM_BY_READ = 11
    MEMORY_AFTER_RELEASE = 12


class Life(IntEnum):
    """State of an agent's process."""

    DEAD = 0
    UP = 1
    PAUSED = 2


class Claim(IntEnum):
    """What an agent knows of the key."""

    UNKNOWN = 0
    PENDING = 1  # in no page that the agent saw
    GRANTED = 2  # committed or claimed in memory, runs next
    TAKEN = 3  # ran here, or found in the page of an earlier owner
    NEVER = 4  # withdrawn: an earlier write may hold it, and it never ran under it


class Call(IntEnum):
    """Where one attempt of a caller is."""

    NEW = 0
    DONE = 1
    TO_A = 2
    TO_B = 3
    AT_A = 4
    AT_B = 5


class Page(NamedTuple):
    """The page of the shard in the store."""

    revision: int = 0
    owner: int = NOBODY
    incarnation: int = 0
    key: bool = False
    old: bool = False  # the time until service from memory passed since this write was sent
    memory: bool = False  # its owner may serve from memory at once
    uncertain: bool = False


class Write(NamedTuple):
    """A write on its way; the expected revision is one less than the page's."""

    sender: int
    incarnation: int
    page: Page


class Agent(NamedTuple):
    """One agent; `page` is the newest page that it knows, None when it owns nothing."""

    life: Life = Life.UP
    incarnation: int = 1
    page: Page | None = None
    claim: Claim = Claim.UNKNOWN
    strict_revision: int = 0  # of the last write sent without the memory flag
    strict_old: bool = True  # the time until service from memory passed since that write
    unsettled: bool = False
    waiting: bool = False
    failed: bool = False  # a call of the store failed since the last success
    unconfirmed: bool = False  # paused since its last write that was seen applied
    leaving: bool = False  # sent a release, which may be applied at any time
    gone: bool = False  # the host list shows the host gone


FIRST_PAGE = Page(revision=1, owner=0, incarnation=1)


class State(NamedTuple):
    """Everything; budgets bound the faults."""

    page: Page = FIRST_PAGE
    agents: tuple[Agent, Agent] = (Agent(page=FIRST_PAGE, strict_old=False), Agent())
    writes: frozenset[Write] = frozenset()
    calls: tuple[Call, ...] = (Call.NEW, Call.NEW)
    runs: int = 0
    false_not_run: bool = False
    closed: bool = False  # the retry horizon passed
    crashes: int = 1
    pauses: int = 1
    revisions: int = 4


Step = tuple[str, State]


def may_serve_from_memory(agent: Agent, mistake: Mutation | None) -> bool:
    """Tell whether a pending claim may be granted without a write."""
    if not agent.failed or agent.unconfirmed:
        return False
    if agent.leaving and mistake is not Mutation.MEMORY_AFTER_RELEASE:
        return False
    return agent.strict_old or mistake is Mutation.MEMORY_TOO_EARLY


def owns(agent: Agent, name: int) -> bool:
    """Tell whether an agent owns the shard as far as it knows."""
    page = agent.page
    return page is not None and page.owner == name and page.incarnation == agent.incarnation


def learn(agent: Agent, name: int, page: Page) -> Agent:
    """Take over what a read or an applied write shows."""
    mine = page.owner == name and page.incarnation == agent.incarnation
    if not mine:
        return Agent(incarnation=agent.incarnation)
    before = agent.page.revision if agent.page else 0
    from_memory = page.memory and page.revision >= agent.strict_revision
    return agent._replace(
        page=page._replace(old=False),
        waiting=False,
        unsettled=False,
        failed=False,
        unconfirmed=agent.unconfirmed and page.revision == before,
        leaving=agent.leaving and page.revision == before,
        strict_old=agent.strict_old or from_memory,
        claim=_claim_after(agent, page),
    )


def _claim_after(agent: Agent, page: Page) -> Claim:
    if agent.claim is Claim.PENDING and page.key:
        return Claim.GRANTED
    if agent.claim is Claim.UNKNOWN and page.key:
        return Claim.TAKEN
    return agent.claim


def say_not_run(state: State, index: int) -> State:
    """Answer an attempt with NOT_RUN."""
    said = set_call(state, index, Call.DONE)
    return said._replace(false_not_run=state.runs > 0)


def set_agent(state: State, name: int, agent: Agent) -> State:
    """Replace one agent."""
    agents = (agent, state.agents[1]) if name == 0 else (state.agents[0], agent)
    return state._replace(agents=agents)


def set_call(state: State, index: int, call: Call) -> State:
    """Replace one attempt; alike attempts keep one order."""
    calls = list(state.calls)
    calls[index] = call
    return state._replace(calls=tuple(sorted(calls)))


__all__ = [
    "Agent",
    "Call",
    "Claim",
    "Life",
    "Mutation",
    "NOBODY",
    "Page",
    "State",
    "Step",
    "Write",
    "learn",
    "may_serve_from_memory",
    "owns",
    "say_not_run",
    "set_agent",
    "set_call",
]
