"""Tests of decisions about duties that the runs of whole routers do not reach."""

from __future__ import annotations

import unittest

from boragetiller.errors import EntryUnreadable
from boragetiller.systems.duties import acquisition, validity
from boragetiller.systems.duties.candidates import list_candidates
from boragetiller.tables.duties import Duty, DutyKind, DutyRecord, StoredDuty
from boragetiller.tables.known_routers import KnownRouters
from boragetiller.tables.store_writes import StoreLease

DUTY = Duty(DutyKind.SERVER_COUNT, "group/a")
RECORD = DutyRecord(token=1, holder="router-1", incarnation=2, attempt=3, lease_id=4)


class DutyDecisionsTest(unittest.TestCase):
    def test_transaction_touches_only_keys_of_its_era(self) -> None:
        # Guards against a transaction that a restored store executes late, with a lower token.
        keys = []
        for era in (1, 2):
            stored = StoredDuty(era=era, position=0, lease=None, token=None)
            transaction = acquisition.build_acquisition(DUTY, stored, RECORD)
            keys.append({write.key for write in transaction.writes})
            self.assertEqual({condition.key for condition in transaction.expected}, keys[-1])
        self.assertTrue(keys[0].isdisjoint(keys[1]))

    def test_keys_fit_the_store_and_differ(self) -> None:
        subjects = ("", "a", "a/b", "a%2Fb", "\u00e9" * 200, "\u00e9" * 201)
        keys = [acquisition.get_lease_key(Duty(DutyKind.SERVER_COUNT, s), 9) for s in subjects]
        self.assertEqual(len(set(keys)), len(subjects))
        self.assertLessEqual(max(len(key.encode()) for key in keys), 200)

    def test_longer_time_to_live_does_not_delay_renewals(self) -> None:
        # Guards against a renewal that is due only after the lease has ended by the own clock.
        lease = StoreLease(lease_id=1, ttl_ms=30_000, era=1)
        held = validity.hold_lease(lease, requested_ms=3_000, sent_ms=0)
        self.assertEqual(validity.compute_renewal_wait_ms(held, now_ms=0), 1_000)

    def test_unusable_record_is_refused(self) -> None:
        # Guards against a token that starts again because a key cannot be decoded.
        good = acquisition.encode_record(RECORD)
        self.assertEqual(acquisition.decode_record(good), RECORD)
        for value in (
            b"",
            b"[]",
            b"{}",
            good.replace(b'"token": 1', b'"token": 1.5'),
            b"[" * 5_000,
        ):
            with self.subTest(value=value[:20]), self.assertRaises(EntryUnreadable):
                acquisition.decode_record(value)

    def test_duties_are_spread_and_candidates_stay_when_others_leave(self) -> None:
        known = frozenset(f"router-{number}" for number in range(30))
        duties = [Duty(DutyKind.SERVER_COUNT, str(number)) for number in range(60)]
        before = [list_candidates(duty, KnownRouters(own="", known=known)) for duty in duties]
        self.assertGreater(len({candidates[0] for candidates in before}), 20)
        fewer = KnownRouters(own="", known=known - {"router-0"})
        for duty, candidates in zip(duties, before, strict=True):
            if "router-0" not in candidates:
                self.assertEqual(list_candidates(duty, fewer), candidates)


if __name__ == "__main__":
    unittest.main()
