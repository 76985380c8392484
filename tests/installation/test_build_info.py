"""Tests of what a process tells about its code, interpreter and libraries."""

from __future__ import annotations

import importlib.metadata
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from loguru import logger

import boragetiller
from boragetiller.installation.build_info import LIBRARIES, get_build_info
from boragetiller.installation.extension_tags import get_interpreter_tag
from boragetiller.installation.source_digest import compute_source_digest
from tests.gateway.harness import RouterHarness
from tests.platform_path import FOLDER

PACKAGE = Path(boragetiller.__file__).parent


class BuildInfoTest(unittest.TestCase):
    def setUp(self) -> None:
        get_build_info.cache_clear()
        self.addCleanup(get_build_info.cache_clear)

    def test_versions_are_those_of_the_loaded_libraries(self) -> None:
        libraries = get_build_info().libraries
        self.assertEqual(libraries.keys(), LIBRARIES.keys())
        for name, version in libraries.items():
            self.assertEqual(version.split(" ")[0], importlib.metadata.version(name))

    def test_source_that_cannot_be_read_does_not_stop_the_process(self) -> None:
        """The digest is computed after the modules were loaded; a file may be gone by then."""
        with mock.patch.object(Path, "read_bytes", side_effect=FileNotFoundError):
            self.assertEqual(get_build_info().source, "unknown")

    def test_library_without_its_extension_module_is_marked(self) -> None:
        """multidict, yarl and others fall back to Python silently."""
        with mock.patch.dict(sys.modules):
            sys.modules.pop("multidict._multidict", None)
            version = get_build_info().libraries["multidict"]
        self.assertTrue(version.endswith(" (without extension module)"), version)


class SourceDigestTest(unittest.TestCase):
    def test_digest_depends_on_content_and_name_but_not_on_the_place(self) -> None:
        digests = [
            self._digest({"a.py": "1"}),
            self._digest({"a.py": "1", "a.txt": "not a source"}),
            self._digest({"a.py": "2"}),
            self._digest({"b.py": "1"}),
        ]
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(len(set(digests)), 3)

    def _digest(self, files: dict[str, str]) -> str:
        with tempfile.TemporaryDirectory() as parent:
            folder = Path(parent, "package")
            folder.mkdir()
            for name, text in files.items():
                (folder / name).write_text(text)
            return compute_source_digest([folder])


class StartedProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_started_router_logs_and_exposes_what_it_is_made_of(self) -> None:
        """Two hosts with the same configuration could run different code unnoticed."""
        lines = []
        sink = logger.add(lambda message: lines.append(message.record["extra"]), level="INFO")
        self.addCleanup(logger.remove, sink)
        harness = RouterHarness()
        self.addAsyncCleanup(harness.close)
        await harness.start()
        started = next(line for line in lines if line["event"] == 100)
        expected = {
            "version": boragetiller.__version__,
            "source": compute_source_digest([PACKAGE, FOLDER]),
            "python": ".".join(map(str, sys.version_info[:3])),
            "machine": get_interpreter_tag(),
        }
        self.assertEqual({name: started[name] for name in expected}, expected)
        metrics = harness.router.metrics.registry
        self.assertEqual(metrics.get_sample_value("boragetiller_build_info", expected), 1)
        for name, version in started["libraries"].items():
            labels = {"name": name, "version": version}
            self.assertEqual(metrics.get_sample_value("boragetiller_library_info", labels), 1)


if __name__ == "__main__":
    unittest.main()
