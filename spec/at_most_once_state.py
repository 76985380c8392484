"""States of the model of at-most-once execution, and helpers of its steps."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

NO_OWNER = -1


class Mutation(IntEnum):
    """A rule that a mutated protocol leaves out."""

    RUN_BEFORE_COMMIT = 1
    NO_INCARNATION = 2
    NO_UNCERTAIN_FLAG = 3
    TAKEOVER_WITHOUT_HOST_LIST = 4
    NOT_RUN_FOR_UNKNOWN = 5
    MEMORY_TOO_EARLY = 6
    RESUME_WITHOUT_CONFIRMATION = 7
    RUN_LATE_CALLS = 8
    OMIT_MEMORY_KEYS = 9
    NOT_RUN_UNCONFIRMED = 10
    CONFIRM_BY_READ = 11
    MEMORY_AFTER_RELEASE = 12


class ProcessState(IntEnum):
    """State of an agent's process."""

    DEAD = 0
    UP = 1
    PAUSED = 2


class ClaimState(IntEnum):
    """State of the key's claim at an agent."""

    UNKNOWN = 0
    PENDING = 1  # in no page that the agent has read
    GRANTED = 2  # committed or claimed in memory, runs next
    TAKEN = 3  # ran here, or is listed in the page of an earlier owner
    NEVER = 4  # withdrawn before the run; a write sent earlier may still contain it


class CallState(IntEnum):
    """Progress of one attempt of a caller."""

    NEW = 0
    DONE = 1
    TO_A = 2
    TO_B = 3
    AT_A = 4
    AT_B = 5


class Page(NamedTuple):
    """The page of the shard in the store."""

    revision: int = 0
    owner: int = NO_OWNER
    incarnation: int = 0
    key: bool = False
    memory_interval_passed: bool = False  # since this write was sent
    memory: bool = False  # its owner may grant claims from memory at once
    uncertain: bool = False


class Write(NamedTuple):
    """A write in flight; its expected revision is the page's revision minus one."""

    sender: int
    incarnation: int
    page: Page


class Agent(NamedTuple):
    """One agent; `page` is the newest page that it has read, None if it owns nothing."""

    process: ProcessState = ProcessState.UP
    incarnation: int = 1
    page: Page | None = None
    claim: ClaimState = ClaimState.UNKNOWN
    strict_revision: int = 0  # of the last write sent without the memory flag
    strict_interval_passed: bool = True  # since that write was sent
    write_unresolved: bool = False
    write_pending: bool = False
    store_failing: bool = False  # a call of the store failed since the last success
    ownership_unconfirmed: bool = False  # paused since its last confirmed write
    releasing: bool = False  # sent a release, which may be applied at any later time
    unlisted: bool = False  # the host list no longer contains the host


FIRST_PAGE = Page(revision=1, owner=0, incarnation=1)


class State(NamedTuple):
    """State of the whole model; `crashes`, `pauses` and `revisions` are the remaining budgets."""

    page: Page = FIRST_PAGE
    agents: tuple[Agent, Agent] = (Agent(page=FIRST_PAGE, strict_interval_passed=False), Agent())
    writes: frozenset[Write] = frozenset()
    calls: tuple[CallState, ...] = (CallState.NEW, CallState.NEW)
    runs: int = 0
    false_not_run: bool = False
    closed: bool = False  # the retry horizon has passed
    crashes: int = 1
    pauses: int = 1
    revisions: int = 4


Step = tuple[str, State]


def may_grant_from_memory(agent: Agent, mutation: Mutation | None) -> bool:
    """:return: whether a pending claim may be granted without a write"""
    if not agent.store_failing or agent.ownership_unconfirmed:
        return False
    if agent.releasing and mutation is not Mutation.MEMORY_AFTER_RELEASE:
        return False
    return agent.strict_interval_passed or mutation is Mutation.MEMORY_TOO_EARLY


def is_owner(agent: Agent, name: int) -> bool:
    """:return: whether an agent owns the shard according to the newest page that it has read"""
    page = agent.page
    return page is not None and page.owner == name and page.incarnation == agent.incarnation


def apply_page(agent: Agent, name: int, page: Page) -> Agent:
    """Apply a page that was read or written successfully."""
    mine = page.owner == name and page.incarnation == agent.incarnation
    if not mine:
        return Agent(incarnation=agent.incarnation)
    before = agent.page.revision if agent.page else 0
    from_memory = page.memory and page.revision >= agent.strict_revision
    return agent._replace(
        page=page._replace(memory_interval_passed=False),
        write_pending=False,
        write_unresolved=False,
        store_failing=False,
        ownership_unconfirmed=agent.ownership_unconfirmed and page.revision == before,
        releasing=agent.releasing and page.revision == before,
        strict_interval_passed=agent.strict_interval_passed or from_memory,
        claim=_next_claim_state(agent, page),
    )


def _next_claim_state(agent: Agent, page: Page) -> ClaimState:
    if agent.claim is ClaimState.PENDING and page.key:
        return ClaimState.GRANTED
    if agent.claim is ClaimState.UNKNOWN and page.key:
        return ClaimState.TAKEN
    return agent.claim


def respond_not_run(state: State, index: int) -> State:
    """Finish an attempt with the verdict NOT_RUN."""
    said = replace_call(state, index, CallState.DONE)
    return said._replace(false_not_run=state.runs > 0)


def replace_agent(state: State, name: int, agent: Agent) -> State:
    """Replace one agent."""
    agents = (agent, state.agents[1]) if name == 0 else (state.agents[0], agent)
    return state._replace(agents=agents)


def replace_call(state: State, index: int, call: CallState) -> State:
    """Replace one attempt; attempts are sorted so that equivalent states are equal."""
    calls = list(state.calls)
    calls[index] = call
    return state._replace(calls=tuple(sorted(calls)))


__all__ = [
    "Agent",
    "CallState",
    "ClaimState",
    "ProcessState",
    "Mutation",
    "NO_OWNER",
    "Page",
    "State",
    "Step",
    "Write",
    "apply_page",
    "may_grant_from_memory",
    "is_owner",
    "respond_not_run",
    "replace_agent",
    "replace_call",
]
