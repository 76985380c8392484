"""Tests of the choice of a backend server and of the prefix cache estimate."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

import attrs

from boragetiller.systems.peer_loads import exclude_silent_peers, record_report, set_load
from boragetiller.systems.prefix_cache import (
    estimate_prefill_share,
    estimate_uncached_tokens,
    record_prefill,
)
from boragetiller.systems.server_placement import (
    choose_server,
    compute_stream_sensitivity,
    count_reserved_servers,
)
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.server_placement import (
    Placement,
    PlacementCostModel,
    ServerPlacementRequest,
)
from boragetiller.tables.server_table import ServerTable
from boragetiller.tables.servers import (
    BackendServer,
    PeerLoad,
    PendingPrompt,
    ServerRecord,
)

COSTS = PlacementCostModel()
CACHE_TOKENS = 400_000
PREFILL_TOKENS_PER_MS = 60.0


def make_server(name: str, **fields: object) -> BackendServer:
    record = ServerRecord(
        name=name,
        group="g",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=64,
        draining=False,
        started_ms=0,
        warm_up_left_ms=0.0,
    )
    return BackendServer(attrs.evolve(record, **fields), joined_ms=-100_000)


def make_prompt(prefix: str, prefix_tokens: int, own: str, own_tokens: int) -> Prompt:
    parts = (PromptPart(prefix, prefix_tokens), PromptPart(own, own_tokens))
    return Prompt(
        model="m", input_tokens=prefix_tokens + own_tokens, output_tokens=100, parts=parts
    )


def make_request(prompt: Prompt | None, **fields: object) -> ServerPlacementRequest:
    defaults = {
        "urgency": 1,
        "target_ms": 600.0,
        "sensitivity": 0.0,
        "failure_domain": "a",
        "time_left_ms": 10_000.0,
        "caller_event_timeout_ms": 10_000.0,
        "typical_output_tokens": 0.0,
    }
    return ServerPlacementRequest(prompt=prompt, **(defaults | fields))


def choose(
    servers: list[BackendServer], request: ServerPlacementRequest, now_ms: int = 0
) -> Placement | None:
    return choose_server(GroupServers.build(servers), servers, request, COSTS, now_ms)


class ChooseServerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.servers = [make_server(f"e{number}") for number in range(5)]
        self.prompt = make_prompt("part", 13_000, "own", 3_000)

    def choose(self, request: ServerPlacementRequest, now_ms: int = 0) -> BackendServer:
        placement = choose(self.servers, request, now_ms)
        assert placement is not None
        return placement.server

    def test_choose_returns_none_without_servers(self) -> None:
        self.assertIsNone(choose([], make_request(None)))

    def test_choose_skips_full_and_ejected_servers(self) -> None:
        for server in self.servers[1:3]:
            server.full_until_ms = 50
        for server in self.servers[3:]:
            server.health.ejected_until_ms = 50
        self.assertIs(self.choose(make_request(None)), self.servers[0])

    def test_choose_uses_ejected_servers_when_there_are_no_others(self) -> None:
        for server in self.servers:
            server.health.ejected_until_ms = 50
        self.assertIsNotNone(self.choose(make_request(None)))

    def test_choose_prefers_the_engine_that_has_the_prefix_cached(self) -> None:
        other = make_prompt("part", 13_000, "else", 3_000)
        for server in self.servers:
            server.cached_parts.clear()
            record_prefill(server, other, COSTS, CACHE_TOKENS, 0)
            self.assertIs(self.choose(make_request(self.prompt)), server)
            server.cached_parts.clear()

    def test_choose_avoids_the_engine_with_the_prefix_when_its_queue_is_much_longer(self) -> None:
        preferred = self.choose(make_request(self.prompt))
        record_prefill(preferred, self.prompt, COSTS, CACHE_TOKENS, 0)
        preferred.add_pending_prompt("x", PendingPrompt(tokens=200_000, urgency=0))
        self.assertIsNot(self.choose(make_request(self.prompt)), preferred)

    def test_choose_counts_the_load_of_peers_until_it_is_stale(self) -> None:
        preferred = self.choose(make_request(self.prompt))
        load = PeerLoad(in_flight=9, unread_tokens=(0, 200_000, 0, 0), sensitivity=0)
        table = PeerLoadTable()
        set_load(record_report(table, "r2", 0), preferred, load)
        self.assertIsNot(self.choose(make_request(self.prompt), now_ms=10), preferred)
        exclude_silent_peers(table, 5_000)
        self.assertIs(self.choose(make_request(self.prompt), now_ms=5_000), preferred)

    def test_choose_avoids_a_server_that_reports_load_unknown_to_routers(self) -> None:
        for server in self.servers:
            server.in_flight = 2
        preferred = self.choose(make_request(None))
        for _ in range(10):
            preferred.record_reported_load(90, now_ms=0)
        self.assertIsNot(self.choose(make_request(None), now_ms=10), preferred)
        self.assertIs(self.choose(make_request(None), now_ms=10_000), preferred)

    def test_load_reported_by_server_and_routers_counts_once(self) -> None:
        server = self.servers[0]
        load = PeerLoad(in_flight=9, unread_tokens=(), sensitivity=0)
        set_load(record_report(PeerLoadTable(), "r2", 0), server, load)
        server.record_reported_load(7, now_ms=0)
        self.assertEqual(server.estimate_unreported_requests(0), 0.0)

    def test_routers_without_load_information_choose_the_same_server(self) -> None:
        for number in range(20):
            prompt = make_prompt(f"part{number}", 13_000, "own", 3_000)
            chosen = self.choose(make_request(prompt)).name
            shuffled = [make_server(server.name) for server in self.servers]
            Random(number).shuffle(shuffled)
            placement = choose(shuffled, make_request(prompt))
            self.assertEqual(placement and placement.server.name, chosen)

    def test_choose_prefers_the_own_failure_domain_when_all_else_is_equal(self) -> None:
        self.servers = [make_server("near"), make_server("far", failure_domain="b")]
        self.assertEqual(self.choose(make_request(None)).name, "near")

    def test_long_prompts_avoid_reserved_engines(self) -> None:
        group = GroupServers.build(self.servers)
        count = count_reserved_servers(group, COSTS)
        reserved = {name for name, rank in group.reservation_ranks.items() if rank < count}
        for number in range(30):
            prompt = make_prompt(f"part{number}", 13_000, "own", 3_000)
            self.assertNotIn(self.choose(make_request(prompt)).name, reserved)

    def test_sensitive_streams_go_to_the_engine_with_least_prefill(self) -> None:
        short = make_prompt("s", 300, "own", 1_000)
        for number, server in enumerate(self.servers[1:] * 4):
            prompt = make_prompt(f"part{number}", 13_000, "own", 3_000)
            record_prefill(server, prompt, COSTS, CACHE_TOKENS, 0)
        request = make_request(short, sensitivity=1.0, target_ms=300.0, urgency=0)
        self.assertIs(self.choose(request, now_ms=10), self.servers[0])


class PrefixCacheTest(unittest.TestCase):
    def test_cached_part_counts_only_after_cached_parts(self) -> None:
        server = make_server("e")
        server.cached_parts["own"] = 3_000
        prompt = make_prompt("part", 13_000, "own", 3_000)
        self.assertEqual(estimate_uncached_tokens(server, prompt, COSTS), 16_000)
        server.cached_parts["part"] = 13_000
        self.assertEqual(estimate_uncached_tokens(server, prompt, COSTS), 0)

    def test_record_prefill_evicts_the_oldest_parts(self) -> None:
        server = make_server("e")
        for number in range(40):
            record_prefill(
                server, make_prompt(f"p{number}", 13_000, "own", 0), COSTS, CACHE_TOKENS, 0
            )
        self.assertLessEqual(server.cached_tokens, CACHE_TOKENS)
        self.assertNotIn("p0", server.cached_parts)
        self.assertIn("p39", server.cached_parts)

    def test_part_that_exceeds_the_cache_evicts_no_other(self) -> None:
        # Guards against an estimate of the cache that the declared size of one part empties.
        server = make_server("a")
        record_prefill(server, make_prompt("p", 13_000, "own", 10), COSTS, CACHE_TOKENS, 0)
        cached = dict(server.cached_parts)
        record_prefill(server, make_prompt("x", CACHE_TOKENS + 1, "y", 1), COSTS, CACHE_TOKENS, 0)
        self.assertEqual(dict(server.cached_parts), cached | {"y": 1})

    def test_number_of_cached_parts_is_bounded(self) -> None:
        # Guards against an estimate that grows without bound by parts of no or few tokens.
        server = make_server("a")
        with patch("boragetiller.systems.prefix_cache.MAX_CACHED_PARTS", 50):
            for number in range(40):
                for tokens in (0, 1):
                    prompt = make_prompt(f"p{number}-{tokens}", tokens, f"own{number}", 1)
                    record_prefill(server, prompt, COSTS, CACHE_TOKENS, 0)
        self.assertEqual(len(server.cached_parts), 50)
        self.assertEqual(server.cached_tokens, 50)

    def test_part_without_tokens_does_not_hide_the_cached_parts_after_it(self) -> None:
        server = make_server("a")
        prompt = make_prompt("empty", 0, "own", 10)
        record_prefill(server, prompt, COSTS, CACHE_TOKENS, 0)
        self.assertEqual(estimate_uncached_tokens(server, prompt, COSTS), 0)

    def test_prefill_share_decays(self) -> None:
        server = make_server("e")
        record_prefill(server, make_prompt("p", 60_000, "own", 0), COSTS, CACHE_TOKENS, 0)
        self.assertAlmostEqual(estimate_prefill_share(server, COSTS, 0), 0.5)
        self.assertLess(estimate_prefill_share(server, COSTS, 10_000), 0.01)

    def test_sensitivity_decreases_with_the_gap_target(self) -> None:
        values = [compute_stream_sensitivity(gap_ms, COSTS) for gap_ms in (80, 160, 300, 800)]
        self.assertEqual(values[:2], [1.0, 1.0])
        self.assertGreater(values[2], values[3])
        self.assertEqual(compute_stream_sensitivity(0, COSTS), 0.0)

    def test_sensitivity_to_a_gap_target_of_nearly_zero_is_one(self) -> None:
        # Guards against the OverflowError of a float power, for every stream of the route.
        for gap_target_ms in (1e-150, 1e-300, 5e-324):
            self.assertEqual(compute_stream_sensitivity(gap_target_ms, COSTS), 1.0)


class BurstReplayTest(unittest.TestCase):
    """
    In a burst of long prompts with shared prefixes, a prefix must not be prefilled again and again.

    Four routers send the burst to five model engines. A model engine prefills its prompts in order
    of arrival, without the parts that it has prefilled before.
    """

    ROUTERS = 4
    PREFIXES = 64
    REQUESTS = 120
    INTERVAL_MS = 60  # 17 requests per second

    def replay(self, *, exchange: bool, least_outstanding: bool = False) -> int:
        """:return: number of prefix tokens that were prefilled more than once"""
        rng = Random(7)
        self.ends_ms: dict[str, float] = {}
        tables = [[make_server(f"e{n}") for n in range(5)] for _ in range(self.ROUTERS)]
        cached: dict[str, set[str]] = {f"e{n}": set() for n in range(5)}
        free_ms = dict.fromkeys(cached, 0.0)
        repeated = 0
        for number in range(self.REQUESTS):
            now_ms = number * self.INTERVAL_MS
            router = rng.randrange(self.ROUTERS)
            prefix = f"p{rng.randrange(self.PREFIXES)}"
            prompt = make_prompt(prefix, 13_000, f"own{number}", 3_700)
            self._remove_prefilled(tables, now_ms)
            name = self._place(tables[router], prompt, now_ms, least_outstanding=least_outstanding)
            new = 3_700 if prefix in cached[name] else 16_700
            if new > 3_700 and any(prefix in parts for parts in cached.values()):
                repeated += 13_000
            cached[name].add(prefix)
            free_ms[name] = max(free_ms[name], now_ms) + new / PREFILL_TOKENS_PER_MS
            for index, table in enumerate(tables):
                if index == router or exchange:
                    self._record(table, name, prompt, number, free_ms[name])
        return repeated

    def _place(
        self, table: list[BackendServer], prompt: Prompt, now_ms: int, *, least_outstanding: bool
    ) -> str:
        if least_outstanding:
            return min(table, key=lambda server: len(server.pending_requests())).name
        request = make_request(prompt, urgency=2, target_ms=2_000.0)
        placement = choose(table, request, now_ms)
        assert placement is not None
        return placement.server.name

    def _record(
        self, table: list[BackendServer], name: str, prompt: Prompt, number: int, end_ms: float
    ) -> None:
        server = next(server for server in table if server.name == name)
        tokens = int(estimate_uncached_tokens(server, prompt, COSTS))
        server.add_pending_prompt(str(number), PendingPrompt(tokens, 2))
        self.ends_ms[str(number)] = end_ms
        record_prefill(server, prompt, COSTS, CACHE_TOKENS, number * self.INTERVAL_MS)

    def _remove_prefilled(self, tables: list[list[BackendServer]], now_ms: int) -> None:
        for table in tables:
            for server in table:
                for key in server.pending_requests():
                    if self.ends_ms[key] <= now_ms:
                        server.remove_pending_prompt(key)

    def test_routers_that_exchange_reports_rarely_prefill_a_prefix_twice(self) -> None:
        least_outstanding = self.replay(exchange=False, least_outstanding=True)
        without_exchange = self.replay(exchange=False)
        with_exchange = self.replay(exchange=True)
        self.assertLess(with_exchange, least_outstanding / 4)
        self.assertLessEqual(with_exchange, without_exchange)


class ServerTableTest(unittest.TestCase):
    def test_replace_drops_the_state_of_an_earlier_incarnation(self) -> None:
        table = ServerTable()
        record = make_server("e").record
        table.replace([record], 0)
        table.by_name["e"].in_flight = 2
        self.assertEqual(table.replace([attrs.evolve(record, draining=True)], 0), [])
        self.assertEqual(table.by_name["e"].in_flight, 2)
        removed = table.replace([attrs.evolve(record, started_ms=5)], 0)
        self.assertEqual([server.in_flight for server in removed], [2])
        self.assertEqual(table.by_name["e"].in_flight, 0)

    def test_request_in_flight_keeps_the_software_version_that_it_was_sent_to(self) -> None:
        # Guards against a stream of v1 that is recorded as v2 because its server was restarted.
        table = ServerTable()
        for started_ms in (0, 5):
            record = attrs.evolve(
                make_server("e").record, started_ms=started_ms, software_version="v1"
            )
            table.replace([record], 0)
            sent_to = table.by_name["e"]
            removed = table.replace([attrs.evolve(record, software_version="v2")], 0)
            self.assertEqual(removed, [sent_to])
            self.assertEqual(sent_to.record.software_version, "v1")
            self.assertEqual(table.by_name["e"].record.software_version, "v2")
            table.replace([], 0)

    def test_accepting_excludes_draining_servers_and_other_groups(self) -> None:
        table = ServerTable()
        servers = [
            make_server("a"),
            make_server("b", draining=True),
            make_server("c", group="other"),
        ]
        table.replace([server.record for server in servers], 0)
        self.assertEqual([server.name for server in table.find_accepting("g").servers], ["a"])


if __name__ == "__main__":
    unittest.main()
