"""Shares of the request limits that backend servers name."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.systems.server_limits import (
    AGING_PERIOD,
    CONFIRM_INTERVAL_MS,
    MAX_REPORT_DELAY_MS,
    MAX_SERVERS,
    apply_limit,
    apply_report,
    compute_retry_ms,
    compute_share_per_s,
    list_exhausted_servers,
    list_limited_servers,
    list_limits,
    retain_servers,
    set_members,
    take_token,
)
from boragetiller.tables.server_limits import LimitReport, RouterMembership, ServerLimitTable

WINDOW_MS = 4_000
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5  # what the users' rule allows beyond the limit
URGENCY = 3


def make_members(count: int) -> frozenset[str]:
    return frozenset(f"router-{number}" for number in range(count))


def make_table(name: str, members: frozenset[str]) -> ServerLimitTable:
    table = ServerLimitTable()
    set_members(table, name, members - {name})
    return table


class FleetTest(unittest.TestCase):
    """All routers of a fleet before one server, in virtual time."""

    def play(
        self, routers: int, limit_per_s: float, seconds: int, views: dict[str, frozenset[str]]
    ) -> list[int]:
        """:return: times in milliseconds of all requests that the server gets under full demand"""
        tables = {name: make_table(name, views[name]) for name in sorted(views)}
        self.assertEqual(len(tables), routers)
        for table in tables.values():
            apply_limit(table, "e", limit_per_s, 0, 0)
        rng = random.Random(7)
        sent_ms = []
        for now_ms in range(0, seconds * 1_000, 20):
            names = list(tables)
            rng.shuffle(names)
            for name in names:
                if "e" not in list_exhausted_servers(tables[name], URGENCY, now_ms):
                    take_token(tables[name], "e")
                    sent_ms.append(now_ms)
        return sent_ms

    def assert_within_limit(self, sent_ms: list[int], limit_per_s: float) -> None:
        allowed = EXCESS_RATIO * limit_per_s * WINDOW_MS / 1_000 + EXCESS_REQUESTS
        for start_ms in sent_ms:
            in_window = [ms for ms in sent_ms if start_ms <= ms < start_ms + WINDOW_MS]
            self.assertLessEqual(len(in_window), allowed)

    def test_fleet_exceeds_a_limit(self) -> None:
        for routers in (1, 4, 150):
            for limit_per_s in (0.4, 1.0, 1.2, 7.5, 40.0):
                members = make_members(routers)
                sent_ms = self.play(
                    routers, limit_per_s, 12, {member: members for member in members}
                )
                self.assert_within_limit(sent_ms, limit_per_s)
                self.assertGreaterEqual(len(sent_ms), 0.5 * limit_per_s * 12 - 2)

    def test_burst_after_a_pause_exceeds_a_limit(self) -> None:
        for routers in (4, 150):
            members = make_members(routers)
            sent = 0
            for name in members:
                table = make_table(name, members)
                apply_limit(table, "e", 1.0, 0, 0)
                if "e" not in list_exhausted_servers(table, URGENCY, 3_600_000):
                    sent += 1
            self.assertLessEqual(sent, EXCESS_RATIO * WINDOW_MS / 1_000 + EXCESS_REQUESTS)
            self.assertGreater(sent, 0)

    def test_router_that_joined_is_known_to_none_yet(self) -> None:
        members = make_members(4)
        views = {member: members for member in members}
        views["router-4"] = members | {"router-4"}
        self.assert_within_limit(self.play(5, 1.0, 12, views), 1.0)

    def test_small_fleet_gives_each_router_a_share(self) -> None:
        members = make_members(4)
        for member in members:
            membership = RouterMembership(own=member, members=members)
            self.assertEqual(compute_share_per_s(1.0, "e", membership), 0.25)

    @settings(derandomize=True, deadline=None)
    @given(st.integers(1, 200), st.floats(0.1, 300.0))
    def test_shares_add_up_to_the_limit(self, routers: int, limit_per_s: float) -> None:
        members = make_members(routers)
        shares = [
            compute_share_per_s(limit_per_s, "e", RouterMembership(own=member, members=members))
            for member in members
        ]
        self.assertAlmostEqual(sum(shares), limit_per_s, delta=1e-6 * limit_per_s)


class LimitTest(unittest.TestCase):
    """Limits at one router."""

    def setUp(self) -> None:
        self.table = make_table("router-0", make_members(1))

    def test_limit_ends_with_a_response_that_names_none(self) -> None:
        apply_limit(self.table, "e", 1.0, 0, 0)
        self.assertEqual(list_exhausted_servers(self.table, URGENCY, 10), {"e"})
        self.assertTrue(apply_limit(self.table, "e", None, 20, 20))
        self.assertEqual(list_exhausted_servers(self.table, URGENCY, 30), set())
        self.assertEqual(list_limited_servers(self.table), frozenset())

    def test_changed_limit_changes_the_share(self) -> None:
        apply_limit(self.table, "e", 1.0, 0, 0)
        apply_limit(self.table, "e", 10.0, 100, 100)
        self.assertEqual(list_exhausted_servers(self.table, URGENCY, 250), set())

    def test_older_report_does_not_replace_a_newer_response(self) -> None:
        apply_limit(self.table, "e", None, 0, 0)
        apply_limit(self.table, "e", 2.0, 5_000, 5_000)
        report = LimitReport(server="e", limit_per_s=1.0, age_ms=0)
        self.assertFalse(apply_report(self.table, report, 5_000 + MAX_REPORT_DELAY_MS))
        self.assertTrue(apply_report(self.table, report, 5_001 + MAX_REPORT_DELAY_MS))

    def test_two_routers_never_exchange_the_same_limit_without_end(self) -> None:
        other = make_table("router-1", make_members(2))
        apply_limit(self.table, "e", 1.0, 0, 0)
        apply_limit(other, "e", 2.0, 50, 50)
        for round_ms in range(200, 1_000, 100):
            for source, target in ((self.table, other), (other, self.table)):
                for report in source.recent.since(0):
                    apply_report(target, report, round_ms)
        self.assertLessEqual(self.table.recent.count + other.recent.count, 4)

    def test_limit_is_confirmed_to_peers_at_intervals(self) -> None:
        for now_ms in range(0, 3 * CONFIRM_INTERVAL_MS, 100):
            apply_limit(self.table, "e", 1.0, now_ms + 1, now_ms + 1)
        self.assertEqual(self.table.recent.count, 3)

    def test_new_peer_is_told_of_the_limits_in_force(self) -> None:
        apply_limit(self.table, "e", 1.0, 0, 0)
        apply_limit(self.table, "f", 1.0, 0, 0)
        apply_limit(self.table, "f", None, 5, 5)
        self.assertEqual(
            list_limits(self.table, 10), (LimitReport(server="e", limit_per_s=1.0, age_ms=10),)
        )

    def test_less_urgent_requests_leave_tokens_to_refused_ones_but_do_not_starve(self) -> None:
        apply_limit(self.table, "e", 1_000.0, 0, 0)
        compute_retry_ms(self.table, "g", ["e"], 1, 1_000.0, 900)
        tried = [list_exhausted_servers(self.table, 5, 1_000) for _ in range(2 * AGING_PERIOD)]
        self.assertEqual(tried.count(set()), 2)
        self.assertEqual(list_exhausted_servers(self.table, 1, 1_000), set())

    def test_refused_callers_return_one_for_each_token(self) -> None:
        apply_limit(self.table, "e", 2.0, 0, 0)
        turns = [compute_retry_ms(self.table, "g", ["e"], 1, 9_000.0, 0) for _ in range(8)]
        self.assertEqual(turns, [500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 3_500])

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_SERVERS + 3):
            apply_limit(self.table, f"e{number}", 1.0, 0, 0)
        self.assertEqual(len(self.table.by_server), MAX_SERVERS)
        retain_servers(self.table, ["e9"])
        self.assertEqual(list(self.table.by_server), ["e9"])


if __name__ == "__main__":
    unittest.main()
