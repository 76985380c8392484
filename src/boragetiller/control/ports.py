"""What a control node needs from the other parts of its process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragetiller.control.messages import CustomerUse, Strike
    from boragetiller.tables.agents import LoadReport


class PageUpdate(Protocol):
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

    def page_versions(self) -> dict[int, int]:
        """:return: store revision of each page held, by index"""
        ...

    def pages_newer_than(self, revisions: dict[int, int]) -> Sequence[PageUpdate]:
        """:return: pages held with a higher revision"""
        ...

    def note_peer(self, peer: str, revisions: dict[int, int], *, complete: bool) -> list[int]:
        """:return: indexes of the pages to ask this peer for"""
        ...

    def peer_heard(self, peer: str) -> None:
        """Take notice that a peer is there and its pages are those it told last."""
        ...

    def peer_lost(self, peer: str) -> None:
        """Forget a peer that is no longer connected."""
        ...

    def take_page(self, index: int, revision: int, data: bytes) -> bool:
        """:return: whether the page was newer than the one held"""
        ...


class AgentState(Protocol):
    """What an agent tells the routers of itself."""

    def report_load(self) -> LoadReport:
        """:return: load of the backend server"""
        ...

    def is_draining(self) -> bool:
        """:return: whether new work is refused"""
        ...

    def owned_shards(self) -> tuple[int, ...]:
        """:return: shards of idempotency keys that this agent owns"""
        ...


class StrikeSink(Protocol):
    """Learns of strikes that other nodes saw."""

    def take_strike(self, strike: Strike, now_ms: int) -> None:
        """
        Take a strike.

        :param strike: fingerprint, backend server and age
        :param now_ms: monotonic time in milliseconds
        """
        ...


class ShardOwners(Protocol):
    """Learns which agent owns which shards of its group."""

    def note_shards(
        self, agent: str, group: str, incarnation: int, shards: tuple[int, ...]
    ) -> None:
        """Take all shards that an agent owns now."""
        ...

    def forget_agent(self, agent: str) -> None:
        """Forget an agent that is gone."""
        ...


class UsageExchange(Protocol):
    """Shares use by customers between routers."""

    def near_limit(self, now_ms: int) -> tuple[CustomerUse, ...]:
        """:return: use at this router by customers that are near a limit"""
        ...

    def take_usage(self, peer: str, entries: tuple[CustomerUse, ...], now_ms: int) -> None:
        """Take what a peer told, which replaces what it told before."""
        ...


GroupMembers = Callable[[], dict[str, frozenset[str]]]
"""Host names by backend group as the records in force have them; empty before the first."""

__all__ = [
    "AgentState",
    "ConfigPages",
    "GroupMembers",
    "PageUpdate",
    "ShardOwners",
    "StrikeSink",
    "UsageExchange",
]
