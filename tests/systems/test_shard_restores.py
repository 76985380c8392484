"""Decisions about a shard whose page was restored from an older copy."""

from __future__ import annotations

import unittest

import attrs

from boragetiller.store_eras import extend_revision, get_era
from boragetiller.systems import shard_ownership, shards
from boragetiller.systems.shard_restores import record_era
from boragetiller.tables.claims import Claim, ClaimState
from boragetiller.tables.shard_actions import WritePage
from boragetiller.tables.shards import SegmentRef, Shard, ShardPage
from tests.systems.shard_faults import SETTINGS

RUN, SEALED = b"run", b"sealed"
NOW_MS = 50_000


class RestoredPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = shards.new_shard_table("a", 7, 1)
        shards.update_hosts(self.table, ("a",), frozenset({"a"}), NOW_MS)
        self.copied = ShardPage(owner="a", incarnation=7, sequence=extend_revision(1, 3))

    def own_shard(self) -> Shard:
        """Own the shard in the first era, with two claims of which the copy has none."""
        page = attrs.evolve(self.copied, sequence=extend_revision(1, 9))
        self.read(page, extend_revision(1, 40), NOW_MS)
        shard = self.table.shards[0]
        shard.pending_write = None
        for digest in (RUN, SEALED):
            shard.claims[digest] = Claim(
                fingerprint=b"f",
                state=ClaimState.FINISHED,
                expires_ms=NOW_MS + 60_000,
                committed=True,
                sealed=digest == SEALED,
            )
        shard.unsealed[RUN] = None
        shard.segment_digests[4], shard.segment_expires_ms[4] = (SEALED,), NOW_MS + 60_000
        return shard

    def read(self, page: ShardPage, revision: int, now_ms: int) -> list[ShardPage]:
        """:return: pages that are written in response to a read"""
        self.table.last_input_ms = now_ms
        now = (now_ms, now_ms)
        actions = shards.handle_page_read(self.table, 0, page, revision, SETTINGS, *now)
        return [action.page for action in actions if isinstance(action, WritePage)]

    def restore(self, **changes: object) -> list[ShardPage]:
        page = attrs.evolve(self.copied, **changes)
        return self.read(page, extend_revision(2, 12), NOW_MS + 10_000)

    def test_owner_writes_all_its_claims_again(self) -> None:
        shard = self.own_shard()
        written = self.restore(segments=(SegmentRef(number=2, remaining_ms=9),))[0]
        self.assertTrue(shard.owned)
        self.assertEqual({claim.digest for claim in written.claims}, {RUN, SEALED})
        self.assertEqual((written.segments, get_era(written.sequence)), ((), 2))
        self.assertEqual(written.uncertain_ms, 0)

    def test_owner_named_by_the_copy_that_released_the_shard_does_not_go_on(self) -> None:
        self.own_shard()
        shard = self.table.shards[0]
        shard.owned = False
        self.assertEqual(self.restore(), [])
        self.assertFalse(shard.owned)

    def test_owner_after_a_pause_or_a_release_does_not_keep_the_shard(self) -> None:
        for state in ("ownership_unconfirmed", "releasing"):
            self.setUp()
            shard = self.own_shard()
            setattr(shard, state, True)
            with self.subTest(state=state):
                self.restore()
                self.assertFalse(shard.owned)

    def test_takeover_of_a_restored_page_waits_for_the_owner_and_is_uncertain(self) -> None:
        copied = attrs.evolve(self.copied, owner="")
        revision = extend_revision(2, 12)
        self.assertEqual(self.read(copied, revision, NOW_MS), [])
        written = self.read(copied, revision, NOW_MS + 3 * SETTINGS.renew_ms)[0]
        horizon_ms = SETTINGS.retry_horizon_ms + SETTINGS.max_call_age_ms
        self.assertEqual(written.uncertain_ms, horizon_ms)

    def test_page_that_the_copy_lacks_is_uncertain_after_the_first_era(self) -> None:
        shard = self.table.shards[0]
        for era, is_certain in ((0, True), (1, True), (2, False)):
            shard.revision, shard.page = extend_revision(era, 0), ShardPage()
            page = shard_ownership.build_takeover_page(self.table, shard, SETTINGS, NOW_MS)
            with self.subTest(era=era):
                self.assertEqual(page.uncertain_ms == 0, is_certain)

    def test_page_of_a_new_group_is_certain_when_the_last_restore_is_long_ago(self) -> None:
        shard = self.table.shards[0]
        horizon_ms = SETTINGS.retry_horizon_ms + SETTINGS.max_call_age_ms
        for now_ms in (NOW_MS, NOW_MS + horizon_ms):
            record_era(self.table, extend_revision(2, 0), SETTINGS, now_ms)
        shard.revision = extend_revision(2, 0)
        page = shard_ownership.build_takeover_page(self.table, shard, SETTINGS, NOW_MS)
        self.assertEqual(page.uncertain_ms, 0)


if __name__ == "__main__":
    unittest.main()
