"""Tests of the order reconciler and its HTTP client: pauses, store outages, competing agents."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from boragetiller.agent.order_client import HttpOrderClient
from boragetiller.agent.orders import OrderReconciler
from boragetiller.clock import ManualClock
from boragetiller.errors import BackendLost, LeaseExpired
from boragetiller.metrics import Metrics
from boragetiller.platform_clients.clients import PlatformClients
from boragetiller.platform_clients.faults import CallKind
from boragetiller.platform_clients.memory_store import (
    MemoryHostList,
    MemoryStore,
    MemoryWeightStore,
)
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
from boragetiller.store_eras import FIRST_ERA, extend_revision
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


class FakeOrderClient:
    """An engine that does not check fencing tokens; `on_send` runs before the last lease check."""

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


class OrderReconcilerTest(unittest.IsolatedAsyncioTestCase):
    """The reconciler with a manual clock and a fake order client."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.weights = MemoryWeightStore(limit=1)
        self.config = ConfigTable(ready=True, groups={"pool": GROUP})
        self.order_client = FakeOrderClient()
        self.metrics = Metrics()
        self.reconciler = self._reconciler("agent-1", self.order_client)

    def _reconciler(
        self, name: str, order_client: FakeOrderClient | HttpOrderClient
    ) -> OrderReconciler:
        platform = PlatformClients(self.store, MemoryHostList(self.clock), self.weights)
        return OrderReconciler(
            _settings(name), platform, order_client, self.config, self.clock, self.metrics, 1
        )

    async def test_reconcile_sends_missing_orders(self) -> None:
        await self.reconciler.reconcile()
        orders = [order for order, _ in self.order_client.sent]
        self.assertEqual(
            orders, [SetRole("decode"), LoadModel("a"), LoadModel("b"), LoadAdapter("x")]
        )
        self.assertGreater(min(token for _, token in self.order_client.sent), 0)
        calls = self.store.counts.total()
        await self.reconciler.reconcile()
        self.assertEqual(self.store.counts.total(), calls)

    async def test_agent_resumed_after_lease_expiry_sends_nothing(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        sent_before_pause: list[int] = []

        def pause() -> None:
            self.order_client.on_send = lambda: None
            self.clock.advance(ORDERS.lease_ttl_ms)
            self.store.inject_faults(outage=True)
            sent_before_pause.append(len(self.order_client.sent))

        self.order_client.on_send = pause
        await self.reconciler.reconcile()
        self.assertEqual((self.order_client.sent, sent_before_pause), ([], [0]))
        self.assertEqual(self.metrics.counts["agent.orders.withheld"], 1)
        self.store.inject_faults(outage=False)
        rival = await self.store.acquire_lease(LEASE, "rival", ORDERS.lease_ttl_ms)
        self.clock.advance(ORDERS.retry_max_ms)
        await self.reconciler.reconcile()
        self.assertEqual(self.order_client.sent, [])
        self.clock.advance(ORDERS.lease_ttl_ms)
        await self.reconciler.reconcile()
        assert rival is not None
        self.assertGreater(self.order_client.sent[0][1], rival.token)

    async def test_lease_reply_after_a_pause_is_not_used(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        acquire = self.store.acquire_lease
        pauses = iter((ORDERS.lease_ttl_ms, 0))

        async def paused_acquire(name: str, holder: str, ttl_ms: int) -> object:
            lease = await acquire(name, holder, ttl_ms)
            self.clock.advance(next(pauses))
            return lease

        self.store.acquire_lease = paused_acquire  # type: ignore[assignment, method-assign]
        await self.reconciler.reconcile()
        self.assertEqual(len(self.order_client.sent), 1)
        self.assertEqual(self.store.counts[CallKind.ACQUIRE_LEASE], 2)
        self.assertEqual(self.order_client.sent[0][1], self.store.revision)  # the second lease

    async def test_store_outage_sends_nothing(self) -> None:
        self.store.inject_faults(outage=True)
        await self.reconciler.reconcile()
        self.assertEqual(self.order_client.sent, [])

    async def test_lease_is_acquired_again_after_lost_reply(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", role="decode")
        self.store.drop_next_reply()
        await self.reconciler.reconcile()
        self.assertEqual(self.order_client.sent, [])
        self.clock.advance(ORDERS.retry_max_ms)
        await self.reconciler.reconcile()
        self.assertEqual(len(self.order_client.sent), 1)

    async def test_load_waits_for_a_slot(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", models=("a",))
        slot = await self.store.acquire_lease("slots/weights/0", "other", ORDERS.slot_ttl_ms)
        await self.reconciler.reconcile()
        self.assertEqual(self.order_client.sent, [])
        assert slot is not None
        await self.store.release_lease(slot)
        self.clock.advance(ORDERS.retry_max_ms)
        await self.reconciler.reconcile()
        self.assertEqual([order for order, _ in self.order_client.sent], [LoadModel("a")])
        free = await self.store.acquire_lease("slots/weights/0", "other", 1)
        self.assertIsNotNone(free)

    async def test_slot_of_load_with_unknown_outcome_is_not_released(self) -> None:
        self.config.groups["pool"] = BackendGroup(name="pool", models=("a",))
        self.order_client.fail_after_run = True
        await self.reconciler.reconcile()
        self.assertEqual(len(self.order_client.sent), 1)
        self.assertIsNone(await self.store.acquire_lease("slots/weights/0", "other", 1))
        self.clock.advance(ORDERS.slot_ttl_ms)
        self.assertIsNotNone(await self.store.acquire_lease("slots/weights/0", "other", 1))


class HttpOrderClientTest(unittest.IsolatedAsyncioTestCase):
    """The HTTP order client against the stand-in engine."""

    async def asyncSetUp(self) -> None:
        settings = EngineSettings(models=(), load_ms=0, order_key="o")
        self.engine = EngineServer(settings)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)
        backend = _settings("agent-1", self.engine.url).backend
        assert backend is not None
        self.order_client = HttpOrderClient(backend, ORDERS)
        await self.order_client.start()
        self.addAsyncCleanup(self.order_client.close)

    async def test_reconciler_configures_stand_in_engine(self) -> None:
        clock = ManualClock()
        platform = PlatformClients(MemoryStore(clock), MemoryHostList(clock), MemoryWeightStore())
        config = ConfigTable(ready=True, groups={"pool": GROUP})
        settings = _settings("agent-1", self.engine.url)
        metrics = Metrics()
        reconciler = OrderReconciler(
            settings, platform, self.order_client, config, clock, metrics, 1
        )
        await reconciler.reconcile()
        state = self.engine.state
        self.assertEqual((state.models, state.adapters, state.role), (["a", "b"], ["x"], "decode"))
        self.engine.state.fencing = extend_revision(
            FIRST_ERA, 1_000
        )  # as after an order of a newer lease holder
        config.groups["pool"] = BackendGroup(name="pool", role="prefill")
        await reconciler.reconcile()
        self.assertEqual((state.role, state.refused), ("decode", 1))
        self.assertEqual(metrics.counts["agent.orders.retry.refused"], 1)

    async def test_order_is_not_sent_after_lease_expiry(self) -> None:
        with self.assertRaises(LeaseExpired):
            await self.order_client.send(SetRole("decode"), 1, lambda: False)
        self.assertEqual(self.engine.state.orders, [])
        await self.order_client.send(SetRole("decode"), 1, lambda: True)
        self.assertEqual(self.engine.state.role, "decode")


if __name__ == "__main__":
    unittest.main()
