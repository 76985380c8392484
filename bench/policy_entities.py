"""Requests, routers and agents of the policy bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from bench.fake_engine import Stream
from bench.policy_baselines import Policy
from bench.policy_scenarios import Call
from boragetiller.tables.agent_work import WorkItem
from boragetiller.tables.agents import AgentEntry
from boragetiller.tables.retry_budget import RetryBudget

if TYPE_CHECKING:
    from bench.fake_engine import FakeEngine
    from bench.policy_baselines import Admission


@attrs.define(eq=False)
class SimulatedRequest:
    """A caller's request on its way."""

    call: Call
    request_id: str
    router: SimulatedRouter
    attempts: int = 0
    tried: set[str] = attrs.Factory(set)
    agent: SimulatedAgent | None = None
    generated_tokens: int = 0
    first_token_ms: float | None = None
    last_token_ms: float | None = None
    last_gap_sample_ms: float = 0.0
    status: str = "open"  # answered, refused, abandoned or failed
    ended_ms: float = 0.0
    started_ms: list[float] = attrs.Factory(list)
    work_ms: float = 0.0
    repeated_work_ms: float = 0.0  # work to resume, done before
    preemptions: int = 0


@attrs.define(eq=False)
class SimulatedRouter:
    """What one router knows."""

    entries: list[AgentEntry]
    policy: Policy
    retry_budget: RetryBudget = attrs.Factory(RetryBudget)

    def get_entry(self, name: str) -> AgentEntry:
        """:return: the entry of an agent"""
        return next(get_entry for get_entry in self.entries if get_entry.name == name)


class SimulatedAgent:
    """An agent and its engine."""

    def __init__(self, engine: FakeEngine, admission: Admission) -> None:
        """
        Stand beside an engine.

        :param engine: the engine
        :param gate: its admission
        """
        self.engine = engine
        self.name = engine.name
        self.admission = admission
        self.requests: dict[str, SimulatedRequest] = {}
        self.step_scheduled = False
        self.engine_incarnation = 0


def make_item(sim_request: SimulatedRequest, now_ms: int) -> WorkItem:
    """:return: the attempt as the agent sees it"""
    request_class = sim_request.call.load.request_class
    return WorkItem(
        request_id=sim_request.request_id,
        attempt=sim_request.attempts,
        customer=sim_request.call.customer,
        class_name=request_class.name,
        tier=request_class.tier,
        protected=request_class.protected,
        preemptible=not request_class.protected,
        prompt_tokens=sim_request.call.load.prompt_tokens,
        first_token_target_ms=request_class.first_token_target_ms,
        resumed_tokens=sim_request.generated_tokens,
        arrived_ms=now_ms,
        deadline_ms=int(sim_request.call.arrive_ms) + request_class.deadline_ms,
    )


def make_stream(sim_request: SimulatedRequest) -> Stream:
    """:return: the attempt as the engine sees it"""
    call = sim_request.call
    return Stream(
        sim_request.request_id,
        call.load.prompt_tokens + call.prefix_tokens,
        call.output_tokens - sim_request.generated_tokens,
        call.prefix,
        call.prefix_tokens,
        sim_request.generated_tokens,
    )


def make_router(agents: list[SimulatedAgent], policy: Policy) -> SimulatedRouter:
    """:return: a router that knows the agents and no load"""
    entries = [
        AgentEntry(name=agent.name, group="tiller-pool", address="127.0.0.1", data_port=1)
        for agent in agents
    ]
    return SimulatedRouter(entries, policy)


__all__ = [
    "SimulatedAgent",
    "SimulatedRequest",
    "SimulatedRouter",
    "make_item",
    "make_router",
    "make_stream",
]
