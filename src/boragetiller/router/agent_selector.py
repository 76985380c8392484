"""Choose the agent of each attempt, and learn from how the attempt ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import BoragetillerError, NotOwner

if TYPE_CHECKING:
    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.router.load_balancer import Placer
    from boragetiller.router.quarantine import Quarantine
    from boragetiller.router.request_state import Journey
    from boragetiller.router.shard_owners import ShardOwners
    from boragetiller.tables.agents import AgentEntry


class AgentChoice:
    """The owner of a key first, then isolation of struck bodies, then placement."""

    def __init__(self, placer: Placer, owners: ShardOwners, quarantine: Quarantine) -> None:
        """
        Put the parts together.

        :param placer: placement by expected time to the first token
        :param owners: which agent decides on which key
        :param quarantine: bodies that crashed backend servers
        """
        self.placer = placer
        self.quarantine = quarantine
        self._owners = owners

    def choose(self, journey: Journey, *, isolated: bool) -> AgentEntry | None:
        """
        Choose an agent for the next attempt.

        :param journey: the request so far
        :param isolated: whether its body crashed a backend server before
        :return: an agent that takes work, or None
        """
        owner = self._owner(journey)
        if owner is not None:
            return owner
        agent = self._agent_for_copies(journey, isolated=isolated)
        agent = agent or self.placer.choose(journey.request, journey.tried)
        if agent is not None:
            journey.tried.add(agent.name)
        return agent

    def begin(self, agent: AgentEntry, attempt: Attempt) -> None:
        """Note that an attempt is sent to an agent."""
        agent.add_in_flight(attempt.tier)
        self.quarantine.begin(attempt.fingerprint, agent.name)

    def end(self, agent: AgentEntry, attempt: Attempt) -> None:
        """Note that an attempt ended in any way."""
        agent.remove_in_flight(attempt.tier)
        self.quarantine.end(attempt.fingerprint, agent.name)

    def note_failure(
        self, journey: Journey, agent: AgentEntry, error: BoragetillerError, sent_ms: int
    ) -> None:
        """
        Learn from a failed attempt.

        :param journey: the request
        :param agent: the agent of the attempt
        :param error: how it ended
        :param sent_ms: when it was sent, in monotonic time
        """
        request = journey.request
        self.quarantine.note_error(request.fingerprint, agent.name, error, sent_ms)
        self.placer.note_failure(request, agent, error)
        if request.key and isinstance(error, NotOwner):
            self._owners.note_refusal(
                request.group.name,
                request.group.shards,
                request.customer.name,
                request.key,
                error.owner,
            )

    def note_success(self, agent: AgentEntry, attempt: Attempt) -> None:
        """
        Learn from a whole answer.

        :param agent: who answered
        :param attempt: the attempt
        """
        self.placer.note_success(agent)
        if attempt.isolated:
            self.quarantine.note_success(attempt.fingerprint)

    def _agent_for_copies(self, journey: Journey, *, isolated: bool) -> AgentEntry | None:
        """Keep copies of one body on one agent, so that it can crash few servers."""
        request = journey.request
        members = self.placer.candidates(request)
        body = request.fingerprint
        if isolated:
            key = request.prefix_hash or int(body[:16], 16)
            return self.quarantine.isolated_agent(body, key, members, journey.tried)
        name = self.quarantine.agent_in_use(body)
        usable = (a for a in members if a.name == name and a.accepts_work())
        return next((a for a in usable if a.name not in journey.tried), None)

    def _owner(self, journey: Journey) -> AgentEntry | None:
        request = journey.request
        if not request.key:
            return None
        name = self._owners.owner_of(
            request.group.name, request.group.shards, request.customer.name, request.key
        )
        return self.placer.find_owner(request, name) if name is not None else None


__all__ = ["AgentChoice"]
