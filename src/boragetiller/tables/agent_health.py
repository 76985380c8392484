"""A router's record of the failures and speed of an agent."""

from __future__ import annotations

import attrs


@attrs.define
class AgentHealth:
    """Recent failures and speed of one agent, as observed by this router."""

    failures: int = 0  # consecutive
    ejections: int = 0  # consecutive
    ejected_until_ms: int = 0
    slow: bool = False
    between_tokens_ms: float = 0.0  # moving average of the gap in relayed streams
    gap_updated_ms: int = 0  # time of the last update of between_tokens_ms

    def is_ejected(self, now_ms: int) -> bool:
        """:return: whether the agent is excluded from placement after failures"""
        return now_ms < self.ejected_until_ms


__all__ = ["AgentHealth"]
