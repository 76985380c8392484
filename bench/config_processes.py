"""Time from acceptance to in force over whole router and agent processes in one event loop."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING

import attrs

from bench.config_fleet import GROUP, LOOPBACK, new_unreachable_store
from bench.config_nodes import fill_store
from boragetiller.agent.process import AgentProcess
from boragetiller.cli.writer import RecordWriter
from boragetiller.clock import SystemClock
from boragetiller.platform_clients.clients import PlatformClients
from boragetiller.platform_clients.hosts import Host
from boragetiller.platform_clients.memory_hosts import MemoryHostList
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.records.documents import parse_documents
from boragetiller.records.pages import build_page_key, get_page_index
from boragetiller.records.writes import WriteState
from boragetiller.router.process import RouterProcess
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.platform_clients.store import Store

WAIT_TIMEOUT_S = 60.0
_URL = "http://127.0.0.1:1"
_KEY = build_page_key(get_page_index("class/t1"))


@attrs.frozen(kw_only=True)
class InForceFigures:
    """A figure for each change and node."""

    in_force_ms: list[float]
    ready_ms: float
    store_calls_per_change: float


class _ObservedProcess:
    """A process whose configuration is looked at after each change."""

    def __init__(self, process: RouterProcess | AgentProcess) -> None:
        self.process = process
        self.applied_at_s: dict[int, float] = {}
        self._changed = asyncio.Event()
        self._forward = process.sync._on_change
        process.sync._on_change = self._on_change

    @property
    def ready(self) -> bool:
        """:return: whether a whole configuration is in force"""
        return self.process.config.ready

    async def wait_ready(self) -> None:
        """Wait for a whole configuration."""
        while not self.ready:
            await self._wait_change()

    async def wait_applied(self, revision: int) -> None:
        """Wait for the page of the changed class."""
        while revision not in self.applied_at_s:
            await self._wait_change()

    def _on_change(self) -> None:
        self._forward()
        revision = self.process.config.page_revisions.get(_KEY, 0)
        self.applied_at_s.setdefault(revision, time.perf_counter())
        self._changed.set()

    async def _wait_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()


async def measure_in_force(
    routers: int, agents: int, customers: int, changes: int, *, relay_only: bool
) -> InForceFigures:
    """
    Change a class again and again.

    :param routers: number of router processes
    :param agents: number of agent processes
    :param customers: number of customer records
    :param changes: number of changes
    :param relay_only: only the first router reaches the store
    :return: the figures
    """
    store = MemoryStore(SystemClock())
    await fill_store(store, customers)
    hosts = MemoryHostList(SystemClock())
    fleet: list[_ObservedProcess] = []
    started_s = time.perf_counter()
    for number in range(routers + agents):
        node_store: Store = new_unreachable_store() if relay_only and number else store
        clients = PlatformClients(node_store, hosts)
        fleet.append(await _start(number, routers, clients, hosts))
    await wait_with_timeout(WAIT_TIMEOUT_S, _all_ready(fleet))
    ready_ms = 1_000 * (time.perf_counter() - started_s)
    writer = RecordWriter(store, "vesturland", Random(1))
    calls = sum(store.counts.values())
    in_force_ms: list[float] = []
    for change in range(changes):
        in_force_ms += await wait_with_timeout(
            WAIT_TIMEOUT_S, _change_once(store, writer, fleet, change)
        )
    calls = sum(store.counts.values()) - calls
    await asyncio.gather(*(node.process.close() for node in fleet))
    return InForceFigures(
        in_force_ms=in_force_ms, ready_ms=ready_ms, store_calls_per_change=calls / changes
    )


async def _all_ready(fleet: list[_ObservedProcess]) -> None:
    for node in fleet:
        await node.wait_ready()


async def _change_once(
    store: MemoryStore, writer: RecordWriter, fleet: list[_ObservedProcess], change: int
) -> list[float]:
    text = f"kind: class\nname: t1\nschema_version: 2\ndeadline_ms: {1_000 + change}\n"
    result = (await writer.write(parse_documents(text), at_ms=change))[0]
    accepted_at_s = time.perf_counter()
    assert result.state is WriteState.ACCEPTED, result
    entry = store._entries[_KEY]
    for node in fleet:
        await node.wait_applied(entry.revision)
    return [max(0.0, 1_000 * (n.applied_at_s[entry.revision] - accepted_at_s)) for n in fleet]


async def _start(
    number: int, routers: int, clients: PlatformClients, hosts: MemoryHostList
) -> _ObservedProcess:
    role = Role.ROUTER if number < routers else Role.AGENT
    name = f"{role.value}-{number}"
    backend = BackendSettings(name=f"{name}-s", group=GROUP, kind=BackendKind.SERVICE, url=_URL)
    settings = Settings(
        role=role,
        name=name,
        failure_domain="vl-a",
        control=ControlSettings(key="bench"),
        operator=OperatorSettings(key="bench"),
        platform=PlatformSettings(store_url=_URL, host_list_url=_URL),
        backend=backend if role is Role.AGENT else None,
        seed=number,
    )
    process = (RouterProcess if role is Role.ROUTER else AgentProcess)(settings, clients)
    observed = _ObservedProcess(process)
    await process.start()
    endpoints = process.endpoints()
    host = Host(
        name=name,
        role=role.value,
        address=LOOPBACK,
        data_port=endpoints.data_port,
        control_port=endpoints.control_port,
        failure_domain="vl-a",
        group=GROUP if role is Role.AGENT else "",
    )
    hosts.put(host)
    return observed


__all__ = ["InForceFigures", "measure_in_force"]
