"""What a router saw of an agent's answers."""

from __future__ import annotations

import attrs


@attrs.define
class AgentHealth:
    """Recent outcomes and speed of one agent, seen by this router."""

    failures: int = 0  # in a row
    ejections: int = 0  # in a row
    ejected_until_ms: int = 0
    slow: bool = False
    between_tokens_ms: float = 0.0  # smoothed mean gap of the relayed streams
    gap_updated_ms: int = 0  # last update of the gap

    def is_ejected(self, now_ms: int) -> bool:
        """:return: whether the agent sits out after failures"""
        return now_ms < self.ejected_until_ms


__all__ = ["AgentHealth"]
