"""What a control node needs from the other parts of its process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.control.messages import CrashReport
    from boragetiller.tables.agents import LoadReport


class ConfigPage(Protocol):
    """One configuration page with its store revision."""

    @property
    def index(self) -> int:
        """:return: number of the page"""
        ...

    @property
    def revision(self) -> int:
        """:return: store revision"""
        ...

    @property
    def data(self) -> bytes:
        """:return: bytes as stored"""
        ...


class ConfigPages(Protocol):
    """The configuration held by this process."""

    @property
    def ready(self) -> bool:
        """:return: whether a whole configuration is in force"""
        ...

    def get_page_revisions(self) -> dict[int, int]:
        """:return: store revision of each page held, by index"""
        ...

    def list_newer_pages(self, revisions: dict[int, int]) -> Sequence[ConfigPage]:
        """:return: pages held with a higher revision"""
        ...

    def record_peer_revisions(
        self, peer: str, revisions: dict[int, int], *, complete: bool
    ) -> list[int]:
        """:return: indexes of the pages to ask this peer for"""
        ...

    def record_peer_contact(self, peer: str) -> None:
        """Take notice that a peer is there and its pages are those it told last."""
        ...

    def remove_peer(self, peer: str) -> None:
        """Forget a peer that is no longer connected."""
        ...

    def apply_page(self, index: int, revision: int, data: bytes) -> bool:
        """:return: whether the page was newer than the one held"""
        ...


class AgentState(Protocol):
    """What an agent tells the routers of itself."""

    def build_load_report(self) -> LoadReport:
        """:return: load of the backend server"""
        ...

    def is_draining(self) -> bool:
        """:return: whether new work is refused"""
        ...

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards of idempotency keys that this agent owns"""
        ...


class CrashReportHandler(Protocol):
    """Learns of strikes that other nodes saw."""

    def handle_crash_report(self, report: CrashReport, now_ms: int) -> None:
        """
        Take a strike.

        :param strike: fingerprint, backend server and age
        :param now_ms: monotonic time in milliseconds
        """
        ...


class ShardOwners(Protocol):
    """Learns which agent owns which shards of its group."""

    def update_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:
        """Take all shards that an agent owns now."""
        ...

    def remove_agent(self, agent: str) -> None:
        """Forget an agent that is gone."""
        ...


class ShareLender(Protocol):
    """Lends and borrows parts of customers' limits; shares are of the whole limit."""

    def list_wanted_shares(self, now_ms: int) -> tuple[tuple[str, float], ...]:
        """:return: customers that were refused of late, and the share that each needs"""
        ...

    def lend_share(self, customer: str, share: float, now_ms: int) -> float:
        """:return: the share lent, 0 when there is none to spare"""
        ...

    def borrow_share(self, customer: str, share: float, requested_ms: int) -> None:
        """
        Use a share that a peer lent.

        :param customer: its name
        :param share: the share lent
        :param asked_ms: monotonic time when this router sent the request
        """
        ...


GroupMembersGetter = Callable[[], dict[str, frozenset[str]]]
"""Host names by backend group as the records in force have them; empty before the first."""

__all__ = [
    "AgentState",
    "ConfigPage",
    "ConfigPages",
    "CrashReportHandler",
    "GroupMembersGetter",
    "ShardOwners",
    "ShareLender",
]
