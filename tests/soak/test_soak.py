"""Runs each scenario of the soak for a few seconds."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SEED = 1


class SoakTest(unittest.TestCase):
    """`bench.soak` exits with 0 only if it found no violation."""

    def test_servers_that_ask_for_a_pause_get_requests(self) -> None:
        self.run_scenario("pauses", 8)

    def test_streams_whose_first_server_was_silent_are_joined_from_two_versions(self) -> None:
        self.run_scenario("first-silent", 8)

    def test_callers_that_read_slowly_get_events_twice(self) -> None:
        self.run_scenario("slow-callers", 8)

    def test_router_that_missed_a_version_joins_streams_from_two_versions(self) -> None:
        self.run_scenario("unseen-join", 4)

    def test_rules_are_broken_under_a_mix_of_faults(self) -> None:
        self.run_scenario("mix", 20)

    def run_scenario(self, scenario: str, length_s: int) -> None:
        """Run a scenario; its output names each violation."""
        command = [sys.executable, "-m", "bench.soak", "--scenario", scenario, "--seed", str(SEED)]
        with tempfile.TemporaryDirectory() as folder:
            result = subprocess.run(
                [*command, "--length-s", str(length_s), "--keep", folder],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("violations: {}", result.stdout)


if __name__ == "__main__":
    unittest.main()
