"""Interfaces of the components that a control node calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.control.messages import CrashReport
    from boragetiller.tables.agents import LoadReport


class ConfigPage(Protocol):
    """A configuration page with its store revision."""

    @property
    def index(self) -> int:
        """:return: index of the page"""
        ...

    @property
    def revision(self) -> int:
        """:return: store revision"""
        ...

    @property
    def data(self) -> bytes:
        """:return: content of the page as stored"""
        ...


class ConfigPages(Protocol):
    """The configuration pages of this process."""

    @property
    def ready(self) -> bool:
        """:return: whether a complete configuration is in force"""
        ...

    def get_page_revisions(self) -> dict[int, int]:
        """:return: store revision of each page that this process holds, by index"""
        ...

    def list_newer_pages(self, revisions: dict[int, int]) -> Sequence[ConfigPage]:
        """:return: pages that this process holds in a newer revision"""
        ...

    def list_lost_pages(self) -> Sequence[ConfigPage]:
        """:return: pages with content in force that the store lost in a restore"""
        ...

    def record_peer_revisions(
        self, peer: str, revisions: dict[int, int], *, complete: bool
    ) -> list[int]:
        """:return: indexes of the pages that the peer holds in a newer revision"""
        ...

    def record_peer_contact(self, peer: str) -> None:
        """Record that a peer is connected and its last revisions are still valid."""
        ...

    def remove_peer(self, peer: str) -> None:
        """Remove a peer that is no longer connected."""
        ...

    def apply_page(self, index: int, revision: int, data: bytes) -> bool:
        """:return: whether the page was newer than the present one and was applied"""
        ...


class AgentState(Protocol):
    """State of an agent that it reports to the routers."""

    def build_load_report(self) -> LoadReport:
        """:return: load of the backend server"""
        ...

    def is_draining(self) -> bool:
        """:return: whether the agent refuses new work"""
        ...

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards of idempotency keys that this agent owns"""
        ...


class CrashReportHandler(Protocol):
    """Receiver of crash reports of other nodes."""

    def handle_crash_report(self, report: CrashReport, now_ms: int) -> None:
        """
        Handle a crash report.

        :param report: fingerprint of the request body, backend server, and age of the crash
        :param now_ms: monotonic time in milliseconds
        """
        ...


class ShardOwners(Protocol):
    """Table of the agents that own the shards of each group."""

    def update_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:
        """Replace the shards that an agent owns."""
        ...

    def remove_agent(self, agent: str) -> None:
        """Remove an agent that has left."""
        ...


class ShareLender(Protocol):
    """Lends and borrows shares of customers' limits; 1.0 is the complete limit."""

    def list_wanted_shares(self, now_ms: int) -> tuple[tuple[str, float], ...]:
        """:return: customers with recently refused requests, and the share that each needs"""
        ...

    def lend_share(self, customer: str, share: float, now_ms: int) -> float:
        """:return: the share lent; 0 if none is available"""
        ...

    def borrow_share(self, customer: str, share: float, requested_ms: int) -> None:
        """
        Add a share that a peer lent to the limit of this router.

        :param customer: name of the customer
        :param share: the share lent
        :param requested_ms: monotonic time in milliseconds when this router sent the request
        """
        ...


GroupMembersGetter = Callable[[], dict[str, frozenset[str]]]
"""Returns the host names of each backend group in the records in force; empty without records."""

__all__ = [
    "AgentState",
    "ConfigPage",
    "ConfigPages",
    "CrashReportHandler",
    "GroupMembersGetter",
    "ShardOwners",
    "ShareLender",
]
