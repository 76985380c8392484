"""
Measure the control exchange between nodes on loopback.

Commands::

    python -m bench.control load --seconds 20      # traffic, processor time and memory of a router
    python -m bench.control agent --seconds 20     # the same for an agent
    python -m bench.control relay                  # time to relay a page to 50 nodes
    python -m bench.control leaving                # time until no router places new work
    python -m bench.control restart                # concurrent restart of all agents
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import fire

from bench.control_faults import DEPARTURE_KINDS, measure_departure, measure_relay, measure_restart
from bench.control_nodes import NodeFleet, wait_until
from boragetiller.control.client import PeerEndpoint
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from boragetiller.control.node import ControlNode

SETTLING_TIME_S = 3.0
WAIT_TIMEOUT_S = 30.0


def load(agents: str = "8,24,100", peers: int = 6, seconds: float = 20.0) -> None:
    """
    Measure one router; its agents and router peers run in two other processes.

    :param agents: agent counts to measure, separated by commas
    :param peers: number of router peers
    :param seconds: duration of each measurement in seconds
    """
    for count in _parse_counts(agents):
        _print_row(asyncio.run(measure_router(count, peers, seconds)))


def agent(routers: str = "2,8,22", seconds: float = 20.0) -> None:
    """
    Measure one agent; its routers run in another process.

    :param routers: router counts to measure, separated by commas
    :param seconds: duration of each measurement in seconds
    """
    for count in _parse_counts(routers):
        _print_row(asyncio.run(measure_agent(count, seconds)))


def relay(routers: int = 16, agents: int = 34, subset: int = 8, rounds: int = 50) -> None:
    """
    Measure the time to relay a page from one router to every other node.

    :param routers: number of routers
    :param agents: number of agents
    :param subset: subset size: agents of a router in each group
    :param rounds: number of page changes
    """
    _print_row(asyncio.run(measure_relay(routers, agents, subset, rounds)))


def leaving(routers: int = 8, agents: int = 24, rounds: int = 10) -> None:
    """
    Measure the time until no router places new work on an agent, for each kind of departure.

    :param routers: number of routers
    :param agents: number of agents
    :param rounds: measurements of each kind
    """
    for sign in DEPARTURE_KINDS:
        _print_row(asyncio.run(measure_departure(sign, routers, agents, rounds)))


def restart(routers: int = 8, agents: int = 24, down_s: float = 1.0) -> None:
    """
    Restart all agents concurrently and measure the time until all are usable again.

    :param routers: number of routers
    :param agents: number of agents
    :param down_s: downtime in seconds
    """
    _print_row(asyncio.run(measure_restart(routers, agents, down_s)))


def serve(role: str, count: int) -> None:
    """
    Run peers of the measured node until end of file on standard input.

    Prints their hosts as one line of JSON and connects to the hosts in each line that it reads.

    :param role: role of the nodes: agent or router
    :param count: number of nodes
    """
    asyncio.run(_serve(role, count))


async def _serve(role: str, count: int) -> None:
    fleet = NodeFleet()
    for index in range(1, count + 1):
        await (fleet.add_agent(index) if role == "agent" else fleet.add_router(index))
    print(json.dumps([attrs.asdict(h) | {"state": "live"} for h in fleet.hosts.values()]))
    sys.stdout.flush()
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        hosts = [_decode_host(item) for item in json.loads(line)]
        fleet.distribute_host_list(hosts)
        for name in fleet.tables:
            fleet.nodes[name].exchange.set_peers(
                PeerEndpoint(h.name, h.address, h.control_port) for h in hosts
            )
    await fleet.close()


async def measure_router(agents: int, peers: int, seconds: float) -> dict[str, Any]:
    """:return: figures of one router node; its agents and peers run in other processes"""
    agent_process, agent_hosts = await _spawn_nodes("agent", agents)
    peer_process, peer_hosts = await _spawn_nodes("router", peers)
    fleet = NodeFleet(subset_size=max(agents, 1))
    node = await fleet.add_router(0)
    hosts = [*agent_hosts, *peer_hosts]
    node.apply_host_list(hosts)
    expected_connections = min(peers, 4) + agents
    await wait_until(lambda: len(node.exchange.connected_peers) >= expected_connections)
    figures = await _measure_node(node, seconds)
    await _stop_processes(agent_process, peer_process)
    await fleet.close()
    return {"role": "router", "agents": agents, **figures}


async def measure_agent(routers: int, seconds: float) -> dict[str, Any]:
    """:return: figures of one agent node; its routers run in another process"""
    process, _ = await _spawn_nodes("router", routers)
    fleet = NodeFleet()
    node = await fleet.add_agent(0)
    assert process.stdin is not None
    hosts = [attrs.asdict(host) | {"state": "live"} for host in fleet.hosts.values()]
    process.stdin.write(json.dumps(hosts).encode() + b"\n")
    await wait_until(lambda: len(node.exchange.connected_peers) == routers)
    figures = await _measure_node(node, seconds)
    await _stop_processes(process)
    await fleet.close()
    return {"role": "agent", "routers": routers, **figures}


async def _measure_node(node: ControlNode, seconds: float) -> dict[str, Any]:
    await asyncio.sleep(SETTLING_TIME_S)
    node.exchange.traffic_counts.clear()
    cpu_started_s, started_s = time.process_time(), time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - cpu_started_s
    traffic_counts = node.exchange.traffic_counts
    messages = sum(count for kind, count in traffic_counts.items() if "." in kind)
    return {
        "connections": len(node.exchange.connected_peers),
        "sent_bytes_per_s": round(traffic_counts["sent_bytes"] / elapsed_s),
        "received_bytes_per_s": round(traffic_counts["received_bytes"] / elapsed_s),
        "messages_per_s": round(messages / elapsed_s, 1),
        "by_kind": {
            k: round(n / elapsed_s, 1) for k, n in sorted(traffic_counts.items()) if "." in k
        },
        "core_percent": round(100 * cpu_s / elapsed_s, 2),
        "resident_mb": round(_resident_mb(), 1),
    }


async def _spawn_nodes(role: str, count: int) -> tuple[asyncio.subprocess.Process, list[Host]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "bench.control", "serve", role, str(count)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    line = await wait_with_timeout(WAIT_TIMEOUT_S, process.stdout.readline())
    return process, [_decode_host(item) for item in json.loads(line)]


async def _stop_processes(*processes: asyncio.subprocess.Process) -> None:
    for process in processes:
        assert process.stdin is not None
        process.stdin.close()
        await process.wait()


def _decode_host(fields: dict[str, Any]) -> Host:
    return Host(**{**fields, "state": HostState(fields["state"])})


def _parse_counts(text: Any) -> list[int]:
    values = text if isinstance(text, list | tuple) else str(text).split(",")
    return [int(value) for value in values]


def _resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1_000_000


def _print_row(row: dict[str, Any]) -> None:
    print(json.dumps(row), flush=True)


if __name__ == "__main__":
    fire.Fire(
        {
            "load": load,
            "agent": agent,
            "relay": relay,
            "leaving": leaving,
            "restart": restart,
            "serve": serve,
        }
    )
