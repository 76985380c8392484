"""Tests that the deployed versions are exact, complete and those that the tests run with."""

from __future__ import annotations

import importlib.metadata
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from packaging.requirements import Requirement

from boragetiller.installation.requirements import normalize_name, read_pins

if TYPE_CHECKING:
    from packaging.markers import Marker

REQUIREMENTS = Path(__file__).resolve().parent.parent.parent / "deploy" / "requirements.txt"
PYTHON_VERSIONS = ("3.11", "3.12", "3.13")


class DeployedRequirementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pins = read_pins(REQUIREMENTS)

    def test_tests_run_with_the_deployed_versions(self) -> None:
        """Each build installed the newest versions of the day, which no test had run with."""
        installed = {name: importlib.metadata.version(name) for name in self.pins}
        self.assertEqual(installed, self.pins)

    def test_indirect_dependencies_are_pinned_too(self) -> None:
        """The build installs nothing that the file does not name."""
        for name in self.pins:
            for requirement in importlib.metadata.requires(name) or ():
                required = Requirement(requirement)
                if required.marker is not None and not _applies(required.marker):
                    continue
                with self.subTest(distribution=name, requirement=requirement):
                    self.assertIn(normalize_name(required.name), self.pins)


def _applies(marker: Marker) -> bool:
    """:return: whether a requirement holds on Linux with one of the supported interpreters"""
    return any(
        marker.evaluate(
            {"python_version": python, "sys_platform": "linux", "platform_system": "Linux"}
        )
        for python in PYTHON_VERSIONS
    )


if __name__ == "__main__":
    unittest.main()
