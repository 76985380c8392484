"""Measure processor time per placement and admission: `python -m bench.decision_cost [--json]`."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from boragetiller.hashing import stable_hash
from boragetiller.settings import AdmissionSettings, PlacementSettings
from boragetiller.systems import admission
from boragetiller.systems.agent_placement import AgentPlacementRequest, choose_agent
from boragetiller.systems.agent_subsets import HostLocation, choose_subset
from boragetiller.tables.agent_work import WorkItem, WorkTable
from boragetiller.tables.agents import AgentEntry, LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable

CANDIDATE_COUNTS = (24, 100, 400)
QUEUE_LENGTHS = (10, 1_000, 10_000)
CUSTOMERS = 500
ROUNDS = 3_000
REPETITIONS = 5


def main() -> int:
    """
    Run all measurements and print the figures, as JSON with `--json`.

    :return: process exit code
    """
    figures: dict[str, float] = {}
    for count in CANDIDATE_COUNTS:
        figures[f"placement_us.{count}_candidates"] = _measure_placement_us(count, prefix=False)
        figures[f"placement_with_prefix_us.{count}_candidates"] = _measure_placement_us(
            count, prefix=True
        )
    for count in QUEUE_LENGTHS:
        figures[f"admission_us.{count}_queued"] = _measure_admission_us(count)
        figures[f"refusal_at_bound_us.{count}_queued"] = _measure_admission_us(count, at_bound=True)
    figures["token_us"] = _measure_token_us()
    figures["subset_ms.400_routers_1300_agents"] = _measure_subset_ms()
    figures.update(_measure_subset_balance())
    if "--json" in sys.argv:
        print(json.dumps(figures, indent=1))
    else:
        print("\n".join(f"{name:<48}{value:>10.1f}" for name, value in figures.items()))
    return 0


def _measure_best_us(call: Callable[[int], None], rounds: int = ROUNDS) -> float:
    best = float("inf")
    for _ in range(REPETITIONS):
        started_ns = time.process_time_ns()
        for number in range(rounds):
            call(number)
        best = min(best, (time.process_time_ns() - started_ns) / rounds / 1_000)
    return best


def _measure_placement_us(count: int, *, prefix: bool) -> float:
    rng = Random(1)
    settings = PlacementSettings()
    agents = []
    for number in range(count):
        agent = AgentEntry(name=f"e{number}", group="g", address="127.0.0.1", data_port=1)
        agent.update_load(LoadReport(received_ms=0, running=rng.randrange(30), max_running=24))
        agents.append(agent)

    def place(number: int) -> None:
        key = stable_hash(str(number)) if prefix else 0
        request = AgentPlacementRequest(group="g", tier=0, prefix_hash=key, protected=True)
        choose_agent(agents, request, settings, rng, number)

    return _measure_best_us(place, ROUNDS // 10)


def _make_item(number: int) -> WorkItem:
    tier = number % 4
    return WorkItem(
        request_id=f"r{number}",
        attempt=1,
        customer=f"c{number % CUSTOMERS}",
        class_name=f"t{tier}",
        tier=tier,
        protected=tier == 0,
        preemptible=tier > 0,
        arrived_ms=number // 20,
        deadline_ms=10**9,
    )


def _measure_admission_us(queued: int, *, at_bound: bool = False) -> float:
    """
    Measure a submission with a completion, which leave the queue length unchanged.

    At the bound submissions are refused, and one request in 8 rounds is completed.
    """
    table = WorkTable()
    queue_limit = queued if at_bound else queued + ROUNDS
    settings = AdmissionSettings(max_queued=queue_limit, initial_running=24)
    count = 0
    while len(table.queued) < queued:
        admission.submit(table, _make_item(count), settings, count // 20)
        count += 1

    def admit(number: int) -> None:
        nonlocal count
        now_ms = count // 20
        admission.submit(table, _make_item(count), settings, now_ms)
        if not at_bound or number % 8 == 0:
            admission.finish(table, next(iter(table.running)), settings, now_ms)
        count += 1

    return _measure_best_us(admit)


def _measure_token_us() -> float:
    table = WorkTable()
    settings = AdmissionSettings(initial_running=24)
    for number in range(24):
        admission.submit(table, _make_item(number), settings, 0)
    names = list(table.running)
    return _measure_best_us(lambda n: admission.record_tokens(table, names[n % len(names)], n))


def _build_locations(kind: str, count: int) -> list[HostLocation]:
    return [HostLocation(f"{kind}{n}", f"fd{n % 21}", f"region{n % 21 % 6}") for n in range(count)]


def _measure_subset_ms() -> float:
    routers, agents = _build_locations("r", 400), _build_locations("a", 1_300)
    settings = PlacementSettings()
    return (
        _measure_best_us(
            lambda n: _discard(choose_subset(routers[n], routers, agents, settings)), 5
        )
        / 1e3
    )


def _measure_subset_balance() -> dict[str, float]:
    """Count the subsets of each agent and the subset entries changed by replacing one host."""
    routers, agents = _build_locations("r", 400), _build_locations("a", 1_300)
    before = _choose_subsets(routers, agents)
    counts = Counter(name for chosen in before.values() for name in chosen)
    subset_counts = sorted(counts[agent.name] for agent in agents)
    new_agents = [*agents[:7], HostLocation("new-agent", "fd7", "region1"), *agents[8:]]
    moved = _count_moved(before, _choose_subsets(routers, new_agents))
    new_routers = [*routers[:7], HostLocation("new-router", "fd7", "region1"), *routers[8:]]
    places = sum(len(chosen) for chosen in before.values())
    return {
        "subsets_per_agent.min": subset_counts[0],
        "subsets_per_agent.p5": subset_counts[len(subset_counts) // 20],
        "subsets_per_agent.p95": subset_counts[-len(subset_counts) // 20],
        "subsets_per_agent.max": subset_counts[-1],
        "moved_places.new_agent": moved,
        "moved_places.new_router": _count_moved(before, _choose_subsets(new_routers, agents)),
        "places": places,
    }


def _choose_subsets(routers: list[HostLocation], agents: list[HostLocation]) -> dict[str, set[str]]:
    settings = PlacementSettings()
    return {r.name: set(choose_subset(r, routers, agents, settings)) for r in routers}


def _count_moved(before: dict[str, set[str]], after: dict[str, set[str]]) -> int:
    return sum(len(before[name] - after[name]) for name in before if name in after)


def _discard(_: object) -> None:
    """Do nothing with a result."""


if __name__ == "__main__":
    sys.exit(main())
