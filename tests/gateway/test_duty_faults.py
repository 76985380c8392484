"""Tests of duties under random faults in virtual time."""

from __future__ import annotations

import unittest
from random import Random

from tests.gateway.duty_fleet import DutyFleet, sleep_ms
from tests.virtual_time import run_virtually

NAMES = ("router-1", "router-2", "router-3")
SEEDS = 40
FUZZ_STEPS = 80
FAULT_WEIGHTS = {
    "store": 3,
    "restore": 1,
    "copy": 2,
    "start": 6,
    "kill": 1,
    "stop": 3,
    "freeze": 2,
    "thaw": 6,
    "cut": 1,
    "lose": 6,
}


class DutyFaultsTest(unittest.TestCase):
    def test_random_faults_break_no_rule_of_the_contract(self) -> None:
        holders = 0
        for seed in range(SEEDS):
            fleet = run_virtually(run_random_faults(seed))
            holders += len({arrival.token for arrival in fleet.arrivals})
            with self.subTest(seed=seed):
                self.assertEqual(fleet.find_violations(), [])
        self.assertGreater(holders, 2 * SEEDS)


async def run_random_faults(seed: int) -> DutyFleet:
    """Run a fleet under random faults, then check that it recovers."""
    rng = Random(seed)
    fleet = DutyFleet(NAMES, seed)
    await fleet.start()
    copy = fleet.store.copy()
    for _ in range(FUZZ_STEPS):
        await sleep_ms(rng.randrange(50, 2_500))
        running = sorted(fleet.routers)
        router = fleet.routers[rng.choice(running)] if running else None
        fault = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
        if fault == "store":
            fleet.store.pauses_leases = rng.random() < 0.5
            fleet.store.set_down(not fleet.store.down and rng.random() < 0.3)
        elif fault == "restore":
            fleet.store.restore(copy)
        elif fault == "copy":
            copy = fleet.store.copy()
        elif fault == "start":
            for name in sorted(fleet.known - set(running)):
                await fleet.start(name)
        elif router is None:
            continue
        elif fault == "kill":
            await fleet.kill(router.name)
        elif fault == "stop":
            router.link.running.set()
            await fleet.routers.pop(router.name).holder.close()
        elif fault == "freeze":
            router.link.running.clear()
        elif fault == "thaw":
            for router in fleet.routers.values():
                router.link.running.set()
                router.link.cut = False
        elif fault == "cut":
            router.link.cut = True
        else:
            router.link.lose = rng.choices(["commit", "renew", "grant", "read"], k=2)
            router.link.late_ms = rng.choice([0, 300, 2_000, 5_000])
    fleet.store.set_down(False)
    await fleet.kill()
    await fleet.start()
    await fleet.find_holder(20_000)
    await fleet.kill()
    return fleet


if __name__ == "__main__":
    unittest.main()
