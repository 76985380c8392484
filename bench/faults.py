"""
Runs bookings, quotes and streams over real sockets under random faults, and checks the responses.

    python -m bench.faults --seed 1 --operations 500

The order of the faults is seeded; how they coincide with operations depends on the host's timing.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import attrs
import fire
from loguru import logger

from bench.fault_callers import (
    REQUEST_TIMEOUT_S,
    CallerWorkload,
    RunRecord,
    check_execution_ledgers,
)
from bench.fault_fleet import ENGINES, ROUTERS, SERVICES, FaultFleet
from boragetiller.status_verdicts import NOT_RUN_STATUSES
from tests.systems.test_shards_faults import MUTATIONS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

WORKERS = 16
MEAN_THINK_TIME_S = 0.3
SETTLE_TIME_S = 1.0
FAULT_INTERVAL_S = (0.2, 0.8)
REFUSAL_INTERVAL_S = (0.3, 1.0)
RETAINED_FLEETS: list[FaultFleet] = []  # prevents that objects of killed processes are finalized


@attrs.define
class FaultInjector:
    """Injects faults at random intervals."""

    fleet: FaultFleet
    callers: CallerWorkload
    rng: Random
    refusal_rng: Random  # of its own, so that the other faults of a seed stay the same
    counts: Counter[str] = attrs.Factory(Counter)
    _active_faults: set[str] = attrs.Factory(set)
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    async def run(self) -> None:
        """Inject faults until cancelled."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.lose_replies,
            self.stop_store,
            self.freeze,
            self.kill,
            self.stop,
            self.lose_host,
            self.reset_service_connection,
            self.poison,
        ]
        while True:
            fault = self.rng.choice(faults)
            task = asyncio.ensure_future(fault())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))

    async def run_refusals(self) -> None:
        """Let backend servers refuse requests that they ran, until cancelled."""
        while True:
            await asyncio.sleep(self.refusal_rng.uniform(*REFUSAL_INTERVAL_S))
            self.counts["refusal_after_run"] += 1
            name = self.refusal_rng.choice((*SERVICES, *ENGINES))
            status = self.refusal_rng.choice(sorted(NOT_RUN_STATUSES))
            if name in SERVICES:
                self.fleet.services[name].faults.refusals_after_run.append(status)
            else:
                self.fleet.engines[name].refusals_after_run.append(status)

    async def finish(self) -> None:
        """Wait until every fault has ended."""
        await asyncio.gather(*self._tasks)

    async def lose_replies(self) -> None:
        """Drop the replies of two store calls and one request to the store."""
        self.counts["lost_reply"] += 2
        self.counts["lost_request"] += 1
        self.fleet.platform.store.inject_faults(lose_replies=2, lose_requests=1)

    async def stop_store(self) -> None:
        """Make the store unavailable for 0.5 to 5 s."""
        if "store" in self._active_faults:
            return
        self._active_faults.add("store")
        self.counts["store_outage"] += 1
        self.fleet.platform.store.inject_faults(outage=True)
        await asyncio.sleep(self.rng.uniform(0.5, 5.0))
        self.fleet.platform.store.inject_faults(outage=False)
        self._active_faults.discard("store")

    async def freeze(self) -> None:
        """Block the event loop of a router or agent."""
        name = self.rng.choice((*ROUTERS, *SERVICES, *ENGINES))
        if name in self._active_faults:
            return
        self.counts["freeze"] += 1
        self.fleet.processes[name].freeze(self.rng.choice((100, 900, 2_000)))

    async def kill(self) -> None:
        """Kill a process and restart it."""
        await self._restart("kill", (*ROUTERS, *SERVICES, *ENGINES), self._kill)

    async def stop(self) -> None:
        """Stop an agent gracefully and restart it."""
        names = (*SERVICES, *ENGINES)
        await self._restart("planned_stop", names, self.fleet.stop_process)

    async def lose_host(self) -> None:
        """Kill an agent, remove its host from the host list, and restart both later."""
        await self._restart("host_loss", (*SERVICES, *ENGINES), self._lose_host)

    async def reset_service_connection(self) -> None:
        """Reset or truncate one response of a plain service, before or after it ran the call."""
        server = self.fleet.services[self.rng.choice(SERVICES)]
        name = self.rng.choice(("reset_before_run", "reset_before_first_byte", "truncate"))
        self.counts[name] += 1
        setattr(server.faults, name, 1)

    async def poison(self) -> None:
        """Send a request that crashes every engine that runs it."""
        if "poison" in self._active_faults:
            return
        self._active_faults.add("poison")
        self.counts["poison"] += 1
        await self.callers.send_poison()
        self._active_faults.discard("poison")

    async def _restart(
        self, kind: str, names: tuple[str, ...], end: Callable[[str], Awaitable[None]]
    ) -> None:
        name = self.rng.choice(names)
        others = set(ROUTERS) if name in ROUTERS else set(SERVICES if name in SERVICES else ENGINES)
        if others & self._active_faults:  # at most one process of a kind at a time
            return
        self._active_faults.add(name)
        self.counts[kind] += 1
        await end(name)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await self.fleet.start_process(name)
        self._active_faults.discard(name)

    async def _kill(self, name: str) -> None:
        self.fleet.processes[name].kill()

    async def _lose_host(self, name: str) -> None:
        self.fleet.processes[name].kill()
        await asyncio.sleep(1.0)
        self.fleet.platform.host_list.remove(name)
        await asyncio.sleep(2.0)


async def run_operations(
    seed: int, operations: int, *, with_faults: bool
) -> tuple[RunRecord, Counter[str], float]:
    """
    Run operations on a new fleet.

    :param seed: seed of operations and faults
    :param operations: number of operations
    :param with_faults: whether faults are injected
    :return: what callers observed, the number of faults by kind, and the duration in seconds
    """
    fleet = FaultFleet()
    RETAINED_FLEETS.append(fleet)
    await fleet.start()
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        callers = CallerWorkload(fleet, Random(seed), session)
        driver = FaultInjector(fleet, callers, Random(seed + 1), Random(seed + 3))
        await asyncio.sleep(SETTLE_TIME_S)
        faults = [driver.run(), driver.run_refusals()] if with_faults else []
        tasks = [asyncio.create_task(each) for each in faults]
        started_s = time.monotonic()
        await _run_workers(callers, operations, Random(seed + 2))
        duration_s = time.monotonic() - started_s
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await driver.finish()
        await asyncio.gather(*callers.pending_repeats)
        await asyncio.sleep(SETTLE_TIME_S)
        check_execution_ledgers(fleet, callers.record)
    await fleet.close()
    return callers.record, driver.counts, duration_s


async def _run_workers(callers: CallerWorkload, operations: int, rng: Random) -> None:
    left = iter(range(operations))

    async def work() -> None:
        for _ in left:
            await callers.run_operation()
            await asyncio.sleep(rng.uniform(0, 2 * MEAN_THINK_TIME_S))

    await asyncio.gather(*(work() for _ in range(WORKERS)))


def _format_success_rates(record: RunRecord) -> str:
    kinds = sorted(record.operations)
    return " ".join(f"{kind}={record.answered[kind]}/{record.operations[kind]}" for kind in kinds)


def main(seed: int = 1, operations: int = 500, baseline: bool = True, mutation: str = "") -> None:
    """
    Run with faults, and without for comparison; the exit code is 1 after a violation.

    :param seed: seed of operations and faults
    :param operations: number of operations of each run
    :param baseline: whether to run again without faults
    :param mutation: mutation of the claims protocol to apply, by its key in the tests' MUTATIONS
    """
    logger.disable("boragetiller")
    if mutation:
        module, attribute, mutated = MUTATIONS[mutation]
        setattr(module, attribute, mutated)
    for with_faults in (True, False) if baseline else (True,):
        record, counts, duration_s = asyncio.run(
            run_operations(seed, operations, with_faults=with_faults)
        )
        answered = sum(record.answered.values())
        print(f"seed={seed} faults={'yes' if with_faults else 'no'} operations={operations}")
        print("  faults:", dict(sorted(counts.items())))
        print(
            "  answered:", _format_success_rates(record), f"goodput={answered / duration_s:.1f}/s"
        )
        print("  other answers:", dict(sorted(record.codes.items())))
        print(f"  not_run answers: {len(record.not_run)}; of keys that another send ran: ", end="")
        print(record.not_run_of_executed_key)
        print(f"  violations: {len(record.violations)}", *record.violations[:10], flush=True)
        if record.violations:
            _exit(1)
    _exit(0)


def _exit(code: int) -> None:
    sys.stdout.flush()
    os._exit(code)  # skips finalizers: the event loops of killed processes are never closed


if __name__ == "__main__":
    fire.Fire(main)
