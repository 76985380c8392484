"""What an agent tells the routers of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.admission import build_load_report

if TYPE_CHECKING:
    from boragetiller.agent.claims import ClaimKeeper
    from boragetiller.agent.gate import Gate
    from boragetiller.agent.server import AttemptServer
    from boragetiller.clock import Clock
    from boragetiller.tables.agents import LoadReport


class AgentState:
    """Load, draining and owned shards, for the control node."""

    def __init__(
        self, gate: Gate, server: AttemptServer, claims: ClaimKeeper, clock: Clock
    ) -> None:
        """
        Put the parts together.

        :param gate: work at the backend server
        :param server: knows whether the agent drains
        :param claims: knows the owned shards
        :param clock: monotonic time
        """
        self._gate = gate
        self._server = server
        self._claims = claims
        self._clock = clock

    def report_load(self) -> LoadReport:
        """:return: load of the backend server"""
        return build_load_report(self._gate.table, self._clock.now_ms())

    def is_draining(self) -> bool:
        """:return: whether new work is refused"""
        return self._server.draining

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards of idempotency keys that this agent owns"""
        return self._claims.owned_shards()


__all__ = ["AgentState"]
