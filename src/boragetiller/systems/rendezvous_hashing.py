"""Rank agents for a key by rendezvous hashing."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from boragetiller.hashing import mix64

if TYPE_CHECKING:
    from boragetiller.tables.agents import AgentEntry


def rank_agents(agents: list[AgentEntry], key: int, count: int) -> list[AgentEntry]:
    """
    Rank agents for a key. When an agent leaves, only the keys that ranked it first move.

    :param agents: candidates
    :param key: hash of a prompt prefix or of a whole body
    :param count: number of agents to return
    :return: the highest-ranked agents, best first
    """
    if count == 1:
        return [max(agents, key=lambda agent: mix64(agent.seed ^ key))]
    return heapq.nlargest(count, agents, key=lambda agent: mix64(agent.seed ^ key))


__all__ = ["rank_agents"]
