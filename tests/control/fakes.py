"""Settings, fakes and helpers for the tests of the control exchange."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.clock import SystemClock
from boragetiller.control.client import PeerEndpoint
from boragetiller.control.exchange import ControlExchange
from boragetiller.metrics import Metrics
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.tables.agents import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.control.messages import Hello, Message

WAIT_TIMEOUT_S = 10.0


def make_settings(
    name: str, role: Role = Role.ROUTER, failure_domain: str = "a", **control: object
) -> Settings:
    """:return: settings of a process on the loopback address with short control intervals"""
    timing: dict[str, object] = {
        "heartbeat_ms": 50,
        "suspect_after_ms": 1_000,
        "reconnect_base_ms": 10,
        "reconnect_max_ms": 50,
        "key": "shared",
    }
    backend = BackendSettings(name=name, group="g", kind=BackendKind.ENGINE, url="http://127.0.0.1")
    return Settings(
        role=role,
        name=name,
        failure_domain=failure_domain,
        control=ControlSettings(**{**timing, **control}),  # type: ignore[arg-type]
        operator=OperatorSettings(key="o"),
        platform=PlatformSettings(store_url="", host_list_url=""),
        backend=backend if role is Role.AGENT else None,
        seed=1,
    )


class RecordingHandler:
    """Handler that records its calls."""

    def __init__(self) -> None:
        self.connected: list[Hello] = []
        self.lost: list[Hello] = []
        self.messages: list[tuple[str, Message]] = []

    def on_connected(self, peer: Hello) -> None:
        self.connected.append(peer)

    def on_message(self, peer: Hello, message: Message) -> None:
        self.messages.append((peer.name, message))

    def on_disconnected(self, peer: Hello) -> None:
        self.lost.append(peer)


@attrs.frozen
class Page:
    """A configuration page."""

    index: int
    revision: int
    data: bytes


class FakeConfig:
    """Configuration pages in memory; the revision of a page never decreases."""

    def __init__(self, pages: dict[int, Page] | None = None, page_count: int = 64) -> None:
        self.pages = dict(pages or {})
        self.ready = bool(pages)
        self.peer_completeness: dict[str, bool] = {}
        self.contacted_peers: list[str] = []
        self.lost: list[str] = []
        self._page_count = page_count

    def put(self, index: int, revision: int, data: bytes = b"page") -> None:
        """Set a page, as if read from the store."""
        self.pages[index] = Page(index, revision, data)

    def get_page_revisions(self) -> dict[int, int]:
        return {index: page.revision for index, page in self.pages.items()}

    def list_lost_pages(self) -> list[Page]:
        return []

    def list_newer_pages(self, revisions: dict[int, int]) -> list[Page]:
        return [p for i, p in sorted(self.pages.items()) if p.revision > revisions.get(i, 0)]

    def record_peer_revisions(
        self, peer: str, revisions: dict[int, int], *, complete: bool
    ) -> list[int]:
        self.peer_completeness[peer] = complete
        own = self.get_page_revisions()
        return sorted(i for i, r in revisions.items() if r > own.get(i, 0))

    def record_peer_contact(self, peer: str) -> None:
        self.contacted_peers.append(peer)

    def remove_peer(self, peer: str) -> None:
        self.lost.append(peer)

    def apply_page(self, index: int, revision: int, data: bytes) -> bool:
        held = self.pages.get(index)
        if index >= self._page_count or (held is not None and held.revision >= revision):
            return False
        self.pages[index] = Page(index, revision, data)
        return True


class FakeAgentState:
    """State that a test agent reports."""

    def __init__(self) -> None:
        self.draining = False
        self.shards: tuple[int, ...] = ()
        self.load = LoadReport(received_ms=0, running=2, max_running=8, queued=(0, 1, 0, 0))

    def build_load_report(self) -> LoadReport:
        return self.load

    def is_draining(self) -> bool:
        return self.draining

    def owned_shards(self) -> tuple[int, ...]:
        return self.shards


class ExchangeHarness:
    """An exchange with a recording handler."""

    def __init__(self, name: str, incarnation: int = 1, **control: object) -> None:
        self.name = name
        self.handler = RecordingHandler()
        self.metrics = Metrics()
        self.exchange = ControlExchange(
            make_settings(name, **control), incarnation, self.handler, SystemClock(), self.metrics
        )

    @property
    def peer(self) -> PeerEndpoint:
        """:return: address at which the exchange listens"""
        return PeerEndpoint(self.name, "127.0.0.1", self.exchange.port)


async def wait_until(condition: Callable[[], object], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait for a condition; the timeout only ends a test that would hang."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


__all__ = [
    "FakeAgentState",
    "FakeConfig",
    "ExchangeHarness",
    "Page",
    "RecordingHandler",
    "make_settings",
    "wait_until",
]
