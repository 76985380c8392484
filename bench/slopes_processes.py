"""Memory and idle processor time of real processes that hold the whole configuration."""

from __future__ import annotations

import asyncio
import os

import attrs

from bench.config_nodes import fill_store
from bench.fleet import FleetProcess, ProcessFleet
from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.settings import PlatformSettings

SETTLE_TIME_S = 6.0


@attrs.frozen(kw_only=True)
class ProcessFigures:
    """One idle process."""

    name: str
    resident_mb: float
    core_percent: float


async def measure_processes(customers: int, seconds: float) -> list[ProcessFigures]:
    """
    Run a router and an agent without requests.

    :param customers: customers in the records
    :param seconds: duration of the measurement
    :return: figures of each
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
        await asyncio.sleep(SETTLE_TIME_S)
        ticks = [member.cpu_ticks for member in processes]
        await asyncio.sleep(seconds)
        return [
            _figures(member, before, seconds)
            for member, before in zip(processes, ticks, strict=True)
        ]
    finally:
        await fleet.close()


def _figures(member: FleetProcess, ticks_before: int, seconds: float) -> ProcessFigures:
    used_s = (member.cpu_ticks - ticks_before) / os.sysconf("SC_CLK_TCK")
    return ProcessFigures(
        name=str(member.endpoints["role"]),
        resident_mb=member.resident_kb / 1_000,
        core_percent=100 * used_s / seconds,
    )


__all__ = ["ProcessFigures", "measure_processes"]
