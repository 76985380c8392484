"""Tests that a process which cannot load a module says which one, and what it was made for."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from boragetiller.installation.extension_tags import get_interpreter_tag
from boragetiller.installation.load_errors import EXIT_LOAD

ROOT = Path(__file__).resolve().parent.parent.parent
ROUTER = ["platform/router.py"]
DAEMON = ["-m", "boragetiller.daemon_entry", "--settings", os.devnull]
FOREIGN_TAG = "cpython-399-sparc64-linux-gnu"
IMPORT_EXTENSION = "from attrs import _native\n"


class LoadErrorTest(unittest.TestCase):
    """Entry points with a folder of dependencies that has a broken attrs, or nothing."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.dependencies = Path(folder.name)
        self.package = self.dependencies / "attrs"

    def test_missing_module_is_named_with_the_search_path(self) -> None:
        """Routers ended with a traceback and exit code 1, as after any other error."""
        for entry_point in (ROUTER, DAEMON):
            with self.subTest(entry_point=entry_point):
                line = self._run(entry_point)
                self.assertIn("ModuleNotFoundError", line["reason"])
                self.assertIn(f"'{line['module']}'", line["reason"])
                self.assertIn(str(self.dependencies), line["search_path"])
                self.assertEqual(line["made_for"], [])
                self.assertEqual(line["executable"], sys.executable)

    def test_package_of_another_interpreter_is_named(self) -> None:
        """Nothing told that the folder of dependencies was made by another Python."""
        self._write("__init__.py", IMPORT_EXTENSION)
        self._write(f"_native.{FOREIGN_TAG}.so", "no code for this machine")
        line = self._run(ROUTER)
        self.assertEqual(line["file"], str(self.package / "__init__.py"))
        self.assertEqual(line["made_for"], [FOREIGN_TAG])
        self.assertEqual(line["machine"], get_interpreter_tag())

    def test_extension_module_that_the_linker_refuses_is_named(self) -> None:
        """An extension module can have the right name and still be for another machine."""
        name = f"_native.{get_interpreter_tag()}.so"
        self._write("__init__.py", IMPORT_EXTENSION)
        self._write(name, "no code for this machine")
        line = self._run(ROUTER)
        self.assertEqual(line["module"], "attrs._native")
        self.assertEqual(line["file"], str(self.package / name))

    def test_damaged_source_file_is_named(self) -> None:
        """A file that was cut off raises another error than ImportError."""
        self._write("__init__.py", "import (")
        line = self._run(ROUTER)
        self.assertEqual(line["file"], str(self.package / "__init__.py"))
        self.assertIn("SyntaxError", line["reason"])

    def test_module_outside_of_packages_is_named(self) -> None:
        """Its folder is not a part of its name."""
        (self.dependencies / "attrs.py").write_text("1 / 0\n")
        self.assertEqual(self._run(ROUTER)["module"], "attrs")

    def test_module_that_raises_while_it_is_loaded_is_named(self) -> None:
        """Versions that do not fit each other raise AttributeError and the like."""
        self._write("__init__.py", "1 / 0\n")
        line = self._run(ROUTER)
        self.assertEqual(line["file"], str(self.package / "__init__.py"))
        self.assertIn("ZeroDivisionError", line["reason"])

    def _write(self, name: str, text: str) -> None:
        self.package.mkdir(exist_ok=True)
        (self.package / name).write_text(text)

    def _run(self, entry_point: list[str]) -> dict[str, Any]:
        """:return: the line of a process that cannot load a module"""
        folders = (
            [ROOT / "src", self.dependencies] if entry_point == DAEMON else [self.dependencies]
        )
        result = subprocess.run(
            [sys.executable, "-S", "-B", *entry_point],
            cwd=ROOT,
            env={"PYTHONPATH": os.pathsep.join(map(str, folders))},
            check=False,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.returncode, EXIT_LOAD, result.stderr)
        self.assertEqual(result.stderr, "")
        line = json.loads(result.stdout)
        self.assertEqual((line["event"], line["event_name"]), (103, "process_not_loaded"))
        return line


if __name__ == "__main__":
    unittest.main()
