"""Tests that the models of leases and slots hold, and that the code decides as the models do."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING, TypeVar

from minicheck import check_safety

from boragetiller.settings import OrderSettings
from boragetiller.systems.orders import (
    adopt_lease,
    build_held_lease,
    lease_covers_send,
    may_send,
    slot_covers_load,
)
from boragetiller.tables.orders import OrderTable, SendOrder, SetRole
from spec import lease_fencing as spec
from spec import weight_slots as slots
from spec.checking import find_violated_invariants
from spec.lease_fencing import LeaseState, Mutation
from spec.weight_slots import SlotState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

S = TypeVar("S")
TICK_MS = 1_000
SEARCH_STATES = 30_000
WALKS = 200
WALK_STEPS = 60
RARE_STEPS = ("restart", "lose", "tick")
SETTINGS = OrderSettings(
    lease_ttl_ms=spec.TTL * TICK_MS,
    delivery_ms=spec.DELIVERY * TICK_MS,
    load_timeout_ms=slots.LOAD * TICK_MS,
)
LEASE_MUTATIONS = (
    Mutation.NO_CHECK_AT_SEND,
    Mutation.TTL_COUNTED_FROM_REPLY,
    Mutation.NO_DELIVERY_TIME,
    Mutation.NO_MARGIN_AT_EXPIRY,
)


class LeaseFencingTest(unittest.TestCase):
    """The models and their mutations."""

    def test_invariants_hold(self) -> None:
        for model in (spec.lease_model(checks_tokens=False), slots.slot_model()):
            self.assertEqual(find_violated_invariants(model)[0], [], model.name)

    def test_lease_mutations_violate_the_takeover_invariant(self) -> None:
        for mutation in LEASE_MUTATIONS:
            model = spec.lease_model(checks_tokens=False, mutation=mutation)
            found = self._find_violated(model, 8_000)
            self.assertIn("no order runs after a takeover", found, mutation)

    def test_token_check_alone_does_not_prevent_orders_after_a_takeover(self) -> None:
        model = spec.lease_model(checks_tokens=True, mutation=Mutation.NO_CHECK_AT_SEND)
        self.assertEqual(self._find_violated(model, 8_000), ["no order runs after a takeover"])

    def test_reused_token_violates_the_order_invariant(self) -> None:
        model = spec.lease_model(checks_tokens=False, mutation=Mutation.OLD_TOKEN)
        self.assertIn("orders run by number", self._find_violated(model, SEARCH_STATES))

    def test_slot_mutations_allow_two_loads(self) -> None:
        for mutation in slots.Mutation:
            found = self._find_violated(slots.slot_model(mutation), SEARCH_STATES)
            self.assertEqual(found, ["one load at once"], mutation)

    def _find_violated(self, model: object, max_states: int) -> list[str]:
        properties = check_safety(model, max_states=max_states)["properties"]
        return [name for name, found in properties.items() if found["holds"] is False]


class LeaseReplay:
    """Applies steps of the lease model to the real tables."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.tables = [OrderTable(), OrderTable()]
        self.requested_ms = [0, 0]

    def apply_step(self, label: str, before: LeaseState) -> None:
        """Apply one step."""
        if label == "tick":
            self.now_ms += TICK_MS
            return
        name, index = label.split(maxsplit=1)[0], int(label.split()[1])
        if name == "request":
            self.requested_ms[index] = self.now_ms
        elif name == "restart":
            self.tables[index] = OrderTable()
        elif name == "receive":
            token = before.holders[index].reply
            lease = build_held_lease("l", token, SETTINGS.lease_ttl_ms, self.requested_ms[index])
            assert adopt_lease(self.tables[index], lease)
        elif name == "send":
            step = SendOrder(SetRole("decode"), before.holders[index].token)
            assert may_send(self.tables[index], step, SETTINGS, self.now_ms)


class SlotReplay:
    """Applies steps of the slot model to the real tables."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.tables = [OrderTable(), OrderTable()]

    def apply_step(self, label: str, _before: SlotState) -> None:
        """Apply one step."""
        if label == "tick":
            self.now_ms += TICK_MS
            return
        name, index = label.split(maxsplit=1)[0], int(label.split()[1])
        table = self.tables[index]
        if name == "take":
            requested_ms = self.now_ms - int(label.split()[2]) * TICK_MS
            table.slot = build_held_lease("s", 1, slots.SLOT_TTL * TICK_MS, requested_ms)
        elif name in {"end", "lose", "restart"}:
            table.slot = None


class ReplayTest(unittest.TestCase):
    """The code decides as the models do, along seeded random walks."""

    def test_lease_decisions_match_the_model(self) -> None:
        sends = 0
        for seed in range(WALKS):
            replay = LeaseReplay()
            walk = _walk(LeaseState(), lambda s: spec.lease_steps(s, checks_tokens=False), seed)
            for label, before, after in walk:
                replay.apply_step(label, before)
                sends += label.startswith("send")
                for holder, table in zip(after.holders, replay.tables, strict=True):
                    real = lease_covers_send(table, SETTINGS, replay.now_ms)
                    self.assertEqual(real, spec.may_send(holder), (seed, label))
        self.assertGreater(sends, WALKS)

    def test_slot_decisions_match_the_model(self) -> None:
        loads = 0
        for seed in range(WALKS):
            replay = SlotReplay()
            for label, before, after in _walk(SlotState(), slots.slot_steps, seed):
                replay.apply_step(label, before)
                loads += label.startswith("load")
                for loader, table in zip(after.loaders, replay.tables, strict=True):
                    real = slot_covers_load(table, SETTINGS, replay.now_ms)
                    self.assertEqual(real, slots.slot_covers(loader), (seed, label))
        self.assertGreater(loads, WALKS)


def _walk(
    state: S, steps: Callable[[S], Iterator[tuple[str, S]]], seed: int
) -> Iterator[tuple[str, S, S]]:
    rng = Random(seed)
    for _ in range(WALK_STEPS):
        choices = list(steps(state))
        weights = [1 if label.startswith(RARE_STEPS) else 8 for label, _ in choices]
        label, after = rng.choices(choices, weights)[0]
        yield label, state, after
        state = after


if __name__ == "__main__":
    unittest.main()
