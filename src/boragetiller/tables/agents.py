"""A router's state of the agents to which it can send requests."""

from __future__ import annotations

import attrs

from boragetiller.hashing import stable_hash
from boragetiller.tables.agent_health import AgentHealth

TIER_COUNT = 4


@attrs.define(kw_only=True)
class LoadReport:
    """The last load report of an agent; `queued` is indexed by tier."""

    received_ms: int
    running: int = 0
    protected_running: int | None = None  # running and not preemptible; None if not reported
    max_running: int = 1
    queued: tuple[int, ...] = (0, 0, 0, 0)
    service_ms: float = 0.0  # moving average of the time a request occupies a slot
    first_token_ms: float = 0.0  # moving average of the time from start to first token
    between_tokens_ms: float = 0.0  # moving average of the gap between tokens


@attrs.define(kw_only=True)
class AgentEntry:
    """One agent and the backend server behind it."""

    name: str
    group: str
    address: str
    data_port: int
    control_port: int = 0
    failure_domain: str = ""
    region: str = "default"
    incarnation: int = 0
    draining: bool = False
    leaving: bool = False
    suspected: bool = False
    in_flight: int = 0  # unfinished attempts sent by this router
    in_flight_by_tier: list[int] = attrs.Factory(lambda: [0] * TIER_COUNT)
    in_flight_at_report: int = 0  # in_flight when the last load report was received
    load: LoadReport | None = None
    health: AgentHealth = attrs.Factory(AgentHealth)
    seed: int = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Cache the hash of the name."""
        self.seed = stable_hash(self.name)

    def add_in_flight(self, tier: int) -> None:
        """
        Count an attempt sent to this agent.

        :param tier: tier of the request
        """
        self.in_flight += 1
        self.in_flight_by_tier[tier] += 1

    def remove_in_flight(self, tier: int) -> None:
        """
        Stop counting an attempt that ended.

        :param tier: tier of the request
        """
        self.in_flight -= 1
        self.in_flight_by_tier[tier] -= 1

    def update_load(self, load: LoadReport) -> None:
        """
        Replace the load report.

        :param load: the report, with the time at which it was received
        """
        self.load = load
        self.in_flight_at_report = self.in_flight

    def accepts_work(self) -> bool:
        """:return: whether new requests may be sent to this agent"""
        return not (self.draining or self.leaving or self.suspected)


@attrs.define
class AgentTable:
    """Agents by name."""

    entries: dict[str, AgentEntry] = attrs.Factory(dict)

    def list_group(self, group: str) -> list[AgentEntry]:
        """
        List the agents of a backend group.

        :param group: name of the backend group
        :return: the entries, sorted by name
        """
        return [
            self.entries[name] for name in sorted(self.entries) if self.entries[name].group == group
        ]


__all__ = ["AgentEntry", "AgentTable", "LoadReport", "TIER_COUNT"]
