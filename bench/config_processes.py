"""Measure when changes are in force at complete routers and agents in one event loop."""

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
    """Times from acceptance until in force, one for each change and node, and related figures."""

    in_force_ms: list[float]
    ready_ms: float
    calls_per_change: float


class _WatchedProcess:
    """Records when each page revision is in force in a process, by wrapping its change callback."""

    def __init__(self, process: RouterProcess | AgentProcess) -> None:
        self.process = process
        self.applied_at_s: dict[int, float] = {}
        self._changed = asyncio.Event()
        self._wrapped_on_change = process.sync._on_change
        process.sync._on_change = self._on_change

    @property
    def ready(self) -> bool:
        """:return: True if a complete configuration is in force"""
        return self.process.config.ready

    async def wait_until_ready(self) -> None:
        """Wait until a complete configuration is in force."""
        while not self.ready:
            await self._wait_for_change()

    async def wait_until_applied(self, revision: int) -> None:
        """Wait until a revision of the page with the changed class is in force."""
        while revision not in self.applied_at_s:
            await self._wait_for_change()

    def _on_change(self) -> None:
        self._wrapped_on_change()
        revision = self.process.config.page_revisions.get(_KEY, 0)
        self.applied_at_s.setdefault(revision, time.perf_counter())
        self._changed.set()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()


async def measure_in_force(
    routers: int, agents: int, customers: int, changes: int, *, relay_only: bool
) -> InForceFigures:
    """
    Change a class repeatedly.

    :param routers: number of router processes
    :param agents: number of agent processes
    :param customers: number of customer records
    :param changes: number of changes
    :param relay_only: True if only the first router reaches the store
    :return: times until in force and until ready, and store calls per change
    """
    store = MemoryStore(SystemClock())
    await fill_store(store, customers)
    hosts = MemoryHostList(SystemClock())
    fleet: list[_WatchedProcess] = []
    started_s = time.perf_counter()
    for number in range(routers + agents):
        reachable: Store = new_unreachable_store() if relay_only and number else store
        clients = PlatformClients(reachable, hosts)
        fleet.append(await _start_process(number, routers, clients, hosts))
    await wait_with_timeout(WAIT_TIMEOUT_S, _wait_until_all_ready(fleet))
    ready_ms = 1_000 * (time.perf_counter() - started_s)
    writer = RecordWriter(store, "vesturland", Random(1))
    calls = sum(store.counts.values())
    in_force_ms: list[float] = []
    for change in range(changes):
        in_force_ms += await wait_with_timeout(
            WAIT_TIMEOUT_S, _measure_change(store, writer, fleet, change)
        )
    calls = sum(store.counts.values()) - calls
    await asyncio.gather(*(node.process.close() for node in fleet))
    return InForceFigures(
        in_force_ms=in_force_ms, ready_ms=ready_ms, calls_per_change=calls / changes
    )


async def _wait_until_all_ready(fleet: list[_WatchedProcess]) -> None:
    for node in fleet:
        await node.wait_until_ready()


async def _measure_change(
    store: MemoryStore, writer: RecordWriter, fleet: list[_WatchedProcess], change: int
) -> list[float]:
    text = f"kind: class\nname: t1\nschema_version: 2\ndeadline_ms: {1_000 + change}\n"
    result = (await writer.write(parse_documents(text), at_ms=change))[0]
    accepted_at_s = time.perf_counter()
    assert result.state is WriteState.ACCEPTED, result
    entry = store._entries[_KEY]
    for node in fleet:
        await node.wait_until_applied(entry.revision)
    return [max(0.0, 1_000 * (n.applied_at_s[entry.revision] - accepted_at_s)) for n in fleet]


async def _start_process(
    number: int, routers: int, clients: PlatformClients, hosts: MemoryHostList
) -> _WatchedProcess:
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
    watched_process = _WatchedProcess(process)
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
    return watched_process


__all__ = ["InForceFigures", "measure_in_force"]
