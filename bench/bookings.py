"""
Measures bookings with idempotency keys: store writes, a store outage, and unavailability of shards.

The product's systems run in virtual time with fakes of the store and the host list.

    python -m bench.bookings --seed 1
"""

from __future__ import annotations

import itertools
from random import Random
from typing import TYPE_CHECKING

import attrs
import fire

from bench.shard_simulation import Call, ShardSimulation
from boragetiller.settings import ClaimSettings
from boragetiller.systems import shards
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

AGENTS = ("sklep-1", "sklep-2", "sklep-3")
SETTLE_TIME_MS = 5_000
MEASUREMENT_TIME_MS = 60_000
OUTAGE_MS = 600_000
PROBE_TIME_MS = 30_000
PROBE_INTERVAL_MS = 50
SHARD_COUNT = 16
HOST_LIST_LAG_MS = 5_000


@attrs.define
class BookingWorkload:
    """Sends bookings with new keys as a Poisson process to the owners of their shards."""

    simulation: ShardSimulation
    rate_per_s: float
    rng: Random
    calls: list[Call] = attrs.Factory(list)
    _stopped: bool = False

    def start(self) -> None:
        """Start sending."""
        self._send_next()

    def stop(self) -> None:
        """Stop sending."""
        self._stopped = True

    def _send_next(self) -> None:
        if self._stopped:
            return
        key = f"booking-{len(self.calls)}"
        agent = self.simulation.find_owner(key) or _choose_live_agent(
            self.simulation, len(self.calls)
        )
        self.calls.append(self.simulation.send(key, agent))
        delay_ms = self.rng.expovariate(self.rate_per_s / 1_000)
        self.simulation.schedule(max(1, round(delay_ms)), self._send_next)


def measure_writes(rate_per_s: float, seed: int) -> dict[str, float]:
    """
    Measure store writes and response times at a rate of bookings.

    :param rate_per_s: bookings per second
    :param seed: seed of arrivals
    :return: writes per second, mean and 99th percentile of the response time in ms
    """
    rng = Random(seed)
    simulation = ShardSimulation(AGENTS, rng)
    simulation.run(SETTLE_TIME_MS)
    bookings = BookingWorkload(simulation, rate_per_s, rng)
    bookings.start()
    before = _count_writes(simulation)
    simulation.run(MEASUREMENT_TIME_MS)
    writes = _count_writes(simulation) - before
    bookings.stop()
    simulation.run(SETTLE_TIME_MS)
    waits = sorted(_get_wait_ms(call) for call in bookings.calls)
    return {
        "bookings_per_s": len(bookings.calls) / (MEASUREMENT_TIME_MS / 1_000),
        "writes_per_s": writes / (MEASUREMENT_TIME_MS / 1_000),
        "mean_ms": sum(waits) / len(waits),
        "p99_ms": waits[int(0.99 * len(waits))],
        "served": _compute_served_share(bookings.calls),
    }


def measure_outage(rate_per_s: float, seed: int) -> dict[str, float]:
    """
    Measure service during a store outage of ten minutes.

    :param rate_per_s: bookings per second
    :param seed: seed of arrivals
    :return: served share, longest response time, store writes in the minute after the outage
    """
    rng = Random(seed)
    simulation = ShardSimulation(AGENTS, rng)
    simulation.run(SETTLE_TIME_MS)
    bookings = BookingWorkload(simulation, rate_per_s, rng)
    simulation.faults.store_down = True
    bookings.start()
    simulation.run(OUTAGE_MS)
    bookings.stop()
    simulation.faults.store_down = False
    before = _count_writes(simulation)
    simulation.run(MEASUREMENT_TIME_MS)
    waits = sorted(_get_wait_ms(call) for call in bookings.calls)
    return {
        "bookings": len(bookings.calls),
        "served": _compute_served_share(bookings.calls),
        "longest_wait_ms": waits[-1],
        "share_over_1_s": sum(wait > 1_000 for wait in waits) / len(waits),
        "twice": sum(runs > 1 for runs in simulation.runs.values()),
        "writes_in_next_minute": _count_writes(simulation) - before,
    }


def measure_gap(
    inject_fault: Callable[[ShardSimulation, str], None], seed: int
) -> dict[str, float]:
    """
    Measure how long the shards of one agent are unavailable after a fault.

    :param inject_fault: injects the fault into an agent
    :param seed: seed of the simulation
    :return: longest time in which no call for a shard was served, and the share of calls not served
        within 30 s after the fault; calls follow at most four redirects and are not retried, unlike
        calls through a router
    """
    simulation = ShardSimulation(AGENTS, Random(seed), host_list_lag_ms=HOST_LIST_LAG_MS)
    simulation.run(SETTLE_TIME_MS + seed % 3_000)
    agent_name = AGENTS[0]
    owned = simulation.agents[agent_name].table.owned_shards()
    inject_fault(simulation, agent_name)
    probes: dict[int, list[Call]] = {shard: [] for shard in owned}
    for number in range(PROBE_TIME_MS // PROBE_INTERVAL_MS):
        for shard, calls in probes.items():
            key = _find_key(shard, number)
            calls.append(
                simulation.send(
                    key, simulation.find_owner(key) or _choose_live_agent(simulation, number)
                )
            )
        simulation.run(PROBE_INTERVAL_MS)
    simulation.run(MEASUREMENT_TIME_MS)
    gaps_ms = [_longest_gap_ms(calls) for calls in probes.values()]
    sent = [call for calls in probes.values() for call in calls]
    return {
        "shards": len(owned),
        "longest_s": max(gaps_ms) / 1_000,
        "mean_s": sum(gaps_ms) / len(gaps_ms) / 1_000,
        "not_served": sum(call.verdict is not Verdict.RAN for call in sent) / len(sent),
        "longest_wait_s": max(_get_wait_ms(call) for call in sent) / 1_000,
    }


def crash_and_restart(simulation: ShardSimulation, name: str) -> None:
    """Kill an agent and restart it after two seconds."""
    simulation.crash(name)
    simulation.schedule(2_000, lambda: simulation.start(name))


def stop_and_leave(simulation: ShardSimulation, name: str) -> None:
    """Drain an agent whose host leaves the host list."""
    shards.begin_drain(simulation.agents[name].table)
    simulation.set_listed(name, listed=False)


def lose_host(simulation: ShardSimulation, name: str) -> None:
    """Kill an agent and remove its host from the host list, which shows it after its lag."""
    simulation.crash(name)
    simulation.set_listed(name, listed=False)


def _find_key(shard: int, number: int) -> str:
    tries = (f"probe-{shard}-{number}-{attempt}" for attempt in itertools.count())
    return next(key for key in tries if shards.shard_of("acme", key, SHARD_COUNT) == shard)


def _longest_gap_ms(calls: list[Call]) -> int:
    """:return: longest time in which consecutive calls were not served, in milliseconds"""
    longest_ms, since_ms = 0, None
    for call in calls:
        if call.verdict is Verdict.RAN:
            since_ms = None
            continue
        since_ms = call.sent_ms if since_ms is None else since_ms
        longest_ms = max(longest_ms, call.sent_ms + PROBE_INTERVAL_MS - since_ms)
    return longest_ms


def _choose_live_agent(simulation: ShardSimulation, number: int) -> str:
    live = sorted(name for name, agent in simulation.agents.items() if agent.alive)
    return live[number % len(live)]


def _count_writes(simulation: ShardSimulation) -> int:
    kinds = ("WritePage", "WriteSegment", "DeleteSegment")
    return sum(simulation.store_calls[kind] for kind in kinds)


def _get_wait_ms(call: Call) -> int:
    assert call.finished_ms is not None, call
    return call.finished_ms - call.sent_ms


def _compute_served_share(calls: list[Call]) -> float:
    return sum(call.verdict is Verdict.RAN for call in calls) / len(calls)


def _print_figures(title: str, figures: dict[str, float]) -> None:
    print(title, " ".join(f"{name}={value:.4g}" for name, value in figures.items()), flush=True)


def main(seed: int = 1, outage_rate_per_s: float = 10.0) -> None:
    """
    Print all measurements.

    :param seed: seed of arrivals
    :param outage_rate_per_s: bookings per second during the outage
    """
    settings = ClaimSettings()
    print(f"seed={seed} shards=16 agents={len(AGENTS)} memory_after_ms={settings.memory_after_ms}")
    for rate_per_s in (10, 100, 500):
        _print_figures(f"writes at {rate_per_s}/s:", measure_writes(rate_per_s, seed))
    _print_figures("outage of 600 s:", measure_outage(outage_rate_per_s, seed))
    for inject_fault in (crash_and_restart, stop_and_leave, lose_host):
        _print_figures(f"gap after {inject_fault.__name__}:", measure_gap(inject_fault, seed))


if __name__ == "__main__":
    fire.Fire(main)
