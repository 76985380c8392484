"""What a router knows of the agents it may place work on."""

from __future__ import annotations

import attrs

from boragetiller.hashing import stable_hash
from boragetiller.tables.agent_health import AgentHealth

TIER_COUNT = 4


@attrs.define(kw_only=True)
class LoadReport:
    """Load as an agent last told it; arrays are indexed by tier."""

    received_ms: int
    running: int = 0
    protected_running: int | None = None  # running work that never gives way; None when not told
    max_running: int = 1
    queued: tuple[int, ...] = (0, 0, 0, 0)
    service_ms: float = 0.0  # mean time of one request in a slot
    first_token_ms: float = 0.0  # recent mean time from start to first token
    between_tokens_ms: float = 0.0  # recent mean gap between tokens


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
    in_flight: int = 0  # own requests of this router, not yet finished
    in_flight_by_tier: list[int] = attrs.Factory(lambda: [0] * TIER_COUNT)
    in_flight_at_report: int = 0  # own requests when the report came
    load: LoadReport | None = None
    health: AgentHealth = attrs.Factory(AgentHealth)
    seed: int = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Hash the name once."""
        self.seed = stable_hash(self.name)

    def add_in_flight(self, tier: int) -> None:
        """
        Count an attempt that is sent there.

        :param tier: tier of the request
        """
        self.in_flight += 1
        self.in_flight_by_tier[tier] += 1

    def remove_in_flight(self, tier: int) -> None:
        """
        Count the end of an attempt.

        :param tier: tier of the request
        """
        self.in_flight -= 1
        self.in_flight_by_tier[tier] -= 1

    def update_load(self, load: LoadReport) -> None:
        """
        Take a report, late or not, that the agent sent.

        :param load: the report, stamped with the time of receipt
        """
        self.load = load
        self.in_flight_at_report = self.in_flight

    def accepts_work(self) -> bool:
        """:return: whether new work may be sent there"""
        return not (self.draining or self.leaving or self.suspected)


@attrs.define
class AgentTable:
    """Agents by name."""

    entries: dict[str, AgentEntry] = attrs.Factory(dict)

    def list_group(self, group: str) -> list[AgentEntry]:
        """
        List the agents of one group.

        :param group: name of the backend group
        :return: the entries in a stable order
        """
        return [
            self.entries[name] for name in sorted(self.entries) if self.entries[name].group == group
        ]


__all__ = ["AgentEntry", "AgentTable", "LoadReport", "TIER_COUNT"]
