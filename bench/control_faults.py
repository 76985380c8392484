"""Relay of pages, leaving hosts and a mass restart, measured between control nodes on loopback."""

from __future__ import annotations

import asyncio
import statistics
import time
from random import Random
from typing import TYPE_CHECKING, Any

from bench.control_nodes import NodeFleet, Page, until
from boragetiller.platform_clients.hosts import HostState

if TYPE_CHECKING:
    from boragetiller.control.node import ControlNode

MS_PER_S = 1_000
PAGE_BYTES = 61_000
SIGNS = ("draining", "goodbye", "list", "crash", "silence")


async def measure_relay(routers: int, agents: int, subset: int, rounds: int) -> dict[str, Any]:
    taken: dict[str, float] = {}
    fleet = NodeFleet(
        subset_size=subset, on_page=lambda name: taken.update({name: time.perf_counter()})
    )
    await _fill(fleet, routers, agents)
    times_ms: list[float] = []
    for number in range(rounds):
        taken.clear()
        origin = f"router-{number % routers}"
        page = Page(number % 64, 1_000 + number, Random(number).randbytes(PAGE_BYTES))
        started_s = time.perf_counter()
        fleet.pages[origin].put(page)
        fleet.nodes[origin].handle_config_change()
        await until(lambda: len(taken) == routers + agents - 1)
        times_ms += [(at - started_s) * MS_PER_S for at in taken.values()]
        await asyncio.sleep(0.3)
    await fleet.close()
    return {"nodes": routers + agents, "changes": rounds, **_spread(times_ms)}


async def measure_leaving(sign: str, routers: int, agents: int, rounds: int) -> dict[str, Any]:
    times_ms = []
    fleet = NodeFleet(subset_size=agents)
    await _fill(fleet, routers, agents)
    for number in range(rounds):
        name = f"agent-{number}"
        started_s = time.perf_counter()
        closing = _give_sign(fleet, name, sign)
        await until(lambda name=name: all(name not in fleet.usable(r) for r in fleet.tables))
        times_ms.append((time.perf_counter() - started_s) * MS_PER_S)
        if closing is not None:
            await closing
    await fleet.close()
    return {"sign": sign, "routers": routers, "agents": agents, **_spread(times_ms)}


def _give_sign(fleet: NodeFleet, name: str, sign: str) -> asyncio.Task[None] | None:
    node = fleet.nodes[name]
    if sign == "draining":
        fleet.agents[name].draining = True
        node.send_report()  # type: ignore[attr-defined]
    elif sign == "goodbye":
        return asyncio.create_task(node.close())
    elif sign == "list":
        fleet.mark(name, HostState.LEAVING)
        fleet.list_hosts()
    elif sign == "crash":
        return asyncio.create_task(_crash(node))
    else:
        for task in node._tasks:  # noqa: SLF001
            task.cancel()
    return None


async def _crash(node: ControlNode) -> None:
    exchange = node.exchange
    await exchange._server.close()  # noqa: SLF001
    for connection in list(exchange._connections):  # noqa: SLF001
        connection.abort_as_replaced()


async def measure_restart(routers: int, agents: int, down_s: float) -> dict[str, Any]:
    fleet = NodeFleet(subset_size=agents)
    await _fill(fleet, routers, agents)
    ports = {name: fleet.nodes[name].port for name in fleet.agents}
    least = agents
    for name in fleet.agents:
        await _crash(fleet.nodes[name])
    down_until_s = time.perf_counter() + down_s
    while time.perf_counter() < down_until_s:
        await asyncio.sleep(0.01)
        candidates = [
            sum(entry.accepts_work() for entry in table.entries.values())
            for table in fleet.tables.values()
        ]
        least = min(least, *candidates)
    old = [fleet.nodes.pop(name) for name in ports]
    started_s = time.perf_counter()
    for index in range(agents):
        await fleet.add_agent(index, incarnation=2, port=ports[f"agent-{index}"])
    await until(lambda: all(_restarted(fleet, r) == agents for r in fleet.tables))
    back_ms = (time.perf_counter() - started_s) * MS_PER_S
    refused = _closed_count(fleet, "not_authenticated")
    for node in old:
        await node.close()
    await fleet.close()
    return {
        "routers": routers,
        "agents": agents,
        "fewest_candidates_of_a_router": least,
        "all_usable_after_ms": round(back_ms),
        "failed_handshakes": refused,
    }


def _restarted(fleet: NodeFleet, router: str) -> int:
    usable = fleet.usable(router)
    return sum(
        entry.incarnation == 2 and name in usable
        for name, entry in fleet.tables[router].entries.items()
    )


def _closed_count(fleet: NodeFleet, reason: str) -> int:
    counts = [node._metrics.counts for node in fleet.nodes.values()]  # noqa: SLF001
    return sum(count[f"control.closed.{reason}"] for count in counts)


async def _fill(fleet: NodeFleet, routers: int, agents: int) -> None:
    for index in range(agents):
        await fleet.add_agent(index)
    for index in range(routers):
        await fleet.add_router(index)
    fleet.list_hosts()
    wanted = {r: len(fleet.nodes[r].members.members) for r in fleet.tables}  # type: ignore[attr-defined]
    await until(
        lambda: all(len(fleet.nodes[r].exchange.connected_peers) >= wanted[r] for r in wanted)
    )
    await asyncio.sleep(1.5)


def _spread(values_ms: list[float]) -> dict[str, float]:
    ordered = sorted(values_ms)
    return {
        "p50_ms": round(statistics.median(ordered), 1),
        "p99_ms": round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 1),
        "max_ms": round(ordered[-1], 1),
    }


__all__ = ["SIGNS", "measure_leaving", "measure_relay", "measure_restart"]
