"""When streams may begin at a version that has just appeared."""

from __future__ import annotations

import unittest
from typing import Any

import attrs

from boragetiller.gateway.streams.group_versions import GroupVersions
from boragetiller.systems.new_versions import UNSTORED_MS
from boragetiller.tables.server_table import ServerTable
from tests.systems.test_server_placement import make_server


class NewVersionTest(unittest.TestCase):
    """Versions of one group in the list and in the store."""

    time_ms = 0

    def setUp(self) -> None:
        self.table = ServerTable()
        self.versions = GroupVersions(self.table, self)

    def now_ms(self) -> int:
        """:return: the time of the test, in place of a clock"""
        return self.time_ms

    def list_servers(self, *versions: str) -> None:
        """Replace the list by one server of each version."""
        record: Any = make_server("e").record
        self.table.replace(
            [attrs.evolve(record, name=each, software_version=each) for each in versions], 0
        )
        self.versions.observe_all()
        self.group = record.group

    def assert_startable(self, *versions: str) -> None:
        self.assertEqual(self.versions.list_startable(self.group), frozenset(versions))

    def test_streams_begin_at_a_version_once_the_entry_names_it(self) -> None:
        self.list_servers("v1")
        self.assertIsNone(self.versions.list_startable(self.group))
        self.versions.record_stored(self.group, frozenset({"v1"}))
        self.list_servers("v1", "v2")
        self.assert_startable("v1")
        self.versions.record_stored(self.group, frozenset({"v1", "v2"}))
        self.assert_startable("v1", "v2")
        self.list_servers("v1")  # back after a moment, still in the entry
        self.list_servers("v1", "v2")
        self.assert_startable("v1", "v2")

    def test_version_that_cannot_be_stored_is_used_in_the_end(self) -> None:
        # A store that takes no writes must not keep a release from service.
        self.list_servers("v1")
        self.versions.record_stored(self.group, frozenset({"v1"}))
        self.list_servers("v1", "v2")
        self.time_ms = UNSTORED_MS - 1
        self.assert_startable("v1")
        self.time_ms = UNSTORED_MS
        self.assert_startable("v1", "v2")

    def test_all_versions_are_used_if_the_entry_was_never_read(self) -> None:
        self.list_servers("v1", "v2")
        self.assert_startable("v1", "v2")


if __name__ == "__main__":
    unittest.main()
