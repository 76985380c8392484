"""Control nodes for measurements, without the other components of a router or agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import attrs
from loguru import logger

from boragetiller.clock import SystemClock
from boragetiller.control.node import AgentNode, ControlNode
from boragetiller.control.router_node import RouterDependencies, RouterNode
from boragetiller.metrics import Metrics
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlacementSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.tables.agents import AgentTable, LoadReport

LOOPBACK = "127.0.0.1"
PAGE_COUNT = 64
GROUP = "pool"
FAILURE_DOMAINS = 3
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.001


@attrs.frozen
class ConfigPage:
    """One page of the configuration."""

    index: int
    revision: int
    data: bytes


class MemoryConfigPages:
    """Configuration pages in memory; a page is replaced only by a higher revision."""

    def __init__(self, page_bytes: int, on_applied: Callable[[], None] | None = None) -> None:
        """
        Create pages of zero bytes.

        :param page_bytes: size of each page in bytes
        :param on_applied: called after a newer page from a peer was applied
        """
        self.ready = True
        self.pages = {i: ConfigPage(i, i + 1, bytes(page_bytes)) for i in range(PAGE_COUNT)}
        self._on_applied = on_applied

    def put(self, page: ConfigPage) -> None:
        """Set a page, as if it came from the store."""
        self.pages[page.index] = page

    def get_page_revisions(self) -> dict[int, int]:
        """:return: revisions by page index"""
        return {index: page.revision for index, page in self.pages.items()}

    def list_newer_pages(self, revisions: dict[int, int]) -> list[ConfigPage]:
        """:return: pages with a higher revision than the given one"""
        return [p for i, p in self.pages.items() if p.revision > revisions.get(i, 0)]

    def record_peer_revisions(
        self, peer: str, revisions: dict[int, int], *, complete: bool
    ) -> list[int]:
        """:return: no page indices; the relay determines which pages a peer lacks"""
        return []

    def record_peer_contact(self, peer: str) -> None:
        """Ignore the peer."""

    def remove_peer(self, peer: str) -> None:
        """Ignore the peer."""

    def apply_page(self, index: int, revision: int, data: bytes) -> bool:
        """:return: True if the page was newer and was applied"""
        if self.pages[index].revision >= revision:
            return False
        self.pages[index] = ConfigPage(index, revision, data)
        if self._on_applied is not None:
            self._on_applied()
        return True


class RandomLoadAgent:
    """State of an agent whose load is random in each report."""

    def __init__(self, seed: int) -> None:
        """:param seed: seed of the loads"""
        self.draining = False
        self._rng = Random(seed)

    def build_load_report(self) -> LoadReport:
        """:return: random load of a busy engine"""
        rng = self._rng
        return LoadReport(
            received_ms=0,
            running=rng.randint(8, 64),
            max_running=64,
            queued=(rng.randint(0, 9), rng.randint(0, 99), rng.randint(0, 99), rng.randint(0, 300)),
            service_ms=rng.uniform(2_000, 20_000),
            first_token_ms=rng.uniform(100, 700),
            between_tokens_ms=rng.uniform(20, 60),
        )

    def is_draining(self) -> bool:
        """:return: True while draining"""
        return self.draining

    def owned_shards(self) -> tuple[int, ...]:
        """:return: a constant set of shards"""
        return (1, 5, 9)


@attrs.define
class NodeFleet:
    """Control nodes in this process and their common host list."""

    subset_size: int = 24
    page_bytes: int = 20_000
    failure_domain_count: int = FAILURE_DOMAINS
    on_page_applied: Callable[[str], None] | None = None
    nodes: dict[str, ControlNode] = attrs.Factory(dict)
    pages: dict[str, MemoryConfigPages] = attrs.Factory(dict)
    agents: dict[str, RandomLoadAgent] = attrs.Factory(dict)
    tables: dict[str, AgentTable] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Disable logging, which would add to the measured processor time."""
        logger.remove()

    async def add_agent(self, index: int, incarnation: int = 1, port: int = 0) -> AgentNode:
        """:return: a started agent node, added to the host list"""
        name = f"agent-{index}"
        self.agents[name] = RandomLoadAgent(index)
        node = AgentNode(
            self._build_settings(Role.AGENT, name, index, port),
            incarnation,
            self.agents[name],
            self._create_pages(name),
            SystemClock(),
            Metrics(),
        )
        await self._start_node(name, index, node, "agent")
        return node

    async def add_router(self, index: int) -> RouterNode:
        """:return: a started router node, added to the host list"""
        name = f"router-{index}"
        self.tables[name] = AgentTable()
        node = RouterNode(
            self._build_settings(Role.ROUTER, name, index, 0),
            1,
            self.tables[name],
            self._create_pages(name),
            SystemClock(),
            Metrics(),
            RouterDependencies(),
        )
        await self._start_node(name, index, node, "router")
        return node

    def distribute_host_list(self, extra_hosts: list[Host] | None = None) -> None:
        """Apply the host list at every router, with additional hosts if given."""
        for name in self.tables:
            router = self.nodes[name]
            assert isinstance(router, RouterNode)
            router.apply_host_list([*self.hosts.values(), *(extra_hosts or [])])

    def set_host_state(self, name: str, state: HostState) -> None:
        """Set the state of a host in the host list; routers get it with the next distribution."""
        self.hosts[name] = attrs.evolve(self.hosts[name], state=state)

    def get_usable_agents(self, router: str) -> set[str]:
        """:return: agents that accept work and of which the router has a load report"""
        entries = self.tables[router].entries.values()
        return {entry.name for entry in entries if entry.accepts_work() and entry.load}

    async def close(self) -> None:
        """Close all nodes."""
        for node in self.nodes.values():
            await node.close()

    def _create_pages(self, name: str) -> MemoryConfigPages:
        on_applied = None if self.on_page_applied is None else lambda: self.on_page_applied(name)  # type: ignore[misc]
        self.pages[name] = MemoryConfigPages(self.page_bytes, on_applied)
        return self.pages[name]

    async def _start_node(self, name: str, index: int, node: ControlNode, role: str) -> None:
        await node.start()
        self.nodes[name] = node
        self.hosts[name] = Host(
            name=name,
            role=role,
            address=LOOPBACK,
            data_port=1,
            control_port=node.port,
            failure_domain=f"domain-{index % self.failure_domain_count}",
            group=GROUP if role == "agent" else "",
        )

    def _build_settings(self, role: Role, name: str, index: int, port: int) -> Settings:
        backend = BackendSettings(name=name, group=GROUP, kind=BackendKind.ENGINE, url="http://x")
        return Settings(
            role=role,
            name=name,
            failure_domain=f"domain-{index % self.failure_domain_count}",
            control=ControlSettings(key="bench", port=port),
            operator=OperatorSettings(key="bench"),
            platform=PlatformSettings(store_url="", host_list_url=""),
            placement=PlacementSettings(subset_size=self.subset_size),
            backend=backend if role is Role.AGENT else None,
            seed=1,
        )


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition until it holds; raises TimeoutError after WAIT_TIMEOUT_S."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)


__all__ = ["RandomLoadAgent", "MemoryConfigPages", "NodeFleet", "ConfigPage", "wait_until"]
