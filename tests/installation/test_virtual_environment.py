"""Tests that ./run-tests replaces a virtual environment it cannot use; tox is a small wheel."""

from __future__ import annotations

import unittest

from tests.installation.checkout import Checkout
from tests.installation.wheels import write_wheel

TOX_FILES = {
    "tox.py": "def main():\n    print('tox runs')\n",
    "tox-4.21.dist-info/entry_points.txt": "[console_scripts]\ntox = tox:main\n",
}


class VirtualEnvironmentTest(unittest.TestCase):
    """A checkout whose package index is a folder."""

    def setUp(self) -> None:
        self.checkout = Checkout(self)
        self.wheel = write_wheel(self.checkout.index, "4.21", TOX_FILES, "tox")

    def test_environment_of_an_interpreter_that_is_gone_is_replaced(self) -> None:
        """A folder of another machine has the script; it names an interpreter that is not there."""
        script = self.checkout.root / ".venv-tox" / "bin" / "tox"
        script.parent.mkdir(parents=True)
        script.write_text("#!/nowhere/python3\n")
        script.chmod(0o755)
        self.assertEqual(self._run(), "tox runs\n")

    def test_environment_that_was_moved_is_replaced_and_a_complete_one_needs_no_index(self) -> None:
        """Scripts of an environment name the place where it was made."""
        self.assertEqual(self._run(), "tox runs\n")
        moved = self.checkout.root.with_name("moved")
        self.checkout.root.rename(moved)
        self.checkout.root = moved
        self.assertEqual(self._run(), "tox runs\n")
        self.wheel.unlink()
        self.assertEqual(self._run(), "tox runs\n")

    def _run(self) -> str:
        """:return: output of ./run-tests, after a check of its exit code"""
        result = self.checkout.run(["./run-tests"])
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout


if __name__ == "__main__":
    unittest.main()
