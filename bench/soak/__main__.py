"""
Runs real routers, servers and callers under faults from outside, and judges what was seen.

    python -m bench.soak --seed 1 --length-s 20 --scenario mix

The plan of the faults is seeded; how they coincide with requests depends on the host's timing.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import attrs
import fire

from bench.soak.callers import Callers
from bench.soak.config_probes import probe_configs
from bench.soak.engine import LAST_EVENT
from bench.soak.fleet import STREAMS, SoakFleet
from bench.soak.judge import Violation, count_taken_up, judge
from bench.soak.records import write_lines
from bench.soak.scenarios import SCENARIOS, Scenario

WARM_UP_S = 0.5


async def run_soak(scenario: Scenario, seed: int, length_s: float, folder: Path) -> SoakFleet:
    """
    Run a scenario.

    :param scenario: the scenario
    :param seed: seed of the plan
    :param length_s: time from the first request to the last fault in seconds
    :param folder: folder for logs and ledgers
    :return: the fleet, which has ended, with its ledger
    """
    fleet = SoakFleet(folder, seed)
    try:
        await fleet.start(
            scenario.routers,
            scenario.servers,
            seeds=scenario.seeds,
            narrow_links=scenario.narrow_links,
        )
        until_s = time.monotonic() + length_s
        callers = Callers(fleet.routers, scenario.workload, fleet.ledger, seed)
        calls = asyncio.gather(
            callers.run(until_s), probe_configs(fleet.routers, fleet.ledger, until_s)
        )
        await asyncio.sleep(WARM_UP_S)
        await scenario.play(fleet, Random(seed), until_s)
        await calls
    finally:
        await fleet.close()
    return fleet


def main(
    seed: int = 1,
    length_s: float = 20.0,
    scenario: str = "mix",
    routers: int = 0,
    engines: int = 0,
    keep: str = "",
) -> None:
    """
    Run a scenario and print the broken rules; the exit code is 1 if there are any.

    :param seed: seed of the plan
    :param length_s: length of the run in seconds
    :param scenario: name of the scenario
    :param routers: number of routers, 0 for that of the scenario
    :param engines: number of engines of each version, 0 for that of the scenario
    :param keep: folder that keeps logs and ledgers, empty to keep none
    """
    chosen = SCENARIOS[scenario]
    chosen = attrs.evolve(chosen, routers=routers or chosen.routers)
    if engines:
        servers = {key: engines if key[0] == STREAMS else n for key, n in chosen.servers.items()}
        chosen = attrs.evolve(chosen, servers=servers)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary).absolute()
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            sys.exit(f"{folder}: holds files, perhaps ledgers of another run; name an empty folder")
        fleet = asyncio.run(run_soak(chosen, seed, length_s, folder))
        write_lines(folder / "attempts", fleet.ledger.attempts)
        write_lines(folder / "impairments", fleet.ledger.impairments)
    _report(scenario, seed, fleet, judge(fleet.ledger, LAST_EVENT))


def _report(scenario: str, seed: int, fleet: SoakFleet, violations: list[Violation]) -> None:
    for violation in sorted(violations):
        print(f"{violation.rule}: {violation.detail}")
    attempts = fleet.ledger.attempts
    statuses = Counter(attempt.status for attempt in attempts)
    taken_up, completed = count_taken_up(attempts)
    rules = dict(Counter(violation.rule for violation in violations))
    print(
        f"scenario {scenario}, seed {seed}: {len(attempts)} requests, statuses "
        f"{dict(sorted(statuses.items()))}, {len(fleet.ledger.arrivals)} arrivals, "
        f"{completed} of {taken_up} streams that were taken up completed, "
        f"{len(fleet.ledger.probes)} probes of {len(fleet.ledger.changes)} configurations, "
        f"violations: {rules}"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
