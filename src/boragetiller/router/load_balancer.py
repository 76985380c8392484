"""Placement of requests on agents by load, with the agents' health and the retry budgets."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import BackendUnavailable
from boragetiller.events import Event, log_event
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.records.model import BackendGroup
from boragetiller.settings import Role
from boragetiller.systems import agent_outliers, retry_budget
from boragetiller.systems.agent_placement import AgentPlacementRequest, choose_agent
from boragetiller.tables.agents import AgentEntry
from boragetiller.tables.retry_budget import RetryBudget
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from boragetiller.clock import Clock
    from boragetiller.errors import BoragetillerError
    from boragetiller.router.request import RoutedRequest
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentTable
    from boragetiller.tables.config import ConfigTable
    from boragetiller.tables.members import MemberTable


@attrs.frozen
class _MemberSet:
    group: BackendGroup
    names: frozenset[str]


class LoadBalancer:
    """Chooses agents by expected time to the first token and records failures of agents."""

    def __init__(
        self,
        settings: Settings,
        agents: AgentTable,
        members: MemberTable,
        config: ConfigTable,
        clock: Clock,
        rng: Random,
    ) -> None:
        """
        Build the load balancer.

        :param settings: settings of the process
        :param agents: agents of this router's subset
        :param members: accepted host list
        :param config: records in force
        :param clock: monotonic time
        :param rng: seeded generator
        """
        self._settings = settings
        self._agents = agents
        self._members = members
        self._config = config
        self._clock = clock
        self.rng = rng
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._member_sets: dict[str, _MemberSet] = {}
        self._counted_hosts: dict[str, Host] = {}
        self._routers_per_agent = 1

    def record_first_attempt(self, group: str) -> RetryBudget:
        """
        Add the first attempt of a request to the retry budget of its group.

        :param group: name of the backend group
        :return: the retry budget of the group
        """
        budget = self._retry_budgets.setdefault(group, RetryBudget())
        retry_budget.deposit(budget, self._settings.placement)
        return budget

    def choose_agent(
        self, request: RoutedRequest, tried: set[str], rng: Random
    ) -> AgentEntry | None:
        """
        Choose an agent for a request.

        :param request: the request
        :param tried: agents that failed the request, used again only if no other accepts work
        :param rng: seeded generator; a query uses a copy
        :return: an agent that accepts work, or None
        """
        placement_request = self.build_placement_request(request, tried)
        candidates = self.list_candidates(request)
        chosen = self._place(candidates, placement_request, rng)
        if chosen is None and tried:
            retried = attrs.evolve(placement_request, excluded=frozenset())
            chosen = self._place(candidates, retried, rng)
        return chosen

    def build_placement_request(
        self, request: RoutedRequest, tried: set[str]
    ) -> AgentPlacementRequest:
        """
        Build what the placement of a request depends on.

        :param request: the request
        :param tried: agents that failed the request
        :return: input of systems.agent_placement
        """
        return AgentPlacementRequest(
            group=request.group.name,
            tier=request.request_class.tier,
            prefix_hash=request.prefix_hash,
            fingerprint=request.fingerprint,
            excluded=frozenset(tried),
            protected=request.request_class.protected,
            failure_domain=self._settings.failure_domain,
            router_count=self._estimate_routers_per_agent(),
        )

    def list_candidates(self, request: RoutedRequest) -> list[AgentEntry]:
        """
        List the agents that may serve a request.

        :param request: the request
        :return: agents of the subset that are members of the request's group
        """
        agents = self._agents.list_group(request.group.name)
        members = self._get_member_names(request.group)
        return [agent for agent in agents if agent.name in members]

    def find_owner(self, request: RoutedRequest, name: str) -> AgentEntry | None:
        """
        Find the agent that owns an idempotency key, also outside the subset.

        :param request: the request
        :param name: name of the agent
        :return: the agent if it is a listed member of the group and accepts work, else None
        """
        entry = self._agents.entries.get(name)
        if entry is None:
            host = self._members.hosts.get(name)
            entry = _build_entry(host) if host is not None else None
        members = self._get_member_names(request.group)
        if entry is None or name not in members or not entry.accepts_work():
            return None
        return entry

    def record_success(self, agent: AgentEntry) -> None:
        """
        Record a complete response.

        :param agent: the agent of the attempt
        """
        agent_outliers.record_success(agent)

    def record_failure(
        self, request: RoutedRequest, agent: AgentEntry, error: BoragetillerError
    ) -> None:
        """
        Record a failed attempt; a refusal is no sign of bad health and is not counted.

        :param request: the request
        :param agent: the agent of the attempt
        :param error: error of the attempt
        """
        unreachable = error.code in ("agent_unreachable", "backend_unreachable")
        if not unreachable and (error.verdict is Verdict.NOT_RUN or error.code == "preempted"):
            return
        if isinstance(error, BackendUnavailable) and request.idempotency_key:
            return  # it may be the stored response of an earlier call
        group = self.list_candidates(request)
        now_ms = self._clock.now_ms()
        if agent_outliers.record_failure(agent, group, self._settings.placement, now_ms):
            log_event(Event.AGENT_EJECTED, agent=agent.name, code=error.code)

    def record_token_gap(self, agent: AgentEntry, gap_ms: float) -> None:
        """
        Record the mean time between tokens over a window of a stream.

        :param agent: the agent that sent the stream
        :param gap_ms: mean time in milliseconds
        """
        agent_outliers.record_token_gap(agent, gap_ms, self._clock.now_ms())

    def mark_slow_agents(self) -> None:
        """Mark agents that are much slower than the other agents of their group."""
        now_ms = self._clock.now_ms()
        groups = {agent.group for agent in self._agents.entries.values()}
        for group in groups:
            agent_outliers.mark_slow(
                self._agents.list_group(group), self._settings.placement, now_ms
            )

    def _get_member_names(self, group_at_arrival: BackendGroup) -> frozenset[str]:
        # the record may have changed since the request arrived
        group = self._config.groups.get(group_at_arrival.name, group_at_arrival)
        cached = self._member_sets.get(group.name)
        # each change of a record makes a new object
        if cached is None or cached.group is not group:
            cached = _MemberSet(group, frozenset(group.members))
            self._member_sets[group.name] = cached
        return cached.names

    def _estimate_routers_per_agent(self) -> int:
        if self._members.hosts is not self._counted_hosts:  # replaced by each list that is applied
            self._counted_hosts = self._members.hosts
            roles = Counter(host.role for host in self._counted_hosts.values())
            routers = 1 + roles[Role.ROUTER.value]
            agents = max(1, roles[Role.AGENT.value])
            self._routers_per_agent = max(1, routers * len(self._agents.entries) // agents)
        return self._routers_per_agent

    def _place(
        self,
        candidates: list[AgentEntry],
        placement_request: AgentPlacementRequest,
        rng: Random,
    ) -> AgentEntry | None:
        now_ms = self._clock.now_ms()
        return choose_agent(candidates, placement_request, self._settings.placement, rng, now_ms)


def _build_entry(host: Host) -> AgentEntry:
    return AgentEntry(
        name=host.name,
        group=host.group,
        address=host.address,
        data_port=host.data_port,
        failure_domain=host.failure_domain,
        region=host.region,
        leaving=host.state is HostState.LEAVING,
    )


__all__ = ["LoadBalancer"]
