"""Shards and claims whose store comes back from an older copy."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

from bench.shard_simulation import Call, ShardSimulation
from tests.systems.shard_faults import NAMES, SETTINGS, FaultHistory

COPY_AGE_MS = 9_000
BOOKING_INTERVAL_MS = 40
MEASURED_MS = 30_000
RETRY_AFTER_MS = 2_000
HISTORIES = 60


class BookingHistory:
    """Steady bookings with new keys, each sent again later; a restore may happen halfway."""

    def __init__(self, seed: int) -> None:
        """:param seed: seed of the choices of agents"""
        self._rng = Random(seed)
        self.simulation = ShardSimulation(
            NAMES, self._rng, settings=SETTINGS, shard_count=12, tick_ms=100, host_list_lag_ms=500
        )
        self.simulation.run(5_000)

    def run(self, duration_ms: int, prefix: str) -> list[Call]:
        """
        Send bookings to the agents that own their shards.

        :param duration_ms: for how long
        :param prefix: prefix of the keys
        :return: the first call of each booking
        """
        calls = []
        for number in range(duration_ms // BOOKING_INTERVAL_MS):
            key = f"{prefix}{number}"
            calls.append(self.simulation.send(key, self._find_agent(key)))
            self.simulation.schedule(RETRY_AFTER_MS, lambda key=key: self._send_again(key))
            self.simulation.run(BOOKING_INTERVAL_MS)
        return calls

    def lose_agent(self, name: str) -> None:
        """Kill an agent for good; the host list shows it as gone soon after."""
        self.simulation.crash(name)
        self.simulation.schedule(1_600, lambda: self.simulation.set_listed(name, listed=False))

    def _find_agent(self, key: str) -> str:
        alive = [name for name in NAMES if self.simulation.agents[name].alive]
        return self.simulation.find_owner(key) or self._rng.choice(alive)

    def _send_again(self, key: str) -> None:
        self.simulation.send(key, self._find_agent(key))


def get_served_share(calls: list[Call]) -> float:
    """:return: share of the calls that ran and were answered"""
    return sum(call.code == "answered" for call in calls) / len(calls)


def find_violations() -> list[str]:
    """:return: violations of at-most-once in random histories with restores of the store"""
    violations: list[str] = []
    for seed in range(HISTORIES):
        history = FaultHistory(seed)
        history.restores = True
        history.run(120)
        violations += [f"seed {seed}: {text}" for text in history.violations()]
    return violations


class RestoredStoreTest(unittest.TestCase):
    def measure_served_share(self, seed: int, *, restored: bool, lost_agent: bool) -> float:
        history = BookingHistory(seed)
        copy = history.simulation.copy_store()
        history.run(COPY_AGE_MS, "before")
        if lost_agent:
            history.lose_agent("a")
        if restored:
            history.simulation.restore_store(copy)
        if lost_agent:  # until the outcome of the lost agent's keys is certain again
            history.run(SETTINGS.retry_horizon_ms + SETTINGS.max_call_age_ms + 5_000, "uncertain")
        calls = history.run(MEASURED_MS, "after")
        history.simulation.run(20_000)
        runs = history.simulation.runs
        self.assertEqual([key for key, count in runs.items() if count > 1], [])
        self.assertEqual(history.simulation.false_not_run, [])
        return get_served_share(calls)

    def test_restored_pages_do_not_stop_the_bookings_of_their_owners(self) -> None:
        shares = [
            self.measure_served_share(seed, restored=True, lost_agent=False) for seed in range(3)
        ]
        self.assertEqual(shares, [1.0, 1.0, 1.0])

    def test_bookings_recover_from_a_restore_and_the_loss_of_an_agent(self) -> None:
        shares = [
            self.measure_served_share(seed, restored=True, lost_agent=True) for seed in range(3)
        ]
        self.assertEqual(shares, [1.0, 1.0, 1.0])

    def test_keys_run_at_most_once_over_restores_crashes_and_pauses(self) -> None:
        self.assertEqual(find_violations(), [])

    def test_certain_takeover_from_a_restored_page_lets_keys_run_twice(self) -> None:
        with patch("boragetiller.systems.shard_ownership.is_from_copy", lambda *_: False):
            self.assertNotEqual(find_violations(), [])


if __name__ == "__main__":
    unittest.main()
