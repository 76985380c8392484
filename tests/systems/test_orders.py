"""Tests of the choice of orders to an engine and of the checks before sending them."""

from __future__ import annotations

import unittest
from random import Random

from boragetiller.settings import OrderSettings
from boragetiller.systems.orders import (
    adopt_lease,
    build_held_lease,
    delay_new_order,
    may_send,
    next_order,
    next_step,
    record_failure,
    record_success,
)
from boragetiller.tables.orders import (
    AcquireLease,
    AcquireSlot,
    EngineConfig,
    LoadAdapter,
    LoadModel,
    OrderTable,
    SendOrder,
    SetRole,
    Wait,
)

SETTINGS = OrderSettings(lease_ttl_ms=10_000, delivery_ms=1_000, load_timeout_ms=60_000)
ROLE = SetRole("decode")


def _build_table(requested_ms: int = 0, token: int = 7) -> OrderTable:
    table = OrderTable()
    adopt_lease(table, build_held_lease("l", token, SETTINGS.lease_ttl_ms, requested_ms))
    return table


class OrdersTest(unittest.TestCase):
    """Choice of orders, leases, slots and delays."""

    def test_next_order_removes_first_difference(self) -> None:
        wanted = EngineConfig(models=("a", "b"), adapters=("x",), role="decode")
        self.assertEqual(next_order(wanted, EngineConfig(models=("a",))), SetRole("decode"))
        held = EngineConfig(models=("a",), role="decode")
        self.assertEqual(next_order(wanted, held), LoadModel("b"))
        held = EngineConfig(models=("b", "a"), role="decode")
        self.assertEqual(next_order(wanted, held), LoadAdapter("x"))
        held = EngineConfig(models=("b", "a", "c"), adapters=("x",), role="decode")
        self.assertIsNone(next_order(wanted, held))

    def test_next_step_acquires_slot_then_lease_then_sends(self) -> None:
        table = OrderTable()
        order = LoadModel("a")
        self.assertEqual(next_step(table, None, SETTINGS, 0), Wait())
        self.assertEqual(next_step(table, order, SETTINGS, 0), AcquireSlot())
        table.slot = build_held_lease("s", 3, SETTINGS.slot_ttl_ms, 0)
        self.assertEqual(next_step(table, order, SETTINGS, 0), AcquireLease())
        adopt_lease(table, build_held_lease("l", 4, SETTINGS.lease_ttl_ms, 0))
        self.assertEqual(next_step(table, order, SETTINGS, 0), SendOrder(order, 4))
        self.assertEqual(next_step(OrderTable(), ROLE, SETTINGS, 0), AcquireLease())

    def test_delay_new_order_spreads_first_step_of_large_group(self) -> None:
        starts = []
        for seed in range(200):
            table = OrderTable()
            delay_new_order(table, ROLE, 1_300, SETTINGS, Random(seed), 0)
            starts.append(table.retry_at_ms)
            delay_new_order(table, ROLE, 1_300, SETTINGS, Random(seed), 5)
            self.assertEqual(table.retry_at_ms, starts[-1])
        self.assertLessEqual(max(starts), 13_000)
        self.assertLess(sum(start < 1_000 for start in starts), 40)

    def test_may_send_refuses_order_that_may_arrive_after_lease_expiry(self) -> None:
        step = SendOrder(ROLE, 7)
        self.assertTrue(may_send(_build_table(requested_ms=500), step, SETTINGS, 9_499))
        table = _build_table(requested_ms=500)
        self.assertFalse(may_send(table, step, SETTINGS, 9_500))
        self.assertFalse(may_send(table, step, SETTINGS, 0))  # the expired lease was dropped

    def test_may_send_refuses_other_fencing_token(self) -> None:
        self.assertFalse(may_send(_build_table(token=8), SendOrder(ROLE, 7), SETTINGS, 0))

    def test_may_send_requires_slot_for_the_whole_load(self) -> None:
        table = _build_table()
        step = SendOrder(LoadModel("a"), 7)
        self.assertFalse(may_send(table, step, SETTINGS, 0))
        table.slot = build_held_lease("s", 3, 61_001, 0)
        self.assertTrue(may_send(table, step, SETTINGS, 0))
        self.assertFalse(may_send(table, step, SETTINGS, 1))

    def test_adopt_lease_requires_newer_fencing_token(self) -> None:
        table = _build_table(token=7)
        self.assertFalse(adopt_lease(table, build_held_lease("l", 7, 10_000, 5_000)))
        self.assertTrue(adopt_lease(table, build_held_lease("l", 8, 10_000, 5_000)))

    def test_record_failure_backs_off(self) -> None:
        table, rng = OrderTable(), Random(1)
        delays = []
        for _ in range(8):
            record_failure(table, SETTINGS, rng, 0)
            delays.append(table.retry_at_ms)
        self.assertLessEqual(delays[0], SETTINGS.retry_base_ms)
        self.assertGreaterEqual(min(delays[5:]), SETTINGS.retry_max_ms // 2)
        self.assertLessEqual(max(delays), SETTINGS.retry_max_ms)
        self.assertEqual(next_step(table, ROLE, SETTINGS, 0), Wait(table.retry_at_ms))
        record_success(table)
        self.assertEqual(next_step(table, ROLE, SETTINGS, 0), AcquireLease())


if __name__ == "__main__":
    unittest.main()
