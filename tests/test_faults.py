"""A short fault run over real sockets."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OPERATIONS = 60


class FaultRunTest(unittest.TestCase):
    """The run prints its figures; its exit code tells violations."""

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
