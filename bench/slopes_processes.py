"""Memory and processor time of idle router and agent processes with a full configuration."""

from __future__ import annotations

import asyncio
import os

import attrs

from bench.config_nodes import fill_store
from bench.fleet import FleetProcess, ProcessFleet
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.settings import PlatformSettings

SETTLING_TIME_S = 6.0


@attrs.frozen(kw_only=True)
class ProcessFigures:
    """Memory and processor time of one idle process."""

    name: str
    resident_mb: float
    core_percent: float


async def measure_processes(customers: int, seconds: float) -> list[ProcessFigures]:
    """
    Run a router and an agent without requests and measure them.

    :param customers: number of customer records
    :param seconds: duration of the measurement in seconds
    :return: figures of the router and of the agent
    """
    fleet = ProcessFleet()
    try:
        await fleet.start()
        url = fleet.processes["platform"].url
        store = HttpStore(PlatformSettings(store_url=url, host_list_url=url))
        await store.start()
        await fill_store(store, customers)
        await store.close()
        engine = await fleet.start_standin("engine", "engine")
        processes = [await fleet.start_router("router"), await fleet.start_agent("a", "g", engine)]
        await asyncio.sleep(SETTLING_TIME_S)
        ticks = [process.cpu_ticks for process in processes]
        await asyncio.sleep(seconds)
        return [
            _build_figures(process, before, seconds)
            for process, before in zip(processes, ticks, strict=True)
        ]
    finally:
        await fleet.close()


def _build_figures(process: FleetProcess, ticks_before: int, seconds: float) -> ProcessFigures:
    cpu_s = (process.cpu_ticks - ticks_before) / os.sysconf("SC_CLK_TCK")
    return ProcessFigures(
        name=str(process.endpoints["role"]),
        resident_mb=process.resident_kb / 1_000,
        core_percent=100 * cpu_s / seconds,
    )


__all__ = ["ProcessFigures", "measure_processes"]
