"""Tests of the sums of other routers' loads."""

from __future__ import annotations

import unittest
from random import Random

from boragetiller.systems.peer_loads import (
    LOAD_REPORT_TTL_MS,
    exclude_silent_peers,
    record_report,
    remove_load,
    remove_peer,
    set_load,
)
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.servers import URGENCY_LEVELS, BackendServer, PeerLoad, ServerRecord


def make_server(name: str) -> BackendServer:
    record = ServerRecord(
        name=name,
        group="g",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=8,
        draining=False,
        started_ms=0,
        warm_up_left_ms=0.0,
    )
    return BackendServer(record)


def make_load(in_flight: int, tokens: int = 0) -> PeerLoad:
    return PeerLoad(in_flight=in_flight, unread_tokens=(0, tokens, 0, 0), sensitivity=0.5)


class PeerLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PeerLoadTable()
        self.server = make_server("e")

    def test_load_replaces_the_previous_load_of_the_router(self) -> None:
        set_load(record_report(self.table, "r1", 0), self.server, make_load(2, 700))
        set_load(record_report(self.table, "r1", 100), self.server, make_load(3, 500))
        set_load(record_report(self.table, "r2", 100), self.server, make_load(1, 40))
        self.assertEqual(self.server.peer_load.in_flight, 4)
        self.assertEqual(self.server.peer_load.unread_tokens, [0, 540] + [0] * (URGENCY_LEVELS - 2))
        self.assertEqual(self.server.peer_load.routers, 2)

    def test_silent_router_is_excluded_until_its_next_report(self) -> None:
        set_load(record_report(self.table, "r1", 0), self.server, make_load(2))
        set_load(record_report(self.table, "r2", 900), self.server, make_load(1))
        exclude_silent_peers(self.table, LOAD_REPORT_TTL_MS)
        exclude_silent_peers(self.table, LOAD_REPORT_TTL_MS)
        self.assertEqual(self.server.peer_load.in_flight, 1)
        record_report(self.table, "r1", LOAD_REPORT_TTL_MS + 1)
        self.assertEqual(self.server.peer_load.in_flight, 3)

    def test_load_at_an_earlier_incarnation_does_not_affect_the_next_one(self) -> None:
        set_load(record_report(self.table, "r1", 0), self.server, make_load(2))
        restarted = make_server("e")
        set_load(record_report(self.table, "r1", 100), restarted, make_load(1))
        self.assertEqual(restarted.peer_load.in_flight, 1)
        self.assertEqual(self.server.peer_load.in_flight, 0)

    def test_load_at_a_deregistered_server_is_removed(self) -> None:
        peer_loads = record_report(self.table, "r1", 0)
        set_load(peer_loads, self.server, make_load(2))
        remove_load(peer_loads, "e")
        remove_load(peer_loads, "unknown")
        self.assertEqual(peer_loads.loads, {})
        self.assertEqual(self.server.peer_load.in_flight, 0)

    def test_sums_equal_recomputed_sums_after_any_sequence_of_reports(self) -> None:
        rng = Random(5)
        servers = [make_server(f"e{number}") for number in range(4)]
        reported: dict[tuple[str, str], int] = {}
        for step in range(2_000):
            peer, server = f"r{rng.randrange(5)}", rng.choice(servers)
            if rng.random() < 0.05:
                remove_peer(self.table, peer)
                reported = {key: count for key, count in reported.items() if key[0] != peer}
                continue
            count = rng.randrange(4)
            set_load(record_report(self.table, peer, step), server, make_load(count, 10 * count))
            reported[peer, server.name] = count
        for server in servers:
            counts = [count for key, count in reported.items() if key[1] == server.name]
            self.assertEqual(server.peer_load.in_flight, sum(counts))
            self.assertEqual(server.peer_load.unread_tokens[1], 10 * sum(counts))
            self.assertAlmostEqual(server.peer_load.sensitivity, 0.5 * sum(c > 0 for c in counts))


if __name__ == "__main__":
    unittest.main()
