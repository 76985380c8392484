"""Tests of the work times of servers and of placement that uses them."""

from __future__ import annotations

import unittest
from random import Random

from bench.server_speed import SpeedReplay
from boragetiller.systems.overload.server_speed import (
    compute_rank_step,
    current_work_time,
    lasting_work_time,
    record_work_time,
)
from boragetiller.systems.server_placement import estimate_placement
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_placement import ServerAssignment
from boragetiller.tables.server_speed import ServerSpeed
from tests.systems.test_server_placement import (
    COSTS,
    choose,
    make_prompt,
    make_request,
    make_server,
)


def record(speed: ServerSpeed, *observations: tuple[int, float], now_ms: int = 98_000) -> None:
    for observed_ms, work_time in observations:
        record_work_time(speed, work_time, observed_ms, now_ms)


class ServerSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = ServerSpeed()

    def test_short_slowness_counts_now_and_not_lastingly(self) -> None:
        # Guards against a server that counts as slow long after other work on its host has ended.
        record(self.speed, (92_000, 0.7), (92_500, 1.75))
        values = [current_work_time(self.speed, at_ms) for at_ms in (93_000, 93_250, 93_500)]
        self.assertEqual(values[0], 1.75)
        self.assertAlmostEqual(values[1], (1.75 + 0.7) / 2)
        self.assertAlmostEqual(values[2], 0.7)

    def test_lasting_value_follows_a_server_that_becomes_slower(self) -> None:
        # Guards against a minimum that never rises again.
        record(self.speed, (90_000, 0.7), (92_100, 1.7))
        self.assertEqual(lasting_work_time(self.speed, 93_000), 0.7)
        self.assertEqual(lasting_work_time(self.speed, 94_000), 1.7)

    def test_order_of_arrival_does_not_matter(self) -> None:
        # Guards against routers that reserve different engines although each heard the same.
        observations = [(94_000, 1.7), (95_900, 0.7), (96_000, 1.75), (97_000, 1.8)]
        expected = None
        for seed in range(20):
            speed = ServerSpeed()
            record(speed, *Random(seed).sample(observations, len(observations)))
            values = (current_work_time(speed, 97_100), lasting_work_time(speed, 97_100))
            expected = expected or values
            self.assertEqual(values, expected)
        self.assertEqual(expected, (1.8, 0.7))

    def test_server_that_stops_stating_its_work_time_returns_to_usual(self) -> None:
        # Guards against a server that counts as slow for ever after it no longer sends the header.
        record(self.speed, (90_000, 1.7))
        self.assertEqual(lasting_work_time(self.speed, 99_999), 1.7)
        self.assertEqual(lasting_work_time(self.speed, 100_000), 1.0)
        self.assertEqual(current_work_time(self.speed, 100_000), 1.0)


class PlacementBySpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [make_server(f"e{number}") for number in range(5)]

    def slow(self, *names: str, work_time: float = 1.7) -> None:
        for server in self.servers:
            observed = work_time if server.name in names else 0.7
            record_work_time(server.speed, observed, 0, 0)
            server.speed.rank_step = compute_rank_step(server.speed, 0)

    def test_reserved_engines_are_fast_ones(self) -> None:
        # Guards against stall-sensitive streams on engines where every prefill makes them late.
        ranks = GroupServers.build(self.servers).reservation_ranks
        ranked = sorted(ranks, key=ranks.__getitem__)
        self.slow(ranked[0], ranked[2])
        group = GroupServers.build(self.servers)
        found = sorted(ranks, key=group.reservation_ranks.__getitem__)
        self.assertEqual(found, [ranked[1], *ranked[3:], ranked[0], ranked[2]])

    def test_request_avoids_an_engine_that_is_slow_at_this_moment(self) -> None:
        # Guards against prompts that wait for an engine that other work on its host slows down.
        self.slow()
        request = make_request(make_prompt("part", 13_000, "own", 3_000))
        names = []
        for _ in range(2):
            chosen = choose(self.servers, request)
            assert chosen is not None
            names.append(chosen.server.name)
            record_work_time(chosen.server.speed, 1.75, 0, 0)
        self.assertNotEqual(*names)

    def test_work_time_multiplies_delay_and_interference(self) -> None:
        # Guards against a work time that counts for only one of the two.
        server = self.servers[0]
        request = make_request(make_prompt("part", 13_000, "own", 3_000))
        placements = []
        for work_time in (1.0, 2.0):
            record_work_time(server.speed, work_time, 0, 0)
            placements.append(estimate_placement(server, request, COSTS, 0, ServerAssignment()))
        usual, slow = placements
        self.assertAlmostEqual(slow.first_event_ms, 2 * usual.first_event_ms)
        self.assertAlmostEqual(slow.cost_ms, 2 * usual.cost_ms)

    def test_capacity_counts_the_lasting_work_time_of_the_response(self) -> None:
        # Guards against streams that are admitted and then miss their deadline.
        request = make_request(
            make_prompt("p", 300, "own", 100), typical_output_tokens=1_500.0, time_left_ms=9_000.0
        )
        self.assertIsNotNone(choose(self.servers, request))
        self.slow(*(server.name for server in self.servers))
        self.assertIsNone(choose(self.servers, request))

    def test_replay_of_bursts_keeps_more_streams_within_their_pause_target(self) -> None:
        before, observed = (SpeedReplay(Random(1), is_observed).run() for is_observed in (0, 1))
        self.assertLess(1 - observed.short_in_target, (1 - before.short_in_target) / 2)
        self.assertGreaterEqual(observed.long_completed, before.long_completed)


if __name__ == "__main__":
    unittest.main()
