"""A part of the checkout in a temporary folder, whose package index is a folder as well."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import unittest

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = Path("src/boragetiller")
COPIED_FILES = ("deploy/system.toml", "platform/build.py", "run-tests", PACKAGE / "__init__.py")


class Checkout:
    """Scripts of the checkout and what they import."""

    def __init__(self, test: unittest.TestCase) -> None:
        """
        Copy the files; they are removed after the test.

        :param test: the test that uses the checkout
        """
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.root = Path(folder.name, "checkout")
        self.index = Path(folder.name, "index")
        self.index.mkdir()
        for name in COPIED_FILES:
            (self.root / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(ROOT / name, self.root / name)
        installation = PACKAGE / "installation"
        without_bytecode = shutil.ignore_patterns("*.pyc")
        shutil.copytree(ROOT / installation, self.root / installation, ignore=without_bytecode)

    def run(self, command: list[str]) -> subprocess.CompletedProcess[str]:
        """
        Run a command with the interpreter of the tests as python3, and without a network.

        :param command: program and arguments
        :return: exit code and output
        """
        environment = {
            "HOME": str(self.root),
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_FIND_LINKS": str(self.index),
            "PIP_NO_INDEX": "1",
        }
        return subprocess.run(
            command, cwd=self.root, env=environment, check=False, capture_output=True, text=True
        )


__all__ = ["PACKAGE", "Checkout"]
