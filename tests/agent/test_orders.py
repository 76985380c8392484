"""Tests of the orders to an engine, with pauses, outages and rivals."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from boragetiller.agent.order_channel import HttpOrderChannel
from boragetiller.agent.orders import OrderKeeper
from boragetiller.clock import ManualClock
from boragetiller.errors import BackendLost, LeaseExpired
from boragetiller.metrics import Metrics
from boragetiller.platform.clients import PlatformClients
from boragetiller.platform.faults import CallKind
from boragetiller.platform.memory import MemoryHostList, MemoryStore, MemoryWeightStore
from boragetiller.records.model import BackendGroup
from boragetiller.settings import (
    BackendKind,
    BackendSettings,
    ControlSettings,
    OperatorSettings,
    OrderSettings,
    PlatformSettings,
    Role,
    Settings,
)
from boragetiller.standin.engine import EngineServer, EngineSettings
from boragetiller.tables.config import ConfigTable
from boragetiller.tables.orders import EngineConfig, LoadAdapter, LoadModel, Order, SetRole

if TYPE_CHECKING:
    from collections.abc import Callable

ORDERS = OrderSettings(retry_base_ms=2, retry_max_ms=4)
LEASE = "leases/engines/engine-1"
GROUP = BackendGroup(name="pool", models=("a", "b"), adapters=("x",), role="decode")


def _settings(name: str, url: str = "http://127.0.0.1:1") -> Settings:
    return Settings(
        role=Role.AGENT,
        name=name,
        failure_domain="vl-a",
        control=ControlSettings(key="k"),
        operator=OperatorSettings(key="k"),
        platform=PlatformSettings(store_url="", host_list_url=""),
        orders=ORDERS,
        backend=BackendSettings(
            name="engine-1", group="pool", kind=BackendKind.ENGINE, url=url, order_key="o"
        ),
        seed=1,
    )


class FakeChannel:
    """An engine that ignores numbers; `on_send` runs before the last check."""

    def __init__(self) -> None:
        self.sent: list[tuple[Order, int]] = []
        self.on_send: Callable[[], None] = lambda: None
        self.fail_after_run = False

    async def read_config(self) -> EngineConfig:
        orders = [order for order, _ in self.sent]
        return EngineConfig(
            models=tuple(order.model for order in orders if isinstance(order, LoadModel)),
            adapters=tuple(order.adapter for order in orders if isinstance(order, LoadAdapter)),
            role=next((order.role for order in orders if isinstance(order, SetRole)), ""),
        )

    async def send(self, order: Order, token: int, may_send: Callable[[], bool]) -> None:
        self.on_send()
        if not may_send():
            raise LeaseExpired
        self.sent.append((order, token))
        if self.fail_after_run:
            raise BackendLost


class OrderKeeperTest(unittest.IsolatedAsyncioTestCase):
    """The adapter with a fake clock and a fake channel."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.weights = MemoryWeightStore(limit=1)
        self.config = ConfigTable(ready=True, groups={"pool": GROUP})
        self.channel = FakeChannel()
        self.metrics = Metrics()
        self.keeper = self._keeper("agent-1", self.channel)

    def _keeper(self, name: str, channel: FakeChannel | HttpOrderChannel) -> OrderKeeper:
        platform = PlatformClients(self.store, MemoryHostList(self.clock), self.weights)
        return OrderKeeper(
            _settings(name), platform, channel, self.config, self.clock, self.metrics, 1
        )

    async def test_reconcile_sends_what_is_missing(self) -> None:
        await self.keeper.reconcile()
        orders = [order for order, _ in self.channel.sent]
        self.assertEqual(
            orders, [SetRole("decode"), LoadModel("a"), LoadModel("b"), LoadAdapter("x")]
        )
        self.assertGreater(min(token for _, token in self.channel.sent), 0)
        calls = self.store.counts.total()
        await self.keeper.reconcile()
        self.assertEqual(self.store.counts.total(), calls)

    async def test_paused_holder_sends_nothing_when_it_comes_back(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        sent_by_rival: list[int] = []

        def pause() -> None:
            self.channel.on_send = lambda: None
            self.clock.advance(ORDERS.lease_ttl_ms)
            self.store.inject(outage=True)
            sent_by_rival.append(len(self.channel.sent))

        self.channel.on_send = pause
        await self.keeper.reconcile()
        self.assertEqual((self.channel.sent, sent_by_rival), ([], [0]))
        self.assertEqual(self.metrics.counts["agent.orders.withheld"], 1)
        self.store.inject(outage=False)
        rival = await self.store.acquire_lease(LEASE, "rival", ORDERS.lease_ttl_ms)
        self.clock.advance(ORDERS.retry_max_ms)
        await self.keeper.reconcile()
        self.assertEqual(self.channel.sent, [])
        self.clock.advance(ORDERS.lease_ttl_ms)
        await self.keeper.reconcile()
        assert rival is not None
        self.assertGreater(self.channel.sent[0][1], rival.token)

    async def test_lease_reply_after_a_pause_is_not_used(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        acquire = self.store.acquire_lease
        pauses = iter((ORDERS.lease_ttl_ms, 0))

        async def paused_acquire(name: str, holder: str, ttl_ms: int) -> object:
            lease = await acquire(name, holder, ttl_ms)
            self.clock.advance(next(pauses))
            return lease

        self.store.acquire_lease = paused_acquire  # type: ignore[assignment, method-assign]
        await self.keeper.reconcile()
        self.assertEqual(len(self.channel.sent), 1)
        self.assertEqual(self.store.counts[CallKind.ACQUIRE_LEASE], 2)
        self.assertEqual(self.channel.sent[0][1], self.store.revision)  # the second lease

    async def test_store_outage_sends_nothing(self) -> None:
        self.store.inject(outage=True)
        await self.keeper.reconcile()
        self.assertEqual(self.channel.sent, [])

    async def test_lost_lease_reply_is_taken_anew(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        self.store.lose_next_reply()
        await self.keeper.reconcile()
        self.assertEqual(self.channel.sent, [])
        self.clock.advance(ORDERS.retry_max_ms)
        await self.keeper.reconcile()
        self.assertEqual(len(self.channel.sent), 1)

    async def test_load_waits_for_a_slot(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", models=("a",))
        slot = await self.store.acquire_lease("slots/weights/0", "other", ORDERS.slot_ttl_ms)
        await self.keeper.reconcile()
        self.assertEqual(self.channel.sent, [])
        assert slot is not None
        await self.store.release_lease(slot)
        self.clock.advance(ORDERS.retry_max_ms)
        await self.keeper.reconcile()
        self.assertEqual([order for order, _ in self.channel.sent], [LoadModel("a")])
        free = await self.store.acquire_lease("slots/weights/0", "other", 1)
        self.assertIsNotNone(free)

    async def test_slot_of_an_unknown_load_stays_taken(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", models=("a",))
        self.channel.fail_after_run = True
        await self.keeper.reconcile()
        self.assertEqual(len(self.channel.sent), 1)
        self.assertIsNone(await self.store.acquire_lease("slots/weights/0", "other", 1))
        self.clock.advance(ORDERS.slot_ttl_ms)
        self.assertIsNotNone(await self.store.acquire_lease("slots/weights/0", "other", 1))


class HttpOrderChannelTest(unittest.IsolatedAsyncioTestCase):
    """The dialect against the stand-in engine."""

    async def asyncSetUp(self) -> None:
        settings = EngineSettings(models=(), load_ms=0, order_key="o")
        self.engine = EngineServer(settings)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        backend = _settings("agent-1", self.engine.url).backend
        assert backend is not None
        self.channel = HttpOrderChannel(backend, ORDERS)
        await self.channel.start()
        self.addAsyncCleanup(self.channel.close)

    async def test_keeper_reconciles_a_real_engine(self) -> None:
        clock = ManualClock()
        platform = PlatformClients(MemoryStore(clock), MemoryHostList(clock), MemoryWeightStore())
        config = ConfigTable(ready=True, groups={"pool": GROUP})
        settings = _settings("agent-1", self.engine.url)
        metrics = Metrics()
        keeper = OrderKeeper(settings, platform, self.channel, config, clock, metrics, 1)
        await keeper.reconcile()
        state = self.engine.state
        self.assertEqual((state.models, state.adapters, state.role), (["a", "b"], ["x"], "decode"))
        self.engine.state.fencing = 1_000  # as set by a newer holder
        config.groups["pool"] = BackendGroup(name="pool", role="prefill")
        await keeper.reconcile()
        self.assertEqual((state.role, state.refused), ("decode", 1))
        self.assertEqual(metrics.counts["agent.orders.retry.refused"], 1)

    async def test_lapsed_lease_leaves_the_engine_without_an_order(self) -> None:
        with self.assertRaises(LeaseExpired):
            await self.channel.send(SetRole("decode"), 1, lambda: False)
        self.assertEqual(self.engine.state.orders, [])
        await self.channel.send(SetRole("decode"), 1, lambda: True)
        self.assertEqual(self.engine.state.role, "decode")


if __name__ == "__main__":
    unittest.main()
