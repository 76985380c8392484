"""Pauses of servers over orders of answers, incarnations, lists and clock time."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.systems.candidates import select_candidates
from boragetiller.systems.overload.server_pauses import (
    MAX_PAUSE_MS,
    MAX_PAUSES,
    first_pause_left_ms,
    list_paused,
    mark_replaced,
    pause_left_ms,
    record_pause,
    remove_ended,
    spread_return_ms,
)
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_pauses import ServerPauseTable
from boragetiller.tables.server_table import ServerTable
from tests.systems.test_server_placement import make_request, make_server

if TYPE_CHECKING:
    from boragetiller.tables.servers import ServerRecord

GRACE_MS = 500  # after the answer, in which the users' rule allows requests
USED_AGAIN_MS = 1_000
RECORD = make_server("a").record

PAUSES_MS = (0, 300, 700, 2_000, 10_000, 400_000)
WAITS_MS = (1, 499, 500, 1_000, 2_500, 301_000)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("answer"), st.integers(1, 2), st.sampled_from(PAUSES_MS)),
        st.tuples(st.just("list"), st.integers(0, 2), st.just(0)),  # 0: listed no more
        st.tuples(st.just("wait"), st.just(0), st.sampled_from(WAITS_MS)),
    ),
    max_size=30,
)


def make_record(started_ms: int) -> ServerRecord:
    return attrs.evolve(RECORD, started_ms=started_ms)


class ServerPausePropertyTest(unittest.TestCase):
    @given(STEPS)
    @settings(derandomize=True, max_examples=400, deadline=None)
    def test_requests_in_a_pause_or_none_long_after_it(self, steps: list[tuple]) -> None:
        """
        Compare with a model of the rule after each step.

        Answers may be of an incarnation that is not listed any more, and an earlier incarnation
        may be listed again, as by a restored store.
        """
        table, servers, now_ms = ServerPauseTable(), ServerTable(), 0
        servers.replace([make_record(1)], now_ms)
        asked: dict[int, list[tuple[int, int]]] = {1: [], 2: []}  # begin and end
        for kind, started_ms, value_ms in steps:
            if kind == "answer":
                record_pause(table, make_record(started_ms), value_ms, now_ms)
                asked[started_ms].append((now_ms, now_ms + min(value_ms, MAX_PAUSE_MS)))
            elif kind == "list":
                servers.replace([make_record(started_ms)] if started_ms else [], now_ms)
                mark_replaced(table, servers.by_name, now_ms)
            else:
                now_ms += value_ms
                remove_ended(table, now_ms)
            server = servers.by_name.get("a")
            if server is None:
                continue
            is_sent = "a" not in list_paused(table, servers.by_name, now_ms)
            self.assertEqual(is_sent, pause_left_ms(table, server.record, now_ms) == 0)
            pauses = asked[server.record.started_ms]
            if any(begun + GRACE_MS <= now_ms < end for begun, end in pauses):
                self.assertFalse(is_sent)
            if all(now_ms >= end + USED_AGAIN_MS for _, end in pauses):
                self.assertTrue(is_sent)

    def test_pause_without_end_or_bound_on_memory(self) -> None:
        table = ServerPauseTable()
        for number in range(MAX_PAUSES + 10):
            record_pause(table, make_record(number), 1e12, number)
        self.assertEqual(len(table.by_incarnation), MAX_PAUSES)
        self.assertEqual(pause_left_ms(table, make_record(10), 10), MAX_PAUSE_MS)
        self.assertEqual(pause_left_ms(table, make_record(10), 10 + MAX_PAUSE_MS), 0)

    def test_refused_callers_come_back_before_the_first_pause_ends_or_all_at_once(self) -> None:
        table, group = ServerPauseTable(), [make_server("a"), make_server("b")]
        self.assertEqual(first_pause_left_ms(table, group, 0), 0)
        for server, pause_ms in zip(group, (9_000, 4_000), strict=True):
            record_pause(table, server.record, pause_ms, 0)
        left_ms = first_pause_left_ms(table, group, 1_000)
        self.assertEqual(left_ms, 3_000)
        times_ms = [spread_return_ms(left_ms, Random(seed)) for seed in range(50)]
        self.assertGreaterEqual(min(times_ms), left_ms)
        self.assertGreater(max(times_ms) - min(times_ms), 1_000)

    def test_call_finds_the_one_server_of_a_large_group_that_does_not_pause(self) -> None:
        group = GroupServers.build(make_server(f"e{number}") for number in range(200))
        names = {server.name for server in group.servers[:-1]}
        for seed in range(50):
            found = select_candidates(group, make_request(None), names, Random(seed), 0)
            self.assertEqual(found, [group.servers[-1]])


if __name__ == "__main__":
    unittest.main()
