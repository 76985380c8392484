"""Order agents for a key by rendezvous hashing."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.hashing import mix64

if TYPE_CHECKING:
    from boragetiller.tables.agents import AgentEntry


def rank_agents(agents: list[AgentEntry], key: int, count: int) -> list[AgentEntry]:
    """
    List the agents that a key prefers; an agent that leaves moves only its own keys.

    :param agents: candidates
    :param key: hash of a prompt prefix or of a whole body
    :param count: how many to list
    :return: the most preferred agents, best first
    """
    if count == 1:
        return [max(agents, key=lambda agent: mix64(agent.seed ^ key))]
    return heapq.nlargest(count, agents, key=lambda agent: mix64(agent.seed ^ key))


__all__ = ["rank_agents"]
