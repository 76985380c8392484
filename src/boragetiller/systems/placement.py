"""Choose the agent that a request goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.agents import AgentEntry


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """What placement needs to know of a request."""

    group: str
    tier: int
    prefix_hash: int = 0
    fingerprint: str = ""
    excluded: frozenset[str] = frozenset()


def choose_agent(
    candidates: list[AgentEntry],
    request: PlacementRequest,
    settings: PlacementSettings,
    rng: Random,
    now_ms: int,
) -> AgentEntry | None:
    """
    Pick the agent with the fewest requests among a random few.

    :param candidates: agents of the group in this router's subset
    :param request: the request to place
    :param settings: number of choices
    :param rng: seeded generator
    :param now_ms: monotonic time in milliseconds
    :return: the agent, or None when no candidate takes work
    """
    usable = [a for a in candidates if a.accepts_work() and a.name not in request.excluded]
    if not usable:
        return None
    sample = rng.sample(usable, min(settings.choices, len(usable)))
    return min(sample, key=_outstanding)


def _outstanding(agent: AgentEntry) -> int:
    reported = agent.load.running + sum(agent.load.queued) if agent.load else 0
    return max(reported, agent.in_flight)


__all__ = ["PlacementRequest", "choose_agent"]
