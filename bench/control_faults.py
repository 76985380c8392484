"""Measure page relay, departures and a restart of all agents between control nodes on loopback."""

from __future__ import annotations

import asyncio
import statistics
import time
from random import Random
from typing import TYPE_CHECKING, Any

from bench.control_nodes import ConfigPage, NodeFleet, wait_until
from boragetiller.platform_clients.hosts import HostState

if TYPE_CHECKING:
    from boragetiller.control.node import ControlNode

MS_PER_S = 1_000
PAGE_BYTES = 61_000
DEPARTURE_KINDS = ("draining", "goodbye", "list", "crash", "silence")


async def measure_relay(routers: int, agents: int, subset: int, rounds: int) -> dict[str, Any]:
    applied_s: dict[str, float] = {}
    fleet = NodeFleet(
        subset_size=subset,
        on_page_applied=lambda name: applied_s.update({name: time.perf_counter()}),
    )
    await _start_nodes(fleet, routers, agents)
    times_ms: list[float] = []
    for number in range(rounds):
        applied_s.clear()
        origin = f"router-{number % routers}"
        page = ConfigPage(number % 64, 1_000 + number, Random(number).randbytes(PAGE_BYTES))
        started_s = time.perf_counter()
        fleet.pages[origin].put(page)
        fleet.nodes[origin].handle_config_change()
        await wait_until(lambda: len(applied_s) == routers + agents - 1)
        times_ms += [(time_s - started_s) * MS_PER_S for time_s in applied_s.values()]
        await asyncio.sleep(0.3)
    await fleet.close()
    return {"nodes": routers + agents, "changes": rounds, **_summarize(times_ms)}


async def measure_departure(
    departure: str, routers: int, agents: int, rounds: int
) -> dict[str, Any]:
    times_ms = []
    fleet = NodeFleet(subset_size=agents)
    await _start_nodes(fleet, routers, agents)
    for number in range(rounds):
        name = f"agent-{number}"
        started_s = time.perf_counter()
        close_task = _start_departure(fleet, name, departure)
        await wait_until(
            lambda name=name: all(name not in fleet.get_usable_agents(r) for r in fleet.tables)
        )
        times_ms.append((time.perf_counter() - started_s) * MS_PER_S)
        if close_task is not None:
            await close_task
    await fleet.close()
    return {"sign": departure, "routers": routers, "agents": agents, **_summarize(times_ms)}


def _start_departure(fleet: NodeFleet, name: str, departure: str) -> asyncio.Task[None] | None:
    node = fleet.nodes[name]
    if departure == "draining":
        fleet.agents[name].draining = True
        node.send_report()  # type: ignore[attr-defined]
    elif departure == "goodbye":
        return asyncio.create_task(node.close())
    elif departure == "list":
        fleet.set_host_state(name, HostState.LEAVING)
        fleet.distribute_host_list()
    elif departure == "crash":
        return asyncio.create_task(_crash_node(node))
    else:
        for task in node._tasks:  # noqa: SLF001
            task.cancel()
    return None


async def _crash_node(node: ControlNode) -> None:
    exchange = node.exchange
    await exchange._server.close()  # noqa: SLF001
    for connection in list(exchange._connections):  # noqa: SLF001
        connection.abort_as_replaced()


async def measure_restart(routers: int, agents: int, down_s: float) -> dict[str, Any]:
    fleet = NodeFleet(subset_size=agents)
    await _start_nodes(fleet, routers, agents)
    ports = {name: fleet.nodes[name].port for name in fleet.agents}
    min_candidates = agents
    for name in fleet.agents:
        await _crash_node(fleet.nodes[name])
    down_until_s = time.perf_counter() + down_s
    while time.perf_counter() < down_until_s:
        await asyncio.sleep(0.01)
        candidate_counts = [
            sum(entry.accepts_work() for entry in table.entries.values())
            for table in fleet.tables.values()
        ]
        min_candidates = min(min_candidates, *candidate_counts)
    crashed_nodes = [fleet.nodes.pop(name) for name in ports]
    started_s = time.perf_counter()
    for index in range(agents):
        await fleet.add_agent(index, incarnation=2, port=ports[f"agent-{index}"])
    await wait_until(lambda: all(_count_restarted(fleet, r) == agents for r in fleet.tables))
    recovery_ms = (time.perf_counter() - started_s) * MS_PER_S
    failed_count = _count_closed(fleet, "not_authenticated")
    for node in crashed_nodes:
        await node.close()
    await fleet.close()
    return {
        "routers": routers,
        "agents": agents,
        "fewest_candidates_of_a_router": min_candidates,
        "all_usable_after_ms": round(recovery_ms),
        "failed_handshakes": failed_count,
    }


def _count_restarted(fleet: NodeFleet, router: str) -> int:
    usable_agents = fleet.get_usable_agents(router)
    return sum(
        entry.incarnation == 2 and name in usable_agents
        for name, entry in fleet.tables[router].entries.items()
    )


def _count_closed(fleet: NodeFleet, reason: str) -> int:
    counts = [node._metrics.counts for node in fleet.nodes.values()]  # noqa: SLF001
    return sum(count[f"control.closed.{reason}"] for count in counts)


async def _start_nodes(fleet: NodeFleet, routers: int, agents: int) -> None:
    for index in range(agents):
        await fleet.add_agent(index)
    for index in range(routers):
        await fleet.add_router(index)
    fleet.distribute_host_list()
    expected_connections = {r: len(fleet.nodes[r].members.members) for r in fleet.tables}  # type: ignore[attr-defined]
    await wait_until(
        lambda: all(
            len(fleet.nodes[r].exchange.connected_peers) >= expected_connections[r]
            for r in expected_connections
        )
    )
    await asyncio.sleep(1.5)


def _summarize(values_ms: list[float]) -> dict[str, float]:
    ordered = sorted(values_ms)
    return {
        "p50_ms": round(statistics.median(ordered), 1),
        "p99_ms": round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 1),
        "max_ms": round(ordered[-1], 1),
    }


__all__ = ["DEPARTURE_KINDS", "measure_departure", "measure_relay", "measure_restart"]
