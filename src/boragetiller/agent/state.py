"""State of an agent that is reported to routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.admission import build_load_report

if TYPE_CHECKING:
    from boragetiller.agent.admission import AdmissionQueue
    from boragetiller.agent.claims import ClaimRegistry
    from boragetiller.agent.server import AttemptServer
    from boragetiller.clock import Clock
    from boragetiller.tables.agents import LoadReport


class AgentState:
    """Load, draining and owned shards, for the control node."""

    def __init__(
        self, admission: AdmissionQueue, server: AttemptServer, claims: ClaimRegistry, clock: Clock
    ) -> None:
        """
        Create a view of the components.

        :param admission: admission queue, which measures the load
        :param server: server of the data path, which drains
        :param claims: claims, whose shards this agent owns
        :param clock: monotonic time
        """
        self._admission = admission
        self._server = server
        self._claims = claims
        self._clock = clock

    def build_load_report(self) -> LoadReport:
        """:return: load of the backend server"""
        return build_load_report(self._admission.table, self._clock.now_ms())

    def is_draining(self) -> bool:
        """:return: whether new work is refused"""
        return self._server.draining

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards of idempotency keys that this agent owns"""
        return self._claims.owned_shards()


__all__ = ["AgentState"]
