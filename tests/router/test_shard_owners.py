"""Tests of a router's table of shard owners."""

from __future__ import annotations

import unittest

from boragetiller.router.shard_owners import ShardOwners
from boragetiller.systems.shards import shard_of

SHARDS = 4


class ShardOwnersTest(unittest.TestCase):
    """Owners from the reports and refusals of agents."""

    def setUp(self) -> None:
        self.owners = ShardOwners()
        self.shard = shard_of("acme", "k", SHARDS)

    def _get_owner(self) -> str | None:
        return self.owners.get_owner("app", SHARDS, "acme", "k")

    def test_owner_is_unknown_without_reports(self) -> None:
        self.assertIsNone(self._get_owner())

    def test_report_sets_and_clears_the_owner(self) -> None:
        self.owners.apply_report("app", "a-1", (self.shard,))
        self.assertEqual(self._get_owner(), "a-1")
        self.owners.apply_report("app", "a-1", ())
        self.assertIsNone(self._get_owner())

    def test_late_report_does_not_clear_the_next_owner(self) -> None:
        self.owners.apply_report("app", "a-1", (self.shard,))
        self.owners.apply_report("app", "a-2", (self.shard,))
        self.owners.apply_report("app", "a-1", ())
        self.assertEqual(self._get_owner(), "a-2")

    def test_refusal_names_the_owner(self) -> None:
        self.owners.apply_refusal("app", SHARDS, "acme", "k", "a-2")
        self.assertEqual(self._get_owner(), "a-2")
        self.owners.apply_refusal("app", SHARDS, "acme", "k", None)
        self.assertIsNone(self._get_owner())

    def test_removed_agent_owns_no_shard(self) -> None:
        self.owners.apply_report("app", "a-1", (self.shard,))
        self.owners.remove_agent("a-1")
        self.assertIsNone(self._get_owner())


if __name__ == "__main__":
    unittest.main()
