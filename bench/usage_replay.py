"""
Print how far usage reports are from the truth under faults: python -m bench.usage_replay.

Three routers serve a customer with 40 and one with 0.6 requests per second. Printed are, for each
fault, the windows, those without a report, the counts of customers that are wrong by more than 5%,
and the time from the end of a window to the latest report.
"""

from __future__ import annotations

from collections import Counter

from loguru import logger

from bench.usage_fleet import Fleet

TOLERANCE = 0.05


def replay(fault: str, seed: int) -> tuple[int, int, int, int]:
    """
    Run three routers for two minutes, with a fault after each 20 s that lasts 5 s.

    :param fault: "none", "clock", "cut", "kill", "store" or "api"
    :param seed: of the requests
    :return: windows, windows without report, customers with an error above 5%, latest report in ms
    """
    fleet = Fleet()
    fleet.rng.seed(seed)
    fleet.run(seed * 0.38)  # so that faults begin at different times between reports
    for number in range(6):
        fleet.run(15)
        router = fleet.routers[("b", "c")[number % 2]]
        if fault == "clock":
            router.wall.error_ms = 4_000
        elif fault == "cut":
            fleet.cut.add(router.name)
        elif fault == "kill":
            fleet.kill(router.name)
        fleet.store.is_down = fault == "store"
        fleet.api.mode = "silent" if fault == "api" else "ok"
        fleet.run(5)
        if fault == "kill":
            fleet.add(router.name)
        router.wall.error_ms, fleet.store.is_down, fleet.api.mode = 0, False, "ok"
        fleet.heal()
    fleet.run(20)
    missing, wrong, latest = 0, 0, 0
    windows = range(22)
    for number in windows:
        counts = fleet.reported(number)
        if counts is None:
            missing += 1
            continue
        latest = max(latest, fleet.received_after_ms(number))
        for customer, requests in fleet.truth.get(number, Counter()).items():
            wrong += abs(counts.get(customer, 0) - requests) > TOLERANCE * requests
    return len(windows), missing, wrong, latest


def main() -> None:
    """Print a table."""
    logger.remove()
    print(f"{'fault':6} {'windows':>7} {'missing':>7} {'above 5%':>8} {'latest ms':>9}")
    for fault in ("none", "clock", "cut", "kill", "store", "api"):
        results = [replay(fault, seed) for seed in range(10)]
        windows, missing = sum(each[0] for each in results), sum(each[1] for each in results)
        wrong, latest = sum(each[2] for each in results), max(each[3] for each in results)
        print(f"{fault:6} {windows:7} {missing:7} {wrong:8} {latest:9}")


if __name__ == "__main__":
    main()
