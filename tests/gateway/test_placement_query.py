"""Placement queries agree with what then happens and change nothing."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock

import attrs
from multidict import CIMultiDictProxy

import tests.platform_path  # noqa: F401
from boragetiller.gateway.placement_query import PlacementQueries
from boragetiller.gateway.policy_file import Policy
from boragetiller.gateway.retry_after import RetryAfter
from boragetiller.placement_queries import MAX_QUERIES_PER_S, PlacementQuery, QueryLimiter
from boragetiller.systems.overload.server_pauses import record_pause
from boragetiller.systems.overload.server_speed import record_work_time
from boragetiller.systems.peer_loads import record_report, set_load
from boragetiller.systems.server_limits import apply_limit, set_members
from boragetiller.tables.hedging import HedgeShares
from boragetiller.tables.servers import PeerLoad
from dialect import PlatformDialect
from tests.gateway.harness import RouterHarness
from tests.gateway.test_hedging import Router, build_headers
from tests.gateway.virtual_time import LoopClock, run_in_virtual_time

KEY = "operator-key-0123"
SERVERS = 40  # more than are compared, so that the random sample matters


def build_router() -> tuple[Router, PlacementQueries]:
    router = Router(HedgeShares(), servers=SERVERS)
    handler = Mock(refusing=False)
    queries = PlacementQueries(
        "r", KEY, router.registry, router.chooser, handler, PlatformDialect(), LoopClock()
    )
    return router, queries


def ask(queries: PlacementQueries, route: str, number: int) -> Any:
    headers = CIMultiDictProxy(build_headers(route, f"id-{number}"))
    body = str(number).encode()
    return queries.answer(
        PlacementQuery(method="POST", path=f"/{route}/", headers=headers, body=body)
    )


def list_state(router: Router) -> list[Any]:
    registry, state = router.registry, router.chooser.state
    budgets = [attrs.asdict(registry.get_retry_budget(name)) for name in ("shop", "engines")]
    servers = [
        (attrs.asdict(server), dict(server.cached_parts))
        for server in registry.servers.by_name.values()
    ]
    loads = [(peer, loads.is_counted) for peer, loads in registry.peer_loads.by_peer.items()]
    limits = attrs.asdict(state.limits)
    throughput = attrs.asdict(registry.get_throughput("engines"))
    generator, lengths = state.rng.getstate(), dict(state.output_lengths.by_route)
    return [budgets, servers, loads, limits, throughput, generator, lengths]


class PlacementQueryTest(unittest.TestCase):
    """Queries beside real choices, with the same state."""

    def test_answer_is_what_the_next_call_gets(self) -> None:
        # Guards against an explanation of another decision than the real one.
        async def main() -> None:
            router, queries = build_router()
            slow = list(router.registry.servers.by_name.values())[::2]
            now_ms = LoopClock().now_ms()
            for server in slow:
                record_work_time(server.speed, 1.5, now_ms - 200, now_ms)
                server.memory.tokens = 700
            for number in range(1, 61):
                route = ("stock", "gauges", "quotes")[number % 3]
                before = list_state(router)
                answer = ask(queries, route, number)
                self.assertEqual(list_state(router), before)
                state = router.build_state(route)
                router.chooser.record_arrival(state.call, router.chooser.state)
                placement = router.chooser.choose(state)
                assert placement is not None
                self.assertEqual((answer.outcome, answer.route), ("placed", route))
                self.assertEqual(answer.server, placement.server.name)
                figures = next(each for each in answer.candidates if each.chosen)
                self.assertEqual(figures.cost_ms, round(placement.cost_ms, 1))
                self.assertEqual(answer.customer, "north")
                server = placement.server
                known = (figures.work_time, figures.work_time_age_ms, figures.committed_tokens)
                self.assertEqual(known, (1.5, 200, 700) if server in slow else (1.0, None, 0))
                placement.server.in_flight += number % 5

        run_in_virtual_time(main())

    def test_refusal_and_retry_after_are_those_of_the_next_call(self) -> None:
        # Guards against a Retry-After that a query has used up for the real call.
        async def main() -> None:
            router, queries = build_router()
            limits, now_ms = router.registry.server_limits, LoopClock().now_ms()
            set_members(limits, "r", frozenset())
            for name in router.registry.servers.by_name:
                apply_limit(limits, name, 1.0, now_ms, now_ms)
            before = list_state(router)
            answer = ask(queries, "stock", 1)
            self.assertEqual(list_state(router), before)
            state = router.build_state("stock")
            self.assertIsNone(router.chooser.choose(state))
            refusal = router.chooser.find_refusal(state)
            retry_after = RetryAfter(router.registry, LoopClock())
            expected_s = retry_after.compute_s(state.call, refusal.reason, router.chooser.state)
            self.assertEqual((answer.outcome, answer.status), ("refused", 503))
            self.assertEqual(answer.code, refusal.reason.value)
            self.assertEqual(answer.retry_after_s, round(expected_s, 3))
            self.assertEqual({each.reason for each in answer.excluded}, {"limit_reached"})

        run_in_virtual_time(main())

    def test_query_names_pauses_and_when_to_come_back(self) -> None:
        # Guards against a group called full or limited whose servers have asked for a pause.
        async def main() -> None:
            for limited in (0, 1):
                router, queries = build_router()
                registry, now_ms = router.registry, LoopClock().now_ms()
                servers = list(registry.servers.find_accepting("shop").servers)
                for server in servers[limited:]:
                    record_pause(registry.pauses.table, server.record, 9_000, now_ms)
                set_members(registry.server_limits, "r", frozenset())
                for server in servers[:limited]:
                    apply_limit(registry.server_limits, server.name, 0.1, now_ms, now_ms)
                before = list_state(router)
                answer = ask(queries, "stock", 1)
                self.assertEqual(list_state(router), before)
                self.assertIsNone(router.chooser.choose(router.build_state("stock")))
                self.assertEqual(answer.code, "limited" if limited else "paused")
                expected = ["limit_reached"] * limited + ["paused"] * (len(servers) - limited)
                self.assertEqual(sorted(each.reason for each in answer.excluded), expected)
                assert answer.retry_after_s is not None
                self.assertGreaterEqual(answer.retry_after_s, 9.0)  # the limit's turn is later
                self.assertLess(answer.retry_after_s, 14.0)

        run_in_virtual_time(main())

    def test_loads_of_silent_routers_count_neither_in_a_query_nor_change(self) -> None:
        # Guards against a query that shows the load of a router that is gone, or removes it.
        async def main() -> None:
            router, queries = build_router()
            now_ms = LoopClock().now_ms()
            loads = record_report(router.registry.peer_loads, "peer", now_ms - 5_000)
            load = PeerLoad(in_flight=50, unread_tokens=(), sensitivity=0.1)
            for server in router.registry.servers.by_name.values():
                set_load(loads, server, load)
            before = list_state(router)
            answer = ask(queries, "stock", 1)
            self.assertEqual({each.in_flight for each in answer.candidates}, {0})
            self.assertEqual(list_state(router), before)

        run_in_virtual_time(main())

    def test_reasons_of_excluded_servers(self) -> None:
        # Guards against an answer that does not say why a server was passed over.
        async def main() -> None:
            router, queries = build_router()
            servers = list(router.registry.servers.find_accepting("shop").servers)
            for server in servers:
                server.health.ejected_until_ms = LoopClock().now_ms() + 1_000
            servers[0].health.ejected_until_ms = 0
            servers[1].full_until_ms = LoopClock().now_ms() + 50
            answer = ask(queries, "stock", 1)
            reasons = {each.reason for each in answer.excluded}
            self.assertLessEqual(reasons, {"ejected", "full"})
            self.assertIn("ejected", reasons)
            listed = len(answer.candidates) + len(answer.excluded) + answer.not_sampled
            self.assertEqual(listed, SERVERS)

        run_in_virtual_time(main())

    def test_at_most_five_queries_a_second(self) -> None:
        # Guards against queries that cost the router its time.
        limiter = QueryLimiter()
        allowed = [limiter.allows(now_ms) for now_ms in range(0, 1_000, 100)]
        self.assertEqual(sum(allowed), MAX_QUERIES_PER_S)
        self.assertTrue(limiter.allows(1_000))


class QueryEndpointTest(unittest.IsolatedAsyncioTestCase):
    """`POST /where` on the metrics listener."""

    async def test_only_the_key_of_the_policy_file_opens_it(self) -> None:
        # Guards against callers that learn the state of the fleet.
        for policy, key, status, marker in (
            (None, KEY, 200, "boragetiller_answered"),
            (Policy(operator_key=KEY), "other", 401, "unauthorized"),
            (Policy(operator_key=KEY), KEY, 200, '"outcome": "refused"'),
        ):
            harness = RouterHarness(policy=policy)
            await harness.start()
            self.addAsyncCleanup(harness.close)
            port = harness.router.metrics_listener.port
            assert harness.session is not None
            async with harness.session.post(
                f"http://127.0.0.1:{port}/where",
                headers={"Authorization": f"Bearer {key}"},
                json={"path": "/stock/", "headers": dict(build_headers("stock", "id-1"))},
            ) as response:
                self.assertEqual(response.status, status)
                self.assertIn(marker, await response.text())


if __name__ == "__main__":
    unittest.main()
