"""
Work out each role's cost at the design size from slopes measured here.

    python -m bench.slopes [--seconds 10] [--plot FILE.png]

Measures the real control nodes at several sizes, fits a line through each figure and prints the
value at the design size beside the bound. Parts whose size is known are measured at that size.
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
FAILURE_DOMAIN_COUNT = 21
CHANGES_PER_DAY = 1_200
S_PER_DAY = 86_400
LIST_CHANGES_PER_DAY = 13 * 2 + 110 * 3  # a failed host goes and comes back; others leave first
ROUTER_PEERS = 6
AGENTS_PER_ROUTER = 72
ROUTERS_PER_AGENT = 23
BYTES_BOUND_PER_S = 4_000
CORE_BOUND_PERCENT = 3.0
MEMORY_BOUND_MB = 64.0
AGENT_COUNTS = (8, 24, 72)
ROUTER_COUNTS = (2, 8, 23)
FIELDS = ("sent_bytes_per_s", "received_bytes_per_s", "core_percent", "resident_mb")


@attrs.frozen
class LinearFit:
    """A figure that grows with a count."""

    slope: float
    intercept: float

    def evaluate(self, count: float) -> float:
        """:return: the figure at a count"""
        return self.intercept + self.slope * count


def main(seconds: float = 10.0, plot: str = "") -> None:
    """
    Measure and print.

    :param seconds: duration of each measurement
    :param plot: file for a plot of the measured points, none when empty
    """
    print(f"machine: {_describe_host()}")
    routers = [asyncio.run(measure_router(n, ROUTER_PEERS, seconds)) for n in AGENT_COUNTS]
    agents = [asyncio.run(measure_agent(n, seconds)) for n in ROUTER_COUNTS]
    _print_role("router", routers, "agents", AGENTS_PER_ROUTER)
    _print_role("agent", agents, "routers", ROUTERS_PER_AGENT)
    _print_processes(seconds)
    _print_configuration()
    _print_host_list()
    _print_checks()
    _print_store()
    if plot:
        _draw_plot(routers, agents, plot)


def _print_role(role: str, rows: list[dict[str, Any]], by: str, count: int) -> None:
    print(f"\n{role}: control at {count} {by}")
    print(f"| figure | measured at {[row[by] for row in rows]} | per connection | at {count} |")
    print("|---|---|---|---|")
    lines = {field: _fit_line(rows, by, field) for field in FIELDS}
    for field, line in lines.items():
        points = [row[field] for row in rows]
        print(f"| {field} | {points} | {line.slope:.3g} | {line.evaluate(count):.4g} |")
    total = lines["sent_bytes_per_s"].evaluate(count) + lines["received_bytes_per_s"].evaluate(
        count
    )
    _print_bound("bytes_per_s, both ways", total, BYTES_BOUND_PER_S)
    _print_bound("core_percent", lines["core_percent"].evaluate(count), CORE_BOUND_PERCENT)
    print(
        f"messages by kind a second, measured at {rows[-1][by]}: {json.dumps(rows[-1]['by_kind'])}"
    )


def _print_bound(name: str, value: float, bound: float) -> None:
    verdict = "within" if value <= bound else f"over by a factor of {value / bound:.2f}"
    print(f"| {name} | | bound {bound:g} | {value:.4g}: {verdict} |")


def _print_processes(seconds: float) -> None:
    print(f"\nidle processes with the records of {CUSTOMERS} customers, a fleet of one each")
    for figures in asyncio.run(measure_processes(CUSTOMERS, seconds)):
        print(f"{figures.name}: {figures.core_percent:.2f}% of a core")
        _print_bound(f"{figures.name} resident_mb", figures.resident_mb, MEMORY_BOUND_MB)


def _print_configuration() -> None:
    record_bytes, total_mb = asyncio.run(measure_memory(CUSTOMERS))
    print(f"\nconfiguration of {CUSTOMERS} customers: {record_bytes:.0f} bytes a record")
    _print_bound("configuration_mb", total_mb, MEMORY_BOUND_MB)


def _print_host_list() -> None:
    hosts = _make_hosts()
    text = json.dumps([encode_host(host) for host in hosts])
    interval_s = PlatformSettings(store_url="", host_list_url="").host_list_interval_ms / 1_000
    decode_ms = _measure_median_ms(lambda: [decode_host(item) for item in json.loads(text)])
    settings = _router_settings()
    choose_ms = _measure_median_ms(lambda: choose_control_connections(hosts, settings))
    print(f"\nhost list of {len(hosts)} hosts: {len(text)} bytes")
    print(f"changes a day: {LIST_CHANGES_PER_DAY}")
    print(f"reads a second in all: {ROUTERS / interval_s:g}, sent again only when changed")
    print(f"each change costs a router {decode_ms:.1f} ms to decode, {choose_ms:.1f} ms to choose")
    changes_per_s = LIST_CHANGES_PER_DAY / S_PER_DAY
    _print_bound("list bytes_per_s, mean", len(text) * changes_per_s, BYTES_BOUND_PER_S)


def _print_checks() -> None:
    refresh_ms, unchanged_ms = asyncio.run(_measure_refresh())
    print(f"\nmembership check at {AGENTS_PER_ROUTER} agents: {1_000 * refresh_ms:.0f} us")
    print(f"reading of an unchanged host list of {ROUTERS + AGENTS}: {unchanged_ms:.2f} ms")


def _print_store() -> None:
    restart_s = ConfigSettings().watch_restart_ms / 1_000
    print("\nstore calls for configuration")
    print(f"watches open: {ROUTERS}, restarted {ROUTERS / restart_s:.1f} times a second in all")
    print(f"changes: {CHANGES_PER_DAY / S_PER_DAY:.4f} a second, one write and its read-back each")


async def _measure_refresh() -> tuple[float, float]:
    fleet = NodeFleet(subset_size=AGENTS_PER_ROUTER // GROUPS)
    node = await fleet.add_router(0)
    hosts = [attrs.evolve(host, control_port=0) for host in _make_hosts()]
    node.apply_host_list(hosts)
    refresh_ms = _measure_median_ms(node.update_membership)
    unchanged_ms = _measure_median_ms(lambda: node.apply_host_list(hosts)) - refresh_ms
    await fleet.close()
    return refresh_ms, unchanged_ms


def _make_hosts() -> list[Host]:
    routers = [_make_host(f"router-{i}", "router", i, "") for i in range(ROUTERS)]
    agents = [_make_host(f"agent-{i}", "agent", i, f"g{i % GROUPS}") for i in range(AGENTS)]
    return [*routers, *agents]


def _make_host(name: str, role: str, index: int, group: str) -> Host:
    domain = index % FAILURE_DOMAIN_COUNT
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


def _router_settings() -> Settings:
    return Settings(
        role=Role.ROUTER,
        name="router-0",
        failure_domain="domain-0",
        region="region-0",
        control=ControlSettings(key="bench"),
        operator=OperatorSettings(key="bench"),
        platform=PlatformSettings(store_url="", host_list_url=""),
    )


def _fit_line(rows: list[dict[str, Any]], by: str, field: str) -> LinearFit:
    counts = [row[by] for row in rows]
    slope, intercept = statistics.linear_regression(counts, [row[field] for row in rows])
    return LinearFit(slope, intercept)


def _measure_median_ms(run: Callable[[], object], rounds: int = 20) -> float:
    times_ms = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        run()
        times_ms.append((time.perf_counter() - started_s) * 1_000)
    return statistics.median(times_ms)


def _describe_host() -> str:
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    memory_kb = Path("/proc/meminfo").read_text().split()[1]
    return (
        f"{os.cpu_count()} cores, {int(memory_kb) // 1_000_000} GB, "
        f"Python {platform.python_version()}, load average {load}"
    )


def _draw_plot(routers: list[dict[str, Any]], agents: list[dict[str, Any]], path: str) -> None:
    from matplotlib import pyplot  # noqa: PLC0415  # only needed for the plot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, rows, by in ((left, routers, "agents"), (right, agents, "routers")):
        counts = [row[by] for row in rows]
        for field in ("sent_bytes_per_s", "received_bytes_per_s"):
            axis.plot(counts, [row[field] for row in rows], marker="o", label=field)
        axis.axhline(BYTES_BOUND_PER_S, linestyle="--", color="grey", label="bound")
        axis.set_xlabel(f"connected {by}")
        axis.legend()
    figure.savefig(path)


if __name__ == "__main__":
    fire.Fire(main)
