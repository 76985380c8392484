"""Tests of the deploy file's build, run as the platform runs it, with wheels of a local folder."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
import unittest
from typing import TYPE_CHECKING

from boragetiller.installation.extension_tags import get_interpreter_tag
from tests.installation.checkout import PACKAGE, Checkout
from tests.installation.wheels import unpack_wheel, write_wheel

if TYPE_CHECKING:
    from pathlib import Path

FILES = {
    "sample/__init__.py": "from sample.part import VALUE\n",
    "sample/part.py": "VALUE = '1.0'\n",
}
FOREIGN_TAG = "cpython-399-sparc64-linux-gnu"
FOREIGN_FILES = {
    "sample/__init__.py": FILES["sample/__init__.py"],
    f"sample/part.{FOREIGN_TAG}.so": "no code for this machine",
}
OLD_S, NEW_S = 1_700_000_000, 1_900_000_000  # times of files, before and after those of the build


class DeployBuildTest(unittest.TestCase):
    """A checkout with one small dependency, whose package index is a folder."""

    def setUp(self) -> None:
        self.checkout = Checkout(self)
        self.root, self.index = self.checkout.root, self.checkout.index
        self.requirements = self.root / "deploy" / "requirements.txt"
        self.requirements.write_text("sample==1.0\n")
        self.dependencies = self.root / "target" / "deps"
        self.wheel = write_wheel(self.index, "1.0", FILES)

    def test_clean_checkout_is_built(self) -> None:
        self._build()
        self.assertEqual(self._import("sample"), "1.0")

    def test_folder_of_another_interpreter_is_replaced(self) -> None:
        """It passed as complete, since it was newer than the requirements; routers crashed."""
        foreign = write_wheel(self.root, "1.0", FOREIGN_FILES)
        unpack_wheel(foreign, self.dependencies)
        output = self._build()
        self.assertEqual(self._import("sample"), "1.0")
        self.assertIn(f"made for {FOREIGN_TAG}; python3 is {get_interpreter_tag()}", output)

    def test_incomplete_installation_is_replaced(self) -> None:
        """It passed as complete; routers crashed."""
        unpack_wheel(self.wheel, self.dependencies)
        (self.dependencies / "sample" / "part.py").unlink()
        output = self._build()
        self.assertEqual(self._import("sample"), "1.0")
        self.assertIn("sample/part.py: missing", output)

    def test_changed_file_is_replaced(self) -> None:
        """A file that was cut off passed as complete; routers crashed."""
        unpack_wheel(self.wheel, self.dependencies)
        (self.dependencies / "sample" / "part.py").write_text("VAL")
        output = self._build()
        self.assertEqual(self._import("sample"), "1.0")
        self.assertIn("sample/part.py: changed after its installation", output)

    def test_cut_list_of_files_is_replaced(self) -> None:
        """A folder whose copy was interrupted ended the build with a traceback."""
        unpack_wheel(self.wheel, self.dependencies)
        record = self.dependencies / "sample-1.0.dist-info" / "RECORD"
        record.write_text(record.read_text()[:8])
        self.assertIn("sample-1.0.dist-info: the list of files cannot be read", self._build())
        self.assertEqual(self._import("sample"), "1.0")

    def test_dependency_that_crashes_the_interpreter_fails_the_build(self) -> None:
        """An extension module for another processor can end the process without a message."""
        write_wheel(self.index, "1.0", {"sample/__init__.py": "import os\nos.abort()\n"})
        self.assertIn("cannot be imported: exit code -6", self._build(code=1))

    def test_other_version_is_replaced(self) -> None:
        """A folder of an earlier release passed, since it was newer than the requirements."""
        earlier = write_wheel(self.root, "0.9", FILES | {"sample/part.py": "VALUE = '0.9'\n"})
        unpack_wheel(earlier, self.dependencies)
        os.utime(self.requirements, (OLD_S, OLD_S))
        output = self._build()
        self.assertEqual(self._import("sample"), "1.0")
        self.assertIn("sample: version 0.9 is installed, 1.0 is required", output)

    def test_files_of_no_distribution_are_removed(self) -> None:
        """An old module beside the new ones could be imported in place of another one."""
        unpack_wheel(self.wheel, self.dependencies)
        (self.dependencies / "aiohttp.py").touch()
        self.assertIn("aiohttp.py: belongs to no installed distribution", self._build())
        self.assertFalse((self.dependencies / "aiohttp.py").exists())

    def test_complete_folder_needs_no_package_index(self) -> None:
        """A checkout with newer file times asked for the network and failed without it."""
        unpack_wheel(self.wheel, self.dependencies)
        self.wheel.unlink()
        os.utime(self.requirements, (NEW_S, NEW_S))
        self._build()
        self.assertEqual(self._import("sample"), "1.0")

    def test_failed_installation_fails_the_build_and_leaves_no_folder_behind(self) -> None:
        """An interrupted installation must not pass as complete the next time."""
        self.wheel.unlink()
        output = self._build(code=1)
        self.assertIn(
            f"build failed: {self.dependencies}: not installed; pip exited with 1", output
        )
        self.assertFalse(self.dependencies.exists())
        (self.root / "target" / "deps.new").mkdir()
        write_wheel(self.index, "1.0", FILES)
        self._build()
        self.assertEqual(self._import("sample"), "1.0")

    def test_dependency_that_cannot_be_imported_fails_the_build(self) -> None:
        """The build passed, and routers crashed."""
        write_wheel(self.index, "1.0", FOREIGN_FILES | {"sample/__init__.py": "1 / 0\n"})
        self.assertIn("not usable after its installation", self._build(code=1))

    def test_version_range_is_refused(self) -> None:
        """Hosts that were built on different days ran different versions."""
        self.requirements.write_text("sample>=1.0\n")
        output = self._build(code=1)
        self.assertIn("requirements.txt:1: got 'sample>=1.0'; must be NAME==VERSION", output)

    def test_bytecode_of_another_source_with_same_time_and_size_is_not_used(self) -> None:
        """A copied tree with equal file times ran the code of the release before."""
        source = self.root / PACKAGE / "part.py"
        for value in "12":
            source.write_text(f"VALUE = {value}\n")
            os.utime(source, (OLD_S, OLD_S))
            self._build()
            self.assertEqual(self._import("boragetiller.part", self.root / "src"), value)

    def _build(self, code: int = 0) -> str:
        """:return: output of the build, after a check of its exit code"""
        deploy = tomllib.loads((self.root / "deploy" / "system.toml").read_text(encoding="utf-8"))
        result = self.checkout.run(["sh", "-c", deploy["build"]])
        output = result.stdout + result.stderr
        self.assertEqual(result.returncode, code, output)
        return output

    def _import(self, module: str, folder: Path | None = None) -> str:
        """:return: VALUE of a module, imported in a process like that of a router"""
        result = subprocess.run(
            [sys.executable, "-S", "-B", "-c", f"import {module} as part; print(part.VALUE)"],
            env={"PYTHONPATH": str(folder or self.dependencies)},
            check=False,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout.strip()


if __name__ == "__main__":
    unittest.main()
