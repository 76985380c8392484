"""Nodes that read their configuration over HTTP from the stand-in store."""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import attrs

from boragetiller.cli.writer import RecordWriter
from boragetiller.clock import SystemClock
from boragetiller.platform_clients.faults import CallKind
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.platform_clients.memory_store import MemoryStore
from boragetiller.records.documents import parse_documents
from boragetiller.records.pages import PAGE_PREFIX, build_page_key, get_page_index
from boragetiller.records.writes import WriteState
from boragetiller.router.config_sync import ConfigSync
from boragetiller.settings import (
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings
from boragetiller.systems.config_pages import PageUpdate, apply_pages, mark_ready
from boragetiller.tables.config import ConfigTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.platform_clients.store import Store

READY_TIMEOUT_S = 120


@attrs.frozen(kw_only=True)
class StartFigures:
    """Figures of a concurrent start of several nodes."""

    ready_ms: list[float]
    processor_ms_per_node: float
    calls_per_node: float
    read_bytes_per_node: int


@attrs.frozen(kw_only=True)
class PropagationFigures:
    """Times from acceptance of a change until it is in force, one for each change and node."""

    in_force_ms: list[float]
    calls_per_change: float


class StoreNode:
    """Configuration sync of a router with its own connection to the store."""

    def __init__(self, number: int, store_url: str, seed: int) -> None:
        """:param number: number of the node, part of its name"""
        settings = build_node_settings(f"router-{number}", store_url, seed)
        self.table = ConfigTable()
        self.changed = asyncio.Event()
        self.ready_at_s: float | None = None
        self.applied_at_s: dict[tuple[str, int], float] = {}
        self.store = HttpStore(settings.platform)
        self.sync = ConfigSync(self.store, self.table, settings, SystemClock(), self._on_change)

    async def start(self) -> None:
        """Start the configuration sync."""
        await self.store.start()
        await self.sync.start()

    async def close(self) -> None:
        """Stop the configuration sync and close the store client."""
        await self.sync.close()
        await self.store.close()

    def _on_change(self) -> None:
        now_s = time.perf_counter()
        if self.table.ready and self.ready_at_s is None:
            self.ready_at_s = now_s
        for page_revision in self.table.page_revisions.items():
            self.applied_at_s.setdefault(page_revision, now_s)
        self.changed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition, evaluated after each configuration change."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def build_node_settings(name: str, store_url: str, seed: int) -> Settings:
    """:return: settings of a router that reads from a given store"""
    return Settings(
        role=Role.ROUTER,
        name=name,
        failure_domain="vl-a",
        control=ControlSettings(key="bench"),
        operator=OperatorSettings(key="bench"),
        platform=PlatformSettings(store_url=store_url, host_list_url=store_url, timeout_ms=30_000),
        seed=seed,
    )


async def fill_store(store: Store, customers: int) -> None:
    """Write a group, four classes and customer records with three history entries each."""
    text = "kind: group\nname: pool\nschema_version: 2\nmembers: [a, b]\nmodels: [m]\n"
    for tier in range(4):
        text += f"---\nkind: class\nname: t{tier}\nschema_version: 2\ngroup: pool\ntier: {tier}\n"
    documents = parse_documents(text)
    for number in range(customers):
        documents += parse_documents(
            f"kind: customer\nname: customer-{number}\nschema_version: 2\n"
            f"key_hashes: ['{number:064x}', '{number + 10**9:064x}']\nclasses: [t0, t1, t2, t3]\n"
        )
    writer = RecordWriter(store, "vesturland", Random(1))
    for weight in (1.0, 2.0, 3.0):
        edited = [attrs.evolve(d, fields={**d.fields, "weight": weight}) for d in documents[5:]]
        results = await writer.write([*documents[:5], *edited], at_ms=0)
        states = {result.state for result in results}
        assert states <= {WriteState.ACCEPTED, WriteState.UNCHANGED}, states


async def measure_start(nodes: int, customers: int, seed: int) -> StartFigures:
    """
    Start many nodes concurrently in one process.

    :return: time until each node is ready, with the processor time and store calls per node
    """
    platform = PlatformServer(PlatformServerSettings())
    await platform.start()
    await fill_store(platform.store, customers)
    before = _count_calls(platform.store)
    fleet = [StoreNode(number, platform.url, seed) for number in range(nodes)]
    started_s, cpu_started_s = time.perf_counter(), time.process_time()
    await asyncio.gather(*(node.start() for node in fleet))
    await _wait_until_ready(fleet)
    cpu_s = time.process_time() - cpu_started_s
    calls = _count_calls(platform.store) - before
    read_bytes = sum(len(page.data) for page in fleet[0].table.pages.values())
    figures = StartFigures(
        ready_ms=[1_000 * ((node.ready_at_s or 0) - started_s) for node in fleet],
        processor_ms_per_node=1_000 * cpu_s / nodes,
        calls_per_node=calls / nodes,
        read_bytes_per_node=read_bytes,
    )
    await asyncio.gather(*(node.close() for node in fleet))
    await platform.close()
    return figures


async def measure_propagation(nodes: int, changes: int, seed: int) -> PropagationFigures:
    """
    Change a class repeatedly while all nodes watch the store.

    :return: times from acceptance of a change until it is in force, and store calls per change
    """
    platform = PlatformServer(PlatformServerSettings())
    await platform.start()
    await fill_store(platform.store, customers=520)
    fleet = [StoreNode(number, platform.url, seed) for number in range(nodes)]
    await asyncio.gather(*(node.start() for node in fleet))
    await _wait_until_ready(fleet)
    writer_store = HttpStore(fleet[0].sync._settings.platform)
    await writer_store.start()
    writer = RecordWriter(writer_store, "vesturland", Random(seed))
    key = build_page_key(get_page_index("class/t1"))
    calls = _count_calls(platform.store)
    in_force_ms: list[float] = []
    for change in range(changes):
        text = f"kind: class\nname: t1\nschema_version: 2\ndeadline_ms: {1_000 + change}\n"
        result = (await writer.write(parse_documents(text), at_ms=change))[0]
        accepted_at_s = time.perf_counter()
        assert result.state is WriteState.ACCEPTED, result
        entry = await platform.store.get(key)
        assert entry is not None
        await _wait_until_applied(fleet, (key, entry.revision))
        applied_times_s = [node.applied_at_s[(key, entry.revision)] for node in fleet]
        in_force_ms += [max(0.0, 1_000 * (time_s - accepted_at_s)) for time_s in applied_times_s]
    calls = _count_calls(platform.store) - calls - changes  # without the reads of this function
    await writer_store.close()
    await asyncio.gather(*(node.close() for node in fleet))
    await platform.close()
    return PropagationFigures(in_force_ms=in_force_ms, calls_per_change=calls / changes)


async def measure_memory(customers: int) -> tuple[float, float]:
    """:return: memory per customer record in bytes and of the full configuration in MB"""
    store = MemoryStore(SystemClock())
    await fill_store(store, customers)
    entries = await store.list(PAGE_PREFIX)
    gc.collect()
    tracemalloc.start()
    table = ConfigTable()
    updates = [
        PageUpdate(index=index, revision=entry.revision, data=bytes(bytearray(entry.value)))
        for index, entry in enumerate(entries)
    ]
    apply_pages(table, updates, now_ms=0)
    mark_ready(table)
    del updates
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table.customers) == customers
    return used_bytes / customers, used_bytes / 1e6


async def _wait_until_ready(fleet: list[StoreNode]) -> None:
    await asyncio.gather(*(node.wait_until(lambda n=node: n.table.ready) for node in fleet))


async def _wait_until_applied(fleet: list[StoreNode], page_revision: tuple[str, int]) -> None:
    await asyncio.gather(
        *(node.wait_until(lambda n=node: page_revision in n.applied_at_s) for node in fleet)
    )


def _count_calls(store: MemoryStore) -> int:
    return sum(store.counts[kind] for kind in CallKind)


__all__ = [
    "StoreNode",
    "PropagationFigures",
    "StartFigures",
    "fill_store",
    "measure_memory",
    "measure_propagation",
    "measure_start",
    "build_node_settings",
]
