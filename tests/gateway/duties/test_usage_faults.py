"""Usage reports under random faults in virtual time; the seed of a failure is in its message."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from bench.usage_fleet import Fleet

SEEDS = range(8, 18)
RUN_S = 90
LAST_WINDOW = 15
FAULTS = (
    "elect",
    "store",
    "answer",
    "clock",
    "api",
    "kill",
    "cut",
    "start",
    "heal",
    "heal",
    "heal",
)


def disturb(fleet: Fleet, rng: random.Random, *, lossy: bool) -> None:
    """Cause one fault, or end some of the earlier ones."""
    running = [router for router in fleet.routers.values() if router.is_running]
    match rng.choice(FAULTS):
        case "elect":
            fleet.elect(rng.choice(running).name)
        case "store":
            fleet.store.is_down = True
        case "answer":
            fleet.store.lost_answers = 1
        case "clock":
            for router in fleet.routers.values():
                router.wall.error_ms = 0
            rng.choice(running).wall.error_ms = rng.choice([-1, 1]) * rng.randint(500, 9_000)
        case "api":
            fleet.api.mode = rng.choice(["busy", "silent", "lost"])
        case "heal":
            fleet.store.is_down, fleet.api.mode = False, "ok"
            fleet.heal()
        case "kill" if lossy and len(running) > 3:
            victim = rng.choice(running)
            fleet.kill(victim.name)
            if victim.holding is not None:
                fleet.elect(next(each.name for each in running if each is not victim))
        case "cut" if lossy:
            fleet.cut.add(rng.choice(running).name)
        case "start" if len(running) < 5:
            fleet.add(f"r{len(fleet.routers)}")


class UsageFaultsTest(unittest.TestCase):
    def run_faults(self, seed: int, *, lossy: bool) -> Fleet:
        rng, fleet = random.Random(seed), Fleet(("a", "b", "c", "d"))
        for _ in range(RUN_S // 3):
            fleet.run(rng.uniform(1, 5))
            disturb(fleet, rng, lossy=lossy)
        fleet.store.is_down, fleet.api.mode = False, "ok"
        fleet.heal()
        fleet.run(20)
        self.assertEqual(fleet.api.conflicts, [], f"seed {seed}")
        return fleet

    def test_no_request_is_reported_twice(self) -> None:
        # Guards against double counts, and two reports of a window, after any mix of faults.
        for seed in SEEDS:
            fleet = self.run_faults(seed, lossy=True)
            for number in range(LAST_WINDOW):
                truth = fleet.truth.get(number, Counter())
                for customer, requests in (fleet.reported(number) or {}).items():
                    self.assertLessEqual(requests, truth[customer], f"seed {seed}, {number}")

    def test_what_is_reported_is_exact_while_no_counts_are_lost(self) -> None:
        # Guards against requests in other windows, whatever fails in the store and the API.
        reported = 0
        for seed in SEEDS:
            fleet = self.run_faults(seed, lossy=False)
            for number in range(LAST_WINDOW):
                counts = fleet.reported(number)
                if counts is not None:
                    reported += 1
                    truth = dict(fleet.truth.get(number, Counter()))
                    self.assertEqual(counts, truth, f"seed {seed}, window {number}")
        self.assertGreater(reported, len(SEEDS) * LAST_WINDOW // 2)


if __name__ == "__main__":
    unittest.main()
