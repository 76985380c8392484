"""Runs the fault benchmark for a short time."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OPERATIONS = 60


class FaultRunTest(unittest.TestCase):
    """`bench.faults` exits with 0 only if it found no violation."""

    def test_faults_short_run_has_no_violation(self) -> None:
        command = [sys.executable, "-m", "bench.faults", "--seed", "4", "--baseline", "False"]
        result = subprocess.run(
            [*command, "--operations", str(OPERATIONS)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("violations: 0", result.stdout)


if __name__ == "__main__":
    unittest.main()
