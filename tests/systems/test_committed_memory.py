"""Tests of the tokens committed at engines, and of admission by them."""

from __future__ import annotations

import unittest

import attrs

from bench.committed_memory import replay_burst
from boragetiller.systems.overload.committed_memory import (
    CROSSING_MS,
    RECENT_MS,
    commit_request,
    count_own_tokens,
    has_memory,
    record_peer_parts,
    release_request,
)
from boragetiller.systems.peer_loads import record_report, set_load
from boragetiller.tables.committed_memory import CommittedMemory
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.servers import BackendServer, PeerLoad
from tests.systems.test_server_placement import (
    COSTS,
    choose,
    make_prompt,
    make_request,
    make_server,
)

MEMORY_TOKENS = 100_000
PROMPT = make_prompt("part", 13_000, "own", 3_000)
REQUEST = make_request(PROMPT, memory_tokens=MEMORY_TOKENS, typical_output_tokens=100.0)


class CommittedMemoryTest(unittest.TestCase):
    def test_shared_part_counts_until_its_last_request_ends(self) -> None:
        # Guards against an engine that counts as empty while it still holds a long shared part.
        memory = CommittedMemory()
        first, second = (commit_request(memory, PROMPT, 100.0, 0) for _ in range(2))
        self.assertEqual(count_own_tokens(memory, 0), 13_000 + 2 * 3_100)
        release_request(memory, first)
        self.assertEqual(count_own_tokens(memory, 0), 13_000 + 3_100)
        release_request(memory, second)
        self.assertEqual(count_own_tokens(memory, 0), 0)

    def test_part_that_a_peer_sent_later_is_counted_by_the_peer(self) -> None:
        # Guards against refusals because each of thirty routers counts the same shared part, and
        # against an engine that crashes because none does.
        memory = CommittedMemory()
        commit_request(memory, PROMPT, 100.0, 0)
        record_peer_parts(memory, PROMPT, CROSSING_MS - 1)
        self.assertEqual(count_own_tokens(memory, 300), 16_100)
        record_peer_parts(memory, PROMPT, 300)
        self.assertEqual(count_own_tokens(memory, 300), 3_100)
        self.assertEqual(count_own_tokens(memory, 300 + RECENT_MS), 16_100)
        record_peer_parts(memory, PROMPT, 5_000)
        commit_request(memory, PROMPT, 100.0, 5_001)
        self.assertEqual(count_own_tokens(memory, 5_001), 13_000 + 2 * 3_100)

    def test_declared_parts_commit_no_more_than_the_prompt(self) -> None:
        # Guards against a caller that blocks an engine for all others with a part of any size.
        memory = CommittedMemory()
        prompt = attrs.evolve(PROMPT, input_tokens=500, parts=(*PROMPT.parts[:1], *PROMPT.parts))
        commitment = commit_request(memory, prompt, 0.0, 0)
        self.assertEqual(count_own_tokens(memory, 0), 500)
        release_request(memory, commitment)
        self.assertEqual((memory.tokens, memory.shared_tokens, memory.shared_parts), (0, 0, {}))

    def test_part_counts_at_the_largest_size_that_a_request_declares(self) -> None:
        # Guards against a caller that hides the tokens of later requests behind a small part.
        server = make_server("e0")
        server.in_flight = 1
        small = commit_request(server.memory, make_prompt("part", 1, "own", 1), 0.0, 0)
        request = attrs.evolve(REQUEST, prompt=make_prompt("part", 89_500, "own", 500))
        self.assertFalse(has_memory(server, request, COSTS, 0))
        large = commit_request(server.memory, PROMPT, 0.0, 0)
        self.assertEqual(count_own_tokens(server.memory, 0), 13_000 + 3_000 + 1)
        for commitment in (large, small):
            release_request(server.memory, commitment)
        self.assertEqual((server.memory.tokens, server.memory.shared_tokens), (0, 0))


class HasMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [make_server("e0"), make_server("e1")]

    def fill(self, server: BackendServer, tokens: int) -> None:
        load = PeerLoad(in_flight=2, unread_tokens=(), sensitivity=0, committed_tokens=tokens)
        set_load(record_report(PeerLoadTable(), "r2", 0), server, load)

    def test_engines_that_peers_have_filled_get_only_streams_that_have_begun(self) -> None:
        preferred = choose(self.servers, REQUEST)
        assert preferred is not None
        self.fill(preferred.server, 80_000)
        other = choose(self.servers, REQUEST)
        assert other is not None
        self.assertIsNot(other.server, preferred.server)
        self.fill(other.server, 80_000)
        self.assertIsNone(choose(self.servers, REQUEST))
        self.assertIsNotNone(choose(self.servers, attrs.evolve(REQUEST, response_started=True)))

    def test_request_up_to_the_whole_memory_fits_an_engine_without_requests_only(self) -> None:
        # Guards against a request that is refused for ever, and one that crashes each engine.
        server = self.servers[0]
        large = attrs.evolve(REQUEST, prompt=make_prompt("p", 0, "own", 99_000))
        self.assertTrue(has_memory(server, large, COSTS, 0))
        too_large = attrs.evolve(REQUEST, prompt=make_prompt("p", 0, "own", 100_000))
        self.assertFalse(has_memory(server, too_large, COSTS, 0))
        self.fill(server, 1_000)
        self.assertFalse(has_memory(server, large, COSTS, 0))

    def test_requests_that_no_router_reports_count_at_the_average_size(self) -> None:
        # Guards against a router that is cut off from its peers and fills an engine further.
        server = self.servers[0]
        server.in_flight = 1
        commit_request(server.memory, make_prompt("p", 0, "own", 10_000), 0.0, 0)
        self.assertTrue(has_memory(server, REQUEST, COSTS, 0))
        for _ in range(20):
            server.record_reported_load(9, now_ms=0)
        self.assertFalse(has_memory(server, REQUEST, COSTS, 0))


class BurstReplayTest(unittest.TestCase):
    def test_burst_does_not_exceed_the_memory_of_an_engine_and_uses_most_of_it(self) -> None:
        # Guards against engines that crash in a burst, and against one that is half empty.
        unlimited, _ = replay_burst(0)
        self.assertGreater(unlimited, 300_000)
        most, _ = replay_burst(300_000)
        self.assertLessEqual(most, 300_000)
        self.assertGreaterEqual(most, 0.7 * 300_000)


if __name__ == "__main__":
    unittest.main()
