"""Orders of servers: what is stored and sent, and what a successor starts from."""

from __future__ import annotations

import unittest
from random import Random
from types import SimpleNamespace
from typing import Any

from prometheus_client import CollectorRegistry

from bench.gateway_scale import _build_prompt, _build_router
from bench.usage_fleet import TOKEN_KEY, FakeStore
from boragetiller.clock import ManualClock
from boragetiller.errors import DutyApiBusy, DutyApiUnavailable
from boragetiller.gateway.duties.group_loads import GroupLoads
from boragetiller.gateway.duties.metrics import ServerOrderMetrics
from boragetiller.gateway.duties.server_controller import ServerController
from boragetiller.systems.overload.committed_memory import commit_request
from boragetiller.tables.duties import Duty, DutyKind, Holding, LossReason
from boragetiller.tables.routes import ScalingPolicy
from boragetiller.tables.server_targets import DomainLoad, ScalingConditions
from boragetiller.tables.servers import PeerLoad
from boragetiller.tables.store_writes import ExpectedRevision

DUTY = Duty(DutyKind.SERVER_COUNT, "engines/a")


class FakeApi:
    def __init__(self) -> None:
        self.orders: list[int] = []
        self.error: Exception | None = None

    async def order_servers(self, order: Any, _holding: Holding) -> None:
        self.orders.append(order.servers)
        if self.error is not None:
            raise self.error


class ServerControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock, self.store, self.api = ManualClock(), FakeStore(), FakeApi()
        self.load = DomainLoad(ready=4, slots=0.5)
        self.store_reachable = True
        self.tokens = 0
        self.holding = self.acquire()

    def acquire(self) -> Holding:
        self.tokens += 1
        item = self.store.put(TOKEN_KEY, b"")
        condition = ExpectedRevision(TOKEN_KEY, item.revision)
        return Holding(
            duty=DUTY, token=self.tokens, holder="r", valid_until_ms=0, era=0, condition=condition
        )

    def build(self) -> ServerController:
        loads: Any = SimpleNamespace(
            get_policy=lambda _: ScalingPolicy(min_servers=1, max_servers=20, boot_ms=20_000),
            read=lambda *_: self.load,
            read_conditions=lambda _g, _d, away_ms, _n: ScalingConditions(away_ms=away_ms),
            is_store_reachable=lambda: self.store_reachable,
        )
        holder: Any = SimpleNamespace(get_valid=lambda *_: self.holding)
        return ServerController(
            DUTY,
            "engines",
            "a",
            loads,
            holder,
            self.store,
            self.api,
            self.clock,
            ServerOrderMetrics(CollectorRegistry()),
        )

    async def run_for(self, controller: ServerController, seconds: float) -> None:
        holding = self.holding
        for _ in range(round(seconds * 5)):
            self.clock.advance(200)
            await controller.run_once(holding)

    async def test_successor_keeps_the_order_while_servers_start(self) -> None:
        first = self.build()
        await self.run_for(first, 5)
        self.load = DomainLoad(ready=4, slots=0.9)
        await self.run_for(first, 10)
        self.assertEqual(self.api.orders, [5])
        self.load = DomainLoad(ready=4, slots=0.7)
        self.holding = self.acquire()
        await self.run_for(self.build(), 5)
        self.assertEqual(self.api.orders, [5, 5])  # its predecessor's call may not have arrived

    async def test_nothing_is_ordered_that_is_not_stored(self) -> None:
        # Guards against a successor that orders fewer servers than are starting.
        controller = self.build()
        await self.run_for(controller, 5)
        self.store.is_down = True
        self.load = DomainLoad(ready=4, slots=0.9)
        await self.run_for(controller, 5)
        self.assertEqual(self.api.orders, [])
        self.store.is_down = False
        self.store.lost_answers = 1
        await self.run_for(controller, 15)
        self.assertEqual(set(self.api.orders), {5})

    async def test_deposed_holder_orders_nothing(self) -> None:
        controller = self.build()
        await self.run_for(controller, 5)
        self.acquire()
        self.load = DomainLoad(ready=4, slots=0.9)
        await self.run_for(controller, 5)
        self.assertEqual(self.api.orders, [])

    async def test_busy_api_gets_one_call_per_second_and_a_silent_one_fewer(self) -> None:
        for error, most in ((DutyApiBusy(), 10), (DutyApiUnavailable("timeout"), 1)):
            with self.subTest(type(error).__name__):
                self.setUp()
                controller = self.build()
                await self.run_for(controller, 5)
                self.load, self.api.error = DomainLoad(ready=4, slots=0.9), error
                await self.run_for(controller, 9.8)
                self.assertLessEqual(len(self.api.orders), most)
                self.api.error = None
                await self.run_for(controller, 15)
                self.assertGreater(len(self.api.orders), 1)
                self.assertEqual(set(self.api.orders), {5})

    async def test_state_is_dropped_with_the_duty(self) -> None:
        controller = self.build()
        await self.run_for(controller, 5)
        await controller.on_lost(LossReason.EXPIRED)
        self.store.put("boragetiller/servers/engines/a", b'{"servers": 7}')
        await self.run_for(controller, 1)
        self.assertEqual(self.api.orders, [7])

    async def test_infinite_number_in_the_store_counts_as_no_order(self) -> None:
        # Guards against a task that ends with an error each time it reads the entry.
        self.store.put("boragetiller/servers/engines/a", b'{"servers": Infinity}')
        await self.run_for(self.build(), 5)
        self.assertEqual(self.api.orders, [])


class GroupLoadsTest(unittest.TestCase):
    def test_memory_is_that_of_all_routers(self) -> None:
        # Guards against engines whose memory is full while their slots are free.
        clock = ManualClock(1_000)
        registry, sync = _build_router(8, clock)
        heard: Any = SimpleNamespace()
        loads = GroupLoads(registry, sync, heard, registry.metrics)
        server = next(iter(registry.servers.by_name.values()))
        domain = server.record.failure_domain

        def read() -> float:
            load = loads.read("engines", domain, clock.now_ms())
            assert load is not None
            return load.memory

        assert registry.config is not None
        engine = registry.config.groups["engines"].engine
        assert engine is not None
        count = len(registry.servers.find_accepting("engines").by_domain[domain])
        total = count * engine.memory_tokens
        self.assertEqual(read(), 0.0)
        server.in_flight = 1
        commit_request(server.memory, _build_prompt(Random(1)), 100.0, clock.now_ms())
        self.assertAlmostEqual(read(), 8_600 / total)
        server.peer_load.add(
            PeerLoad(in_flight=2, unread_tokens=(0,), sensitivity=0.0, committed_tokens=30_000)
        )
        self.assertAlmostEqual(read(), 38_600 / total)


if __name__ == "__main__":
    unittest.main()
