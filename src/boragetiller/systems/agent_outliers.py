"""Eject agents that fail repeatedly, and mark agents much slower than the median of their group."""

from __future__ import annotations

import math
from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetiller.settings import PlacementSettings
    from boragetiller.tables.agents import AgentEntry

_EWMA_WEIGHT = 0.3  # of the newest measurement in a moving average
_MIN_AGENTS = 3  # with fewer the median says little


def record_success(agent: AgentEntry) -> None:
    """
    Record a complete response.

    :param agent: the agent that responded
    """
    agent.health.failures = 0
    agent.health.ejections = 0


def record_failure(
    agent: AgentEntry, group: list[AgentEntry], settings: PlacementSettings, now_ms: int
) -> bool:
    """
    Record a failed attempt, and eject the agent after several consecutive failures.

    :param agent: the agent that failed
    :param group: this router's subset of the group
    :param settings: failures before ejection, its duration and the minimum healthy share
    :param now_ms: monotonic time in milliseconds
    :return: whether this failure ejected the agent
    """
    health = agent.health
    health.failures += 1
    if health.failures < settings.eject_after_failures or health.is_ejected(now_ms):
        return False
    ejected = sum(1 for other in group if other.health.is_ejected(now_ms))
    if ejected + 1 > len(group) - _compute_min_healthy_count(group, settings):
        return False
    duration_ms = min(settings.eject_max_ms, settings.eject_ms * 2**health.ejections)
    health.ejected_until_ms = now_ms + duration_ms
    health.ejections = min(health.ejections + 1, 16)
    health.failures = 0
    return True


def record_token_gap(agent: AgentEntry, between_tokens_ms: float, now_ms: int) -> None:
    """
    Record the mean gap between tokens over a section of a relayed stream.

    :param agent: the agent that serves the stream
    :param between_tokens_ms: mean gap in milliseconds
    :param now_ms: monotonic time in milliseconds
    """
    health = agent.health
    before_ms = health.between_tokens_ms or between_tokens_ms
    health.between_tokens_ms = (1 - _EWMA_WEIGHT) * before_ms + _EWMA_WEIGHT * between_tokens_ms
    health.gap_updated_ms = now_ms


def mark_slow(group: list[AgentEntry], settings: PlacementSettings, now_ms: int) -> list[str]:
    """
    Mark agents whose gap is far above the median, so that protected requests avoid them.

    :param group: this router's subset of the group
    :param settings: factor over the median and the minimum healthy share
    :param now_ms: monotonic time in milliseconds
    :return: names of the slow agents
    """
    gaps = {agent.name: _get_gap_ms(agent, settings, now_ms) for agent in group}
    known = [gap for gap in gaps.values() if gap > 0]
    for agent in group:
        agent.health.slow = False
    if len(known) < _MIN_AGENTS:
        return []
    threshold_ms = median_low(known) * settings.slow_factor
    slow = sorted((a for a in group if gaps[a.name] > threshold_ms), key=lambda a: -gaps[a.name])
    slow = slow[: len(group) - _compute_min_healthy_count(group, settings)]
    for agent in slow:
        agent.health.slow = True
    return [agent.name for agent in slow]


def _get_gap_ms(agent: AgentEntry, settings: PlacementSettings, now_ms: int) -> float:
    is_recent = now_ms - agent.health.gap_updated_ms < settings.slow_memory_ms
    measured_ms = agent.health.between_tokens_ms if is_recent else 0.0
    return measured_ms or (agent.load.between_tokens_ms if agent.load else 0.0)


def _compute_min_healthy_count(group: list[AgentEntry], settings: PlacementSettings) -> int:
    return max(1, math.ceil(len(group) * settings.min_healthy_share))


__all__ = ["mark_slow", "record_failure", "record_token_gap", "record_success"]
