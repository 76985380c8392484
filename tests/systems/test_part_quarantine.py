"""Quarantine of prompt parts that crash engines."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragetiller.gateway.peer_messages import (
    LENGTH_BYTES,
    PeerReport,
    decode_payload,
    encode_frame,
)
from boragetiller.systems.crash_suspects import (
    STRONG_WEIGHT,
    WEAK_WEIGHT,
    build_crash_id,
    find_suspect,
)
from boragetiller.systems.part_quarantine import (
    CRASH_TTL_MS,
    MAX_CRASHES_PER_PART,
    MAX_LISTED_REPORTS,
    MAX_PARTS,
    QUARANTINE_MS,
    apply_report,
    clear_parts,
    is_part_quarantined,
    list_explained_crashes,
    list_reports,
    quarantine_left_ms,
    record_crash,
)
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.direct_attempts import ResponseProgress
from boragetiller.tables.part_crashes import CrashSuspect, PartCrashTable


def make_prompt(*shared: str) -> Prompt:
    parts = tuple(PromptPart(part_id, 100) for part_id in (*shared, "own"))
    return Prompt(model="m", input_tokens=900, output_tokens=16, parts=parts)


def make_suspect(*parts: str, weight: int = STRONG_WEIGHT) -> CrashSuspect:
    return CrashSuspect(parts=parts, weight=weight)


class PartQuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PartCrashTable()

    def crash(self, server: str, *parts: str, now_ms: int = 0, weight: int = STRONG_WEIGHT) -> None:
        suspect = make_suspect(*parts, weight=weight)
        record_crash(self.table, build_crash_id(server, 7), [suspect], now_ms)

    def is_refused(self, *shared: str, now_ms: int = 100) -> bool:
        return quarantine_left_ms(self.table, make_prompt(*shared), now_ms) > 0

    def test_second_crash_quarantines_whatever_else_the_request_holds(self) -> None:
        self.crash("e1", "first", "poison")
        self.assertFalse(self.is_refused("first", "poison"))
        self.crash("e2", "other", "poison")
        self.assertTrue(self.is_refused("third", "poison"))

    def test_sound_request_with_one_of_two_suspected_parts_runs(self) -> None:
        self.crash("e1", "first", "poison")
        self.crash("e2", "first", "poison")
        self.assertTrue(self.is_refused("first", "poison"))
        self.assertFalse(self.is_refused("first"))

    def test_part_alone_is_refused_once_its_companion_is_cleared(self) -> None:
        self.crash("e1", "first", "poison")
        self.crash("e2", "first", "poison")
        clear_parts(self.table, ["first"], began_ms=10, now_ms=20)
        self.assertTrue(self.is_refused("poison"))
        self.assertFalse(self.is_refused("first"))

    def test_same_crash_seen_by_many_requests_counts_once(self) -> None:
        for _ in range(5):
            self.crash("e1", "first", "poison")
        self.assertFalse(self.is_refused("first", "poison"))

    def test_restarted_engine_with_the_same_name_counts_again(self) -> None:
        for started_ms in (7, 8):
            crash_id = build_crash_id("e1", started_ms)
            record_crash(self.table, crash_id, [make_suspect("poison")], 0)
        self.assertTrue(self.is_refused("poison"))

    def test_crashes_of_requests_with_events_count_half(self) -> None:
        for number in range(3):
            self.crash(f"e{number}", "session", weight=WEAK_WEIGHT)
        self.assertFalse(self.is_refused("session"))
        self.crash("e3", "session", weight=WEAK_WEIGHT)
        self.assertTrue(self.is_refused("session"))

    def test_answer_that_began_after_a_crash_clears_the_part(self) -> None:
        self.crash("e1", "common", now_ms=0)
        self.assertEqual(clear_parts(self.table, ["common"], began_ms=5, now_ms=10), ["common"])
        self.crash("e2", "common", now_ms=20)
        self.assertFalse(self.is_refused("common"))

    def test_answer_that_began_before_a_crash_clears_nothing(self) -> None:
        for number in range(6):
            self.crash(f"e{number}", "poison", now_ms=10 + number)
        self.assertEqual(clear_parts(self.table, ["poison"], began_ms=5, now_ms=30), [])
        self.assertTrue(self.is_refused("poison"))

    def test_quarantine_ends_and_one_further_crash_renews_it(self) -> None:
        self.crash("e1", "poison", now_ms=0)
        self.crash("e2", "poison", now_ms=0)
        self.assertEqual(quarantine_left_ms(self.table, make_prompt("poison"), 100), 599_900)
        self.assertFalse(self.is_refused("poison", now_ms=QUARANTINE_MS))
        self.crash("e3", "poison", now_ms=QUARANTINE_MS + 10)
        self.assertTrue(self.is_refused("poison", now_ms=QUARANTINE_MS + 20))
        self.assertFalse(self.is_refused("poison", now_ms=QUARANTINE_MS + 10 + CRASH_TTL_MS))

    def test_crash_is_explained_by_a_quarantined_part_only(self) -> None:
        self.crash("e1", "poison")
        self.assertEqual(list_explained_crashes(self.table, 10), set())
        self.crash("e2", "poison")
        self.assertEqual(list_explained_crashes(self.table, 10), {"e1", "e2"})

    def test_part_that_began_beside_the_cause_runs_again(self) -> None:
        for number in range(4):
            record_crash(
                self.table,
                build_crash_id(f"e{number}", 0),
                [make_suspect("first", "poison"), make_suspect("common", f"s{number}")],
                0,
            )
        self.crash("e9", "first", "poison")
        self.assertTrue(self.is_refused("first", "poison"))
        self.assertFalse(self.is_refused("common", "s7"))

    def test_part_that_was_answered_before_needs_more_crashes(self) -> None:
        clear_parts(self.table, ["common"], began_ms=0, now_ms=1_000)
        for number in range(5):
            self.crash(f"e{number}", "common", now_ms=2_000)
        self.assertFalse(self.is_refused("common", now_ms=2_100))
        self.crash("e5", "common", now_ms=2_000)
        self.assertTrue(self.is_refused("common", now_ms=2_100))

    def test_memory_is_bounded_and_keeps_quarantined_parts(self) -> None:
        self.crash("e1", "poison")
        self.crash("e2", "poison")
        for number in range(MAX_PARTS + 50):
            self.crash("e3", f"part-{number}")
        for number in range(MAX_CRASHES_PER_PART + 5):
            self.crash(f"f{number}", "often")
        self.assertEqual(len(self.table.by_part), MAX_PARTS)
        self.assertEqual(len(self.table.by_part["often"]), MAX_CRASHES_PER_PART)
        self.assertLessEqual(len(self.table.parts_by_crash), MAX_CRASHES_PER_PART + 3)
        self.assertTrue(self.is_refused("poison"))
        self.assertEqual(len(list_reports(self.table, 10)), MAX_LISTED_REPORTS)


class ReportTest(unittest.TestCase):
    """Exchange of crashes between routers."""

    def test_prompt_with_many_long_parts_does_not_fit_into_a_frame(self) -> None:
        table = PartCrashTable()
        for number in range(8):
            prompt = make_prompt(*(f"{number}-{part}-".ljust(4_000, "x") for part in range(255)))
            suspect = find_suspect(prompt, ResponseProgress(started_ms=0), 10)
            assert suspect is not None
            record_crash(table, f"e{number}@0", [suspect], 10)
        reports = list_reports(table, 20)
        self.assertTrue(reports)
        report = PeerReport(config_revision=1, servers_revision=1, part_crashes=reports)
        self.assertEqual(decode_payload(encode_frame(report)[LENGTH_BYTES:]), report)

    def test_long_part_is_quarantined_like_a_short_one(self) -> None:
        table = PartCrashTable()
        prompt = make_prompt("x" * 4_000)
        for number in range(2):
            suspect = find_suspect(prompt, ResponseProgress(started_ms=0), 10)
            assert suspect is not None
            record_crash(table, f"e{number}@0", [suspect], 10)
        self.assertGreater(quarantine_left_ms(table, prompt, 20), 0)
        self.assertEqual(quarantine_left_ms(table, make_prompt("x" * 4_001), 20), 0)

    def test_router_that_starts_late_learns_of_a_quarantine(self) -> None:
        table, late = PartCrashTable(), PartCrashTable()
        for server in ("e1@0", "e2@0"):
            record_crash(table, server, [make_suspect("poison")], 0)
        for report in list_reports(table, 1_000):
            apply_report(late, report, 50_000)
        self.assertTrue(is_part_quarantined(late, "poison", 50_000))
        self.assertEqual(
            quarantine_left_ms(late, make_prompt("poison"), 50_000), QUARANTINE_MS - 1_000
        )

    def test_new_report_is_relayed_once(self) -> None:
        table, relay = PartCrashTable(), PartCrashTable()
        record_crash(table, "e1@0", [make_suspect("poison")], 0)
        (report,) = table.recent.since(0)
        apply_report(relay, report, 0)
        apply_report(relay, report, 10)
        self.assertEqual(relay.recent.count, 1)

    @given(st.permutations(range(6)), st.integers(0, 5))
    def test_reports_in_any_order_lead_to_the_same_state(
        self, order: list[int], again: int
    ) -> None:
        source = PartCrashTable()
        record_crash(source, "e1@0", [make_suspect("first", "poison")], 0)
        record_crash(source, "e2@0", [make_suspect("other", "poison")], 1)
        clear_parts(source, ["first", "other"], began_ms=2, now_ms=3)
        reports = source.recent.since(0)
        self.assertEqual(len(reports), 6)
        table = PartCrashTable()
        for number in (*order, again):
            apply_report(table, reports[number], 5)
        self.assertEqual(
            [part for part in ("poison", "first", "other") if is_part_quarantined(table, part, 6)],
            ["poison"],
        )


if __name__ == "__main__":
    unittest.main()
