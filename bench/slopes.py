"""
Extrapolate the resource use of each role to the design size.

    python -m bench.slopes [--seconds 10] [--plot FILE.png]

Measures control nodes at several sizes, fits a line through each figure and prints the value of the
line at the design size beside its bound. The configuration, the host list and the membership check
are measured at the design size.
"""

from __future__ import annotations

import asyncio
import json
import os
import platform
import statistics
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import fire

from bench.config_nodes import measure_memory
from bench.control import measure_agent, measure_router
from bench.control_nodes import NodeFleet
from bench.slopes_processes import measure_processes
from boragetiller.platform_clients.hosts import Host
from boragetiller.platform_clients.wire_format import decode_host, encode_host
from boragetiller.settings import (
    ConfigSettings,
    ControlSettings,
    OperatorSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.systems.control_connections import choose_control_connections

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS = 400
AGENTS = 1_300
CUSTOMERS = 5_200
GROUPS = 3
REGIONS = 6
FAILURE_DOMAINS = 21
CONFIG_CHANGES_PER_DAY = 1_200
S_PER_DAY = 86_400
# 13 hosts fail (removed, added); 110 leave in order (marked leaving, removed, added)
HOST_LIST_CHANGES_PER_DAY = 13 * 2 + 110 * 3
ROUTER_PEERS = 6
AGENTS_PER_ROUTER = 72
ROUTERS_PER_AGENT = 23
MAX_BYTES_PER_S = 4_000
MAX_CORE_PERCENT = 3.0
MAX_MEMORY_MB = 64.0
AGENT_COUNTS = (8, 24, 72)
ROUTER_COUNTS = (2, 8, 23)
FIGURES = ("sent_bytes_per_s", "received_bytes_per_s", "core_percent", "resident_mb")


@attrs.frozen
class LinearFit:
    """Linear regression of a figure over a count."""

    slope: float
    intercept: float

    def predict(self, count: float) -> float:
        """:return: the figure that the line gives for a count"""
        return self.intercept + self.slope * count


def main(seconds: float = 10.0, plot: str = "") -> None:
    """
    Run all measurements and print the figures.

    :param seconds: duration of each measurement in seconds
    :param plot: image file for a plot of the measured points, empty for no plot
    """
    print(f"machine: {_describe_machine()}")
    routers = [asyncio.run(measure_router(n, ROUTER_PEERS, seconds)) for n in AGENT_COUNTS]
    agents = [asyncio.run(measure_agent(n, seconds)) for n in ROUTER_COUNTS]
    _print_role("router", routers, "agents", AGENTS_PER_ROUTER)
    _print_role("agent", agents, "routers", ROUTERS_PER_AGENT)
    _print_processes(seconds)
    _print_config_memory()
    _print_host_list()
    _print_membership_check()
    _print_store_calls()
    if plot:
        _plot(routers, agents, plot)


def _print_role(role: str, rows: list[dict[str, Any]], count_name: str, count: int) -> None:
    print(f"\n{role}: control at {count} {count_name}")
    print(
        f"| figure | measured at {[row[count_name] for row in rows]} | per connection "
        f"| at {count} |"
    )
    print("|---|---|---|---|")
    lines = {field: _fit_line(rows, count_name, field) for field in FIGURES}
    for field, line in lines.items():
        points = [row[field] for row in rows]
        print(f"| {field} | {points} | {line.slope:.3g} | {line.predict(count):.4g} |")
    total = lines["sent_bytes_per_s"].predict(count) + lines["received_bytes_per_s"].predict(count)
    _print_bound("bytes_per_s, both ways", total, MAX_BYTES_PER_S)
    _print_bound("core_percent", lines["core_percent"].predict(count), MAX_CORE_PERCENT)
    print(
        f"messages by kind a second, measured at {rows[-1][count_name]}: "
        f"{json.dumps(rows[-1]['by_kind'])}"
    )


def _print_bound(name: str, value: float, bound: float) -> None:
    verdict = "within" if value <= bound else f"over by a factor of {value / bound:.2f}"
    print(f"| {name} | | bound {bound:g} | {value:.4g}: {verdict} |")


def _print_processes(seconds: float) -> None:
    print(f"\nidle processes with the records of {CUSTOMERS} customers, a fleet of one each")
    for figures in asyncio.run(measure_processes(CUSTOMERS, seconds)):
        print(f"{figures.name}: {figures.core_percent:.2f}% of a core")
        _print_bound(f"{figures.name} resident_mb", figures.resident_mb, MAX_MEMORY_MB)


def _print_config_memory() -> None:
    record_bytes, total_mb = asyncio.run(measure_memory(CUSTOMERS))
    print(f"\nconfiguration of {CUSTOMERS} customers: {record_bytes:.0f} bytes a record")
    _print_bound("configuration_mb", total_mb, MAX_MEMORY_MB)


def _print_host_list() -> None:
    hosts = _build_hosts()
    text = json.dumps([encode_host(host) for host in hosts])
    interval_s = PlatformSettings(store_url="", host_list_url="").host_list_interval_ms / 1_000
    decode_ms = _measure_median_ms(lambda: [decode_host(item) for item in json.loads(text)])
    settings = _build_router_settings()
    choose_ms = _measure_median_ms(lambda: choose_control_connections(hosts, settings))
    print(f"\nhost list of {len(hosts)} hosts: {len(text)} bytes")
    print(f"changes a day: {HOST_LIST_CHANGES_PER_DAY}")
    print(f"reads a second in all: {ROUTERS / interval_s:g}, sent again only when changed")
    print(f"each change costs a router {decode_ms:.1f} ms to decode, {choose_ms:.1f} ms to choose")
    changes_per_s = HOST_LIST_CHANGES_PER_DAY / S_PER_DAY
    _print_bound("list bytes_per_s, mean", len(text) * changes_per_s, MAX_BYTES_PER_S)


def _print_membership_check() -> None:
    update_ms, unchanged_ms = asyncio.run(_measure_membership_update())
    print(f"\nmembership check at {AGENTS_PER_ROUTER} agents: {1_000 * update_ms:.0f} us")
    print(f"reading of an unchanged host list of {ROUTERS + AGENTS}: {unchanged_ms:.2f} ms")


def _print_store_calls() -> None:
    restart_s = ConfigSettings().watch_restart_ms / 1_000
    print("\nstore calls for configuration")
    print(f"watches open: {ROUTERS}, restarted {ROUTERS / restart_s:.1f} times a second in all")
    print(
        f"changes: {CONFIG_CHANGES_PER_DAY / S_PER_DAY:.4f} a second, "
        "one write and its read-back each"
    )


async def _measure_membership_update() -> tuple[float, float]:
    fleet = NodeFleet(subset_size=AGENTS_PER_ROUTER // GROUPS)
    node = await fleet.add_router(0)
    hosts = [attrs.evolve(host, control_port=0) for host in _build_hosts()]
    node.apply_host_list(hosts)
    update_ms = _measure_median_ms(node.update_membership)
    unchanged_ms = _measure_median_ms(lambda: node.apply_host_list(hosts)) - update_ms
    await fleet.close()
    return update_ms, unchanged_ms


def _build_hosts() -> list[Host]:
    routers = [_build_host(f"router-{i}", "router", i, "") for i in range(ROUTERS)]
    agents = [_build_host(f"agent-{i}", "agent", i, f"g{i % GROUPS}") for i in range(AGENTS)]
    return [*routers, *agents]


def _build_host(name: str, role: str, index: int, group: str) -> Host:
    domain = index % FAILURE_DOMAINS
    return Host(
        name=name,
        role=role,
        address=f"10.{domain}.{index // 250}.{index % 250}",
        data_port=7_000,
        control_port=7_100,
        failure_domain=f"domain-{domain}",
        region=f"region-{domain % REGIONS}",
        group=group,
    )


def _build_router_settings() -> Settings:
    return Settings(
        role=Role.ROUTER,
        name="router-0",
        failure_domain="domain-0",
        region="region-0",
        control=ControlSettings(key="bench"),
        operator=OperatorSettings(key="bench"),
        platform=PlatformSettings(store_url="", host_list_url=""),
    )


def _fit_line(rows: list[dict[str, Any]], count_name: str, field: str) -> LinearFit:
    counts = [row[count_name] for row in rows]
    slope, intercept = statistics.linear_regression(counts, [row[field] for row in rows])
    return LinearFit(slope, intercept)


def _measure_median_ms(run: Callable[[], object], rounds: int = 20) -> float:
    times_ms = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        run()
        times_ms.append((time.perf_counter() - started_s) * 1_000)
    return statistics.median(times_ms)


def _describe_machine() -> str:
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    memory_kb = Path("/proc/meminfo").read_text().split()[1]
    return (
        f"{os.cpu_count()} cores, {int(memory_kb) // 1_000_000} GB, "
        f"Python {platform.python_version()}, load average {load}"
    )


def _plot(routers: list[dict[str, Any]], agents: list[dict[str, Any]], path: str) -> None:
    from matplotlib import pyplot  # noqa: PLC0415  # optional dependency

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, rows, count_name in ((left, routers, "agents"), (right, agents, "routers")):
        counts = [row[count_name] for row in rows]
        for field in ("sent_bytes_per_s", "received_bytes_per_s"):
            axis.plot(counts, [row[field] for row in rows], marker="o", label=field)
        axis.axhline(MAX_BYTES_PER_S, linestyle="--", color="grey", label="bound")
        axis.set_xlabel(f"connected {count_name}")
        axis.legend()
    figure.savefig(path)


if __name__ == "__main__":
    fire.Fire(main)
