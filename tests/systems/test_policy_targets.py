"""Tests that the policy meets its latency targets under load peaks."""

from __future__ import annotations

import unittest

import attrs

from bench.policy_metrics import compute_metrics
from bench.policy_scenarios import SCENARIOS
from bench.policy_simulation import PolicySimulation
from boragetiller.settings import AdmissionSettings

TARGET = 0.95


class PolicyTargetsTest(unittest.TestCase):
    """The latency targets in short load peaks of the policy bench, in virtual time."""

    def run_peak(self, name: str, policy: str = "ours") -> dict[str, float]:
        scenario = next(s for s in SCENARIOS if s.name == name)
        short = attrs.evolve(scenario, peak_start_ms=5_000, peak_end_ms=25_000, end_ms=27_000)
        simulation = PolicySimulation(short, policy, seed=1)
        simulation.run()
        return compute_metrics(simulation)

    def test_protected_calls_meet_target_in_burst_of_lower_tiers(self) -> None:
        figures = self.run_peak("burst")
        self.assertGreaterEqual(figures["protected.attained"], TARGET)
        interval_ms = AdmissionSettings().aging_interval_ms
        self.assertLessEqual(figures["note.longest_unserved_ms"], 4 * interval_ms)

    def test_protected_calls_meet_target_beside_slow_engine(self) -> None:
        self.assertGreaterEqual(self.run_peak("straggler")["protected.attained"], TARGET)

    def test_fifo_misses_the_target_in_the_same_burst(self) -> None:
        self.assertLess(self.run_peak("burst", "least")["protected.attained"], TARGET)


if __name__ == "__main__":
    unittest.main()
