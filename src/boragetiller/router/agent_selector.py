"""Selection of the agent for each attempt, and records of how attempts ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import BoragetillerError, NotOwner

if TYPE_CHECKING:
    from random import Random

    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.router.load_balancer import LoadBalancer
    from boragetiller.router.quarantine import Quarantine
    from boragetiller.router.request import RoutedRequest
    from boragetiller.router.request_state import RequestState
    from boragetiller.router.shard_owners import ShardOwners
    from boragetiller.tables.agents import AgentEntry


class AgentSelector:
    """Selects the owner of an idempotency key, else an agent for isolation, else by load."""

    def __init__(
        self, load_balancer: LoadBalancer, shard_owners: ShardOwners, quarantine: Quarantine
    ) -> None:
        """
        Build the selector.

        :param load_balancer: placement by expected time to the first token
        :param shard_owners: last known owner of each shard of idempotency keys
        :param quarantine: bodies that crashed backend servers
        """
        self.load_balancer = load_balancer
        self.quarantine = quarantine
        self._shard_owners = shard_owners

    def select_agent(self, state: RequestState, *, isolated: bool) -> AgentEntry | None:
        """
        Select the agent of the next attempt.

        :param state: state of the request
        :param isolated: whether the body must run in isolation because it crashed a backend server
        :return: an agent that accepts work, or None
        """
        owner = self._find_owner(state.request)
        if owner is not None:
            return owner
        rng = self.load_balancer.rng
        agent = self._place(state.request, state.tried, isolated=isolated, rng=rng)
        if agent is not None:
            state.tried.add(agent.name)
        return agent

    def find_agent(
        self, request: RoutedRequest, tried: set[str], *, isolated: bool, rng: Random
    ) -> AgentEntry | None:
        """
        Find the agent for a request, and change nothing but the generator.

        :param request: the request
        :param tried: names of agents that failed it
        :param isolated: whether the body must run in isolation because it crashed a backend server
        :param rng: seeded generator; a query uses a copy
        :return: an agent that accepts work, or None
        """
        owner = self._find_owner(request)
        return owner or self._place(request, tried, isolated=isolated, rng=rng)

    def record_sent(self, agent: AgentEntry, attempt: Attempt) -> None:
        """Record that an attempt is sent to an agent."""
        agent.add_in_flight(attempt.tier)
        self.quarantine.add_in_flight(attempt.fingerprint, agent.name)

    def record_finished(self, agent: AgentEntry, attempt: Attempt) -> None:
        """Record that an attempt ended, whether it succeeded or failed."""
        agent.remove_in_flight(attempt.tier)
        self.quarantine.remove_in_flight(attempt.fingerprint, agent.name)

    def record_failure(
        self, state: RequestState, agent: AgentEntry, error: BoragetillerError, sent_ms: int
    ) -> None:
        """
        Record a failed attempt.

        :param state: state of the request
        :param agent: the agent of the attempt
        :param error: error of the attempt
        :param sent_ms: monotonic time at which the attempt was sent, in milliseconds
        """
        request = state.request
        self.quarantine.record_error(request.fingerprint, agent.name, error, sent_ms)
        self.load_balancer.record_failure(request, agent, error)
        if request.idempotency_key and isinstance(error, NotOwner):
            self._shard_owners.apply_refusal(
                request.group.name,
                request.group.shards,
                request.customer.name,
                request.idempotency_key,
                error.owner,
            )

    def record_success(self, agent: AgentEntry, attempt: Attempt) -> None:
        """
        Record a complete response.

        :param agent: the agent of the attempt
        :param attempt: the attempt
        """
        self.load_balancer.record_success(agent)
        if attempt.isolated:
            self.quarantine.record_success(attempt.fingerprint)

    def _place(
        self, request: RoutedRequest, tried: set[str], *, isolated: bool, rng: Random
    ) -> AgentEntry | None:
        agent = self._find_agent_for_copies(request, tried, isolated=isolated)
        return agent or self.load_balancer.choose_agent(request, tried, rng)

    def _find_agent_for_copies(
        self, request: RoutedRequest, tried: set[str], *, isolated: bool
    ) -> AgentEntry | None:
        """Find the agent that runs copies of this body, so that the body can crash few servers."""
        members = self.load_balancer.list_candidates(request)
        body = request.fingerprint
        if isolated:
            key = request.prefix_hash or int(body[:16], 16)
            return self.quarantine.choose_isolation_agent(body, key, members, tried)
        name = self.quarantine.get_agent_in_use(body)
        usable = (a for a in members if a.name == name and a.accepts_work())
        return next((a for a in usable if a.name not in tried), None)

    def _find_owner(self, request: RoutedRequest) -> AgentEntry | None:
        if not request.idempotency_key:
            return None
        name = self._shard_owners.get_owner(
            request.group.name, request.group.shards, request.customer.name, request.idempotency_key
        )
        return self.load_balancer.find_owner(request, name) if name is not None else None


__all__ = ["AgentSelector"]
