"""Choose agents for requests and learn from how attempts end."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

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
    """Holds what placement needs: the agents, their health and the retry budgets."""

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
        Put the parts together.

        :param settings: settings of the process
        :param agents: agents of this router's subset
        :param members: the host list as far as it is believed
        :param config: records in force
        :param clock: monotonic time
        :param rng: seeded generator
        """
        self._settings = settings
        self._agents = agents
        self._members = members
        self._config = config
        self._clock = clock
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._member_sets: dict[str, _MemberSet] = {}
        self._counted_hosts: dict[str, Host] = {}
        self._sharing = 1

    def record_first_attempt(self, group: str) -> RetryBudget:
        """
        Count a first attempt.

        :param group: backend group
        :return: the retry budget of the group
        """
        budget = self._budgets.setdefault(group, RetryBudget())
        retry_budget.deposit(budget, self._settings.placement)
        return budget

    def choose_agent(self, request: RoutedRequest, tried: set[str]) -> AgentEntry | None:
        """
        Place a request.

        :param request: the request
        :param tried: agents that failed it before, used again only when no other is left
        :return: an agent that takes work, or None
        """
        wanted = AgentPlacementRequest(
            group=request.group.name,
            tier=request.request_class.tier,
            prefix_hash=request.prefix_hash,
            fingerprint=request.fingerprint,
            excluded=frozenset(tried),
            protected=request.request_class.protected,
            failure_domain=self._settings.failure_domain,
            router_count=self._sharing_routers(),
        )
        candidates = self.list_candidates(request)
        chosen = self._choose(candidates, wanted)
        if chosen is None and tried:
            chosen = self._choose(candidates, attrs.evolve(wanted, excluded=frozenset()))
        return chosen

    def list_candidates(self, request: RoutedRequest) -> list[AgentEntry]:
        """
        List the agents that may serve a request.

        :param request: the request
        :return: agents of the subset that are members of the group
        """
        agents = self._agents.list_group(request.group.name)
        members = self._member_set(request.group)
        return [agent for agent in agents if agent.name in members]

    def find_owner(self, request: RoutedRequest, name: str) -> AgentEntry | None:
        """
        Find the agent that owns a key, which may be outside the subset.

        :param request: the request
        :param name: the agent
        :return: the agent if it is a listed member of the group that takes work
        """
        entry = self._agents.entries.get(name)
        if entry is None:
            host = self._members.hosts.get(name)
            entry = _entry_of(host) if host is not None else None
        members = self._member_set(request.group)
        if entry is None or name not in members or not entry.accepts_work():
            return None
        return entry

    def record_success(self, agent: AgentEntry) -> None:
        """
        Note a whole answer.

        :param agent: who answered
        """
        agent_outliers.record_success(agent)

    def record_failure(
        self, request: RoutedRequest, agent: AgentEntry, error: BoragetillerError
    ) -> None:
        """
        Note a failed attempt; refusals say nothing about health.

        :param request: the request
        :param agent: who failed
        :param error: how
        """
        unreachable = error.code in ("agent_unreachable", "backend_unreachable")
        if not unreachable and (error.verdict is Verdict.NOT_RUN or error.code == "preempted"):
            return
        group = self.list_candidates(request)
        now_ms = self._clock.now_ms()
        if agent_outliers.record_failure(agent, group, self._settings.placement, now_ms):
            log_event(Event.AGENT_EJECTED, agent=agent.name, code=error.code)

    def record_token_gap(self, agent: AgentEntry, gap_ms: float) -> None:
        """
        Note the mean time between tokens of a stretch of a stream.

        :param agent: who answered
        :param gap_ms: mean time in milliseconds
        """
        agent_outliers.record_token_gap(agent, gap_ms, self._clock.now_ms())

    def mark_slow_agents(self) -> None:
        """Mark agents that are much slower than their peers."""
        now_ms = self._clock.now_ms()
        groups = {agent.group for agent in self._agents.entries.values()}
        for group in groups:
            agent_outliers.mark_slow(
                self._agents.list_group(group), self._settings.placement, now_ms
            )

    def _member_set(self, arrived_with: BackendGroup) -> frozenset[str]:
        group = self._config.groups.get(arrived_with.name, arrived_with)  # it may have changed
        known = self._member_sets.get(group.name)
        if known is None or known.group is not group:  # a changed record is another object
            known = _MemberSet(group, frozenset(group.members))
            self._member_sets[group.name] = known
        return known.names

    def _sharing_routers(self) -> int:
        if self._members.hosts is not self._counted_hosts:  # replaced with each reading
            self._counted_hosts = self._members.hosts
            roles = Counter(host.role for host in self._counted_hosts.values())
            routers = 1 + roles[Role.ROUTER.value]
            agents = max(1, roles[Role.AGENT.value])
            self._sharing = max(1, routers * len(self._agents.entries) // agents)
        return self._sharing

    def _choose(
        self, candidates: list[AgentEntry], wanted: AgentPlacementRequest
    ) -> AgentEntry | None:
        now_ms = self._clock.now_ms()
        return choose_agent(candidates, wanted, self._settings.placement, self._rng, now_ms)


def _entry_of(host: Host) -> AgentEntry:
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
