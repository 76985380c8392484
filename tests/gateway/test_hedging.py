"""Hedged attempts within limits, at servers with a heavy tail, in virtual time."""

from __future__ import annotations

import asyncio
import json
import unittest
from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

import attrs
from multidict import CIMultiDict, CIMultiDictProxy

import tests.platform_path  # noqa: F401
from boragetiller.gateway.admitted_call import admit_call
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.call_state import CallState
from boragetiller.gateway.call_telemetry import CallTelemetry
from boragetiller.gateway.hedge_controller import HedgeController
from boragetiller.gateway.latency_exchange import LatencyExchange
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.outgoing_attempts import StreamState
from boragetiller.gateway.server_choice import ServerChooser
from boragetiller.systems.hedging.decision import compute_hedge_share
from boragetiller.systems.hedging.summary_codec import decode_sketch
from boragetiller.tables.direct_attempts import (
    CallProgress,
    CompleteResponse,
    DirectAttemptOutcome,
    DirectAttemptResult,
)
from boragetiller.tables.hedging import HedgeRefusal, HedgeShares, HedgingSettings
from boragetiller.tables.servers import ServerRecord
from boragetiller.tables.store_view import StoredItem
from dialect import PlatformDialect
from tests.gateway.harness import HOST, KEY, build_config, build_settings
from tests.gateway.virtual_time import LoopClock, run_in_virtual_time

if TYPE_CHECKING:
    from boragetiller.gateway.hedging import PlacedResult
    from boragetiller.tables.server_placement import Placement

FAST_MS, SLOW_MS, SLOW_SHARE = 20, 1_000, 0.03
ARRIVAL_MS = 10
CALLS = 4_000
SHARE = 0.05
LIMIT = HedgeShares(request_share=SHARE, prompt_token_share=SHARE)
PROMPT = {"X-Boragetiller-Token-Counts": "900,16", "X-Boragetiller-Prefix-Hash": "aa:800,bb:100"}


def build_headers(route: str, request_id: str) -> CIMultiDict[str]:
    """
    Build the headers of a call.

    :param route: name of its route; a prompt is added for an engine's
    :param request_id: its ID
    :return: the headers
    """
    headers = CIMultiDict(
        {
            "Host": HOST,
            "X-Boragetiller-Attempt-Id": request_id,
            "X-Boragetiller-Deadline-Ms": "4000",
            "X-Boragetiller-Model": "m",
            "Authorization": f"Token {KEY}",
        }
    )
    if route in ("gauges", "quotes"):
        headers.update(PROMPT)
    return headers


class CallerStub:
    """Stands for the connection to one caller."""

    def __init__(self) -> None:
        self.written: list[tuple[Any, bytes]] = []

    @property
    def started(self) -> bool:
        return bool(self.written)

    async def write(self, _status: int, headers: Any, data: bytes) -> None:
        self.written.append((headers, data))


class ServersStub:
    """Answers after a time drawn from a distribution with a heavy tail."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.slow_share = SLOW_SHARE
        self.durations_ms: list[float] = []  # of the next attempts, before any is drawn
        self.cancelled: list[tuple[str, int]] = []  # server and time
        self.sends = 0
        self.gap_ms = 30

    async def send(
        self, _call: Any, placement: Placement, progress: CallProgress, stream: StreamState | None
    ) -> DirectAttemptResult:
        self.sends += 1
        server = placement.server
        took_ms = (
            SLOW_MS if self._rng.random() < self.slow_share else FAST_MS * self._rng.uniform(1, 2)
        )
        if self.durations_ms:
            took_ms = self.durations_ms.pop(0)
        server.in_flight += 1
        try:
            await asyncio.sleep(took_ms / 1_000)
            if stream is not None:
                for _ in range(3):
                    stream.record_event(LoopClock().now_ms())
                    await stream.event_writer.write(200, server.name, server.name.encode())
                    progress.relayed_events += 1
                    await asyncio.sleep(self.gap_ms / 1_000)
        except asyncio.CancelledError:
            self.cancelled.append((server.name, LoopClock().now_ms()))
            raise
        finally:
            server.in_flight -= 1
        response = CompleteResponse(
            server=server.name, status=200, headers=CIMultiDict(), body=b"ok"
        )
        return DirectAttemptResult(DirectAttemptOutcome.ANSWERED, response)


class Router:
    """What a router needs for placement and hedging, with some servers for each group."""

    def __init__(self, shares: HedgeShares, slots: int = 64, servers: int = 4) -> None:
        clock, settings, dialect = LoopClock(), build_settings(), PlatformDialect()
        self.metrics = GatewayMetrics()
        self.registry = BackendRegistry(settings, dialect, clock, self.metrics)
        document = json.dumps(build_config()).encode()
        self.registry.apply_changes([StoredItem("op/config", document, 1)], "test")
        records = [
            ServerRecord(
                name=f"{group}-{number}",
                group=group,
                address="127.0.0.1:1",
                failure_domain="ab"[number % 2],
                slots=slots,
                draining=False,
                started_ms=0,
                warm_up_left_ms=0,
            )
            for group in ("engines", "shop")
            for number in range(servers)
        ]
        self.registry.servers.replace(records, 0)
        sync = Mock(reporting_share=1.0)
        self.chooser = ServerChooser(settings, self.registry, sync, clock, Random(1))
        self.servers = ServersStub(Random(2))
        self.latencies = LatencyExchange(self.registry, clock)
        telemetry = CallTelemetry(self.metrics, clock)
        limits = HedgingSettings(default=shares)
        parts = (limits, self.registry, self.chooser, self.servers, self.latencies, telemetry)
        self.hedging = HedgeController(*parts, clock)  # type: ignore[arg-type]
        self.budget_checks: list[bool] = []
        self.calls, self.took_ms = 0, list[int]()

    def build_state(self, route: str) -> CallState:
        self.calls += 1
        headers = build_headers(route, f"id-{self.calls}")
        proxy, dialect = CIMultiDictProxy(headers), PlatformDialect()
        metadata = dialect.parse_call_headers(proxy)
        assert self.registry.config is not None
        now_ms = LoopClock().now_ms()
        body = str(self.calls).encode()
        call = admit_call(self.registry.config, metadata, "POST", f"/{route}/", proxy, body, now_ms)
        progress = CallProgress(repeatable=call.route.repeatable, max_servers=2)
        stream = None
        if call.route.streamed:
            stream = StreamState(event_writer=CallerStub(), last_event_id=None)  # type: ignore[arg-type]
        return CallState(call=call, progress=progress, stream=stream)

    async def serve(self, route: str) -> tuple[CallState, list[PlacedResult]]:
        state = self.build_state(route)
        self.registry.get_retry_budget(state.call.group.name).record_request(LoopClock().now_ms())
        placement = self.chooser.choose(state)
        assert placement is not None
        state.tried_servers.add(placement.server.name)
        started_ms = LoopClock().now_ms()
        results = await self.hedging.send(state, placement)
        ended_ms = state.stream.first_event_ms if state.stream is not None else None
        self.took_ms.append((ended_ms or LoopClock().now_ms()) - started_ms)
        return state, results

    async def serve_many(self, route: str, calls: int = CALLS) -> None:
        tasks = []
        for _ in range(calls):
            tasks.append(asyncio.create_task(self.serve(route)))
            await asyncio.sleep(ARRIVAL_MS / 1_000)
            self.budget_checks.append(self.hedges <= SHARE * self.calls)
        await asyncio.gather(*tasks)

    @property
    def hedges(self) -> int:
        return self.servers.sends - self.calls

    def quantile_ms(self, quantile: float) -> int:
        return sorted(self.took_ms)[int(quantile * len(self.took_ms))]

    def count(self, metric: str) -> dict[str, float]:
        collector = getattr(self.metrics, metric)
        samples = [each for family in collector.collect() for each in family.samples]
        return {
            each.labels.get("reason")
            or each.labels.get("result")
            or each.labels["route"]: (each.value)
            for each in samples
            if each.name.endswith("_total")
        }


def serve_many(shares: HedgeShares, route: str, **changes: Any) -> Router:
    async def main() -> Router:
        router = Router(shares, **changes)
        await router.serve_many(route)
        return router

    return run_in_virtual_time(main())


class HedgingTest(unittest.TestCase):
    """Latency gained and work spent with and without a limit."""

    def test_tail_shrinks_within_the_limits_of_requests_and_prompt_tokens(self) -> None:
        # Guards against hedges that come too late to help, and against spending over the limit.
        for route in ("stock", "gauges"):
            with self.subTest(route=route):
                none, some = serve_many(HedgeShares(), route), serve_many(LIMIT, route)
                self.assertEqual(none.hedges, 0)
                self.assertEqual(none.quantile_ms(0.99), SLOW_MS)
                self.assertLess(some.quantile_ms(0.99), SLOW_MS / 5)
                self.assertLessEqual(some.quantile_ms(0.95), 1.1 * none.quantile_ms(0.95))
                self.assertTrue(all(some.budget_checks))
                self.assertGreater(some.hedges, SLOW_SHARE * CALLS / 2)
                results = some.count("hedges")
                self.assertGreater(results["won"], 4 * results["lost"])

    def test_spending_stops_at_the_limit_when_more_requests_are_slow(self) -> None:
        # Guards against hedges that go on when the tail is larger than the share.
        only_tokens_bind = HedgeShares(request_share=0.5, prompt_token_share=SHARE)
        for route, shares in (("stock", LIMIT), ("gauges", only_tokens_bind)):
            router = run_in_virtual_time(self.serve_before_and_in_a_slowdown(shares, route))
            self.assertTrue(all(router.budget_checks))
            self.assertGreater(router.hedges, 0.6 * SHARE * router.calls)
            self.assertGreater(router.quantile_ms(0.9), FAST_MS * 2)
            tokens = router.count("hedged_prompt_tokens")[route]
            self.assertEqual(tokens, 900 * router.hedges if route == "gauges" else 0)

    async def serve_before_and_in_a_slowdown(self, shares: HedgeShares, route: str) -> Router:
        router = Router(shares)
        await router.serve_many(route, calls=1_000)
        router.servers.slow_share = 0.3
        await router.serve_many(route, calls=1_000)
        return router

    def test_each_limit_alone_forbids_what_it_counts(self) -> None:
        # Guards against prompts that are hedged although the operators allow no further tokens.
        only_requests = HedgeShares(request_share=SHARE)
        only_tokens = HedgeShares(prompt_token_share=SHARE)
        self.assertEqual(serve_many(only_requests, "gauges").hedges, 0)
        self.assertEqual(serve_many(only_tokens, "gauges").hedges, 0)
        self.assertGreater(serve_many(only_requests, "stock").hedges, 0)
        both = HedgeShares(request_share=0.3, prompt_token_share=0.1)
        shares = [compute_hedge_share(both, for_engine=each) for each in (False, True)]
        self.assertEqual(shares, [0.3, 0.1])

    def test_requests_that_may_not_be_repeated_are_never_hedged(self) -> None:
        # Guards against a booking or a stream without resumption that runs twice.
        for route in ("reserve", "quotes"):
            self.assertEqual(serve_many(LIMIT, route).hedges, 0)

    def test_no_hedge_without_room(self) -> None:
        # Guards against hedges that make an overload worse.
        router = serve_many(LIMIT, "stock", slots=0)
        self.assertEqual(router.hedges, 0)
        self.assertGreater(router.count("hedges_withheld")["overload"], 0)

    def test_no_hedge_near_an_ejected_server_or_without_time(self) -> None:
        # Guards against a second attempt that fails for the same reason, or ends after the caller.
        async def main() -> None:
            router = Router(HedgeShares(request_share=0.5))
            await router.serve_many("stock", calls=100)
            router.registry.get_retry_budget("shop").slack = 1_000.0
            servers = router.registry.servers.by_name
            for time_left_ms, ejected, expected in (
                (FAST_MS - 1, (), HedgeRefusal.TOO_LATE),
                (SLOW_MS, (), None),
                (SLOW_MS, ("shop-1", "shop-2"), HedgeRefusal.NO_SERVER),  # one in each domain
            ):
                now_ms = LoopClock().now_ms()
                for name in ejected:
                    servers[name].health.ejected_until_ms = now_ms + 1_000
                state = router.build_state("stock")
                arrived_ms = now_ms + time_left_ms - int(state.call.time_limit_ms)
                state.call = attrs.evolve(state.call, arrived_ms=arrived_ms)
                state.tried_servers = {"shop-0"}
                second = router.hedging._choose_second(state, FAST_MS)  # noqa: SLF001
                refusal = second if isinstance(second, HedgeRefusal) else None
                self.assertIs(refusal, expected)

        run_in_virtual_time(main())

    def test_half_of_the_retry_budget_is_left_for_failures(self) -> None:
        # Guards against hedges after which failed requests cannot be retried.
        async def main() -> tuple[int, float]:
            router = Router(HedgeShares(request_share=0.5))
            router.servers.durations_ms = [SLOW_MS] * 300
            await asyncio.gather(*(router.serve("stock") for _ in range(100)))
            budget = router.registry.get_retry_budget("shop")
            return router.hedges, budget.ratio * 100 + budget.slack

        hedges, allowed = run_in_virtual_time(main())
        self.assertEqual(hedges, int(allowed / 2))

    def test_loser_is_cancelled_at_the_first_event_of_the_winner(self) -> None:
        # Guards against work that goes on for nobody, and against events of two engines mixed.
        async def main() -> None:
            router = Router(HedgeShares(request_share=0.5, prompt_token_share=0.5))
            await router.serve_many("gauges", calls=4)
            router.servers.durations_ms = [SLOW_MS, 40.0]
            state, results = await router.serve("gauges")
            stream = state.stream
            assert stream is not None
            (loser, cancelled_ms), winner = router.servers.cancelled[-1], results[-1]
            self.assertEqual(stream.first_event_ms, cancelled_ms)
            self.assertNotEqual(winner.placement.server.name, loser)
            expected = (winner.placement.server.name, winner.placement.server.name.encode())
            written = stream.event_writer.written  # type: ignore[attr-defined]
            self.assertEqual(written, 3 * [expected])
            self.assertIs(results[0].result.outcome, DirectAttemptOutcome.CANCELLED)

        run_in_virtual_time(main())

    def test_stream_is_not_hedged_after_its_first_event(self) -> None:
        # Guards against a second engine that starts a stream from its beginning.
        async def main() -> Router:
            router = Router(HedgeShares(request_share=0.5, prompt_token_share=0.5))
            router.servers.gap_ms = SLOW_MS
            await router.serve_many("gauges", calls=9)
            return router

        router = run_in_virtual_time(main())
        self.assertEqual(router.hedges, 0)

    def test_peers_share_their_response_times_in_small_reports(self) -> None:
        # Guards against a router that knows only its own few response times, and against traffic
        # that grows with the calls.
        async def main() -> None:
            routers = [Router(LIMIT), Router(LIMIT)]
            rng = Random(3)
            for _ in range(10_000):
                routers[0].latencies.record("stock", rng.lognormvariate(4, 2))
            summaries = routers[0].latencies.list_since(0)
            self.assertEqual([len(each.sketch) <= 400 for each in summaries], [True])
            routers[0].latencies.record("stock", 5.0)
            self.assertEqual(routers[0].latencies.list_since(1), ())
            routers[1].latencies.apply("peer", summaries)
            own, other = (each.latencies.compute_quantiles("stock", 0.05) for each in routers)
            self.assertAlmostEqual(own.hedge_ms, other.hedge_ms, delta=0.1 * own.hedge_ms)
            malformed = [attrs.evolve(summaries[0], sketch=data) for data in (b"", b"\1\xff", b"9")]
            routers[1].latencies.apply("peer", tuple(malformed))
            await asyncio.sleep(1)  # quantiles are computed anew
            self.assertEqual(
                routers[1].latencies.compute_quantiles("stock", 0.05).samples, other.samples
            )

        run_in_virtual_time(main())

    def test_response_times_from_long_before_a_peer_connects_are_not_published(self) -> None:
        # Guards against a router that was cut off and reports an hour of response times as recent.
        async def main() -> None:
            latencies = Router(LIMIT).latencies
            latencies.record("stock", 900.0)
            await asyncio.sleep(61)
            self.assertEqual(latencies.list_since(0), ())
            latencies.record("stock", 900.0)
            await asyncio.sleep(61)
            latencies.record("stock", 5.0)
            summaries = latencies.list_since(0)
            self.assertEqual([decode_sketch(each.sketch).count for each in summaries], [1.0])

        run_in_virtual_time(main())


if __name__ == "__main__":
    unittest.main()
