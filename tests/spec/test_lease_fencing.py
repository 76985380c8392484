"""The specification of leases and slots holds, finds its seeded mistakes, and fits the code."""

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
from spec.checking import violated
from spec.lease_fencing import LeaseState, Mistake
from spec.weight_slots import SlotState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

S = TypeVar("S")
TICK_MS = 1_000
SEARCH_STATES = 30_000
WALKS = 200
WALK_STEPS = 60
RARE = ("restart", "lose", "tick")
SETTINGS = OrderSettings(
    lease_ttl_ms=spec.TTL * TICK_MS,
    delivery_ms=spec.DELIVERY * TICK_MS,
    load_timeout_ms=slots.LOAD * TICK_MS,
)
LEASE_MISTAKES = (
    Mistake.NO_CHECK_AT_SEND,
    Mistake.COUNTED_FROM_REPLY,
    Mistake.NO_DELIVERY_TIME,
    Mistake.LAST_MOMENT,
)


class LeaseFencingTest(unittest.TestCase):
    """What the checker finds."""

    def test_models_hold(self) -> None:
        for model in (spec.lease_model(honours=False), slots.slot_model()):
            self.assertEqual(violated(model)[0], [], model.name)

    def test_mistakes_with_the_lease_are_found(self) -> None:
        for mistake in LEASE_MISTAKES:
            model = spec.lease_model(honours=False, mistake=mistake)
            found = self._found(model, 8_000)
            self.assertIn("no order runs after a takeover", found, mistake)

    def test_honoured_numbers_come_too_late_without_the_check(self) -> None:
        model = spec.lease_model(honours=True, mistake=Mistake.NO_CHECK_AT_SEND)
        self.assertEqual(self._found(model, 8_000), ["no order runs after a takeover"])

    def test_old_number_is_found(self) -> None:
        model = spec.lease_model(honours=False, mistake=Mistake.OLD_NUMBER)
        self.assertIn("orders run by number", self._found(model, SEARCH_STATES))

    def test_mistakes_with_slots_are_found(self) -> None:
        for mistake in slots.Mistake:
            found = self._found(slots.slot_model(mistake), SEARCH_STATES)
            self.assertEqual(found, ["one load at once"], mistake)

    def _found(self, model: object, max_states: int) -> list[str]:
        properties = check_safety(model, max_states=max_states)["properties"]
        return [name for name, found in properties.items() if found["holds"] is False]


class LeaseReplay:
    """Drives the real tables along the labels of the specification."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.tables = [OrderTable(), OrderTable()]
        self.asked_ms = [0, 0]

    def follow(self, label: str, before: LeaseState) -> None:
        """Carry one step out."""
        if label == "tick":
            self.now_ms += TICK_MS
            return
        name, index = label.split(maxsplit=1)[0], int(label.split()[1])
        if name == "ask":
            self.asked_ms[index] = self.now_ms
        elif name == "restart":
            self.tables[index] = OrderTable()
        elif name == "hear":
            token = before.holders[index].reply
            lease = build_held_lease("l", token, SETTINGS.lease_ttl_ms, self.asked_ms[index])
            assert adopt_lease(self.tables[index], lease)
        elif name == "send":
            step = SendOrder(SetRole("decode"), before.holders[index].token)
            assert may_send(self.tables[index], step, SETTINGS, self.now_ms)


class SlotReplay:
    """Drives the real tables along the labels of the slot model."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.tables = [OrderTable(), OrderTable()]

    def follow(self, label: str, _before: SlotState) -> None:
        """Carry one step out."""
        if label == "tick":
            self.now_ms += TICK_MS
            return
        name, index = label.split(maxsplit=1)[0], int(label.split()[1])
        table = self.tables[index]
        if name == "take":
            asked_ms = self.now_ms - int(label.split()[2]) * TICK_MS
            table.slot = build_held_lease("s", 1, slots.SLOT_TTL * TICK_MS, asked_ms)
        elif name in {"end", "lose", "restart"}:
            table.slot = None


class ReplayTest(unittest.TestCase):
    """The real decisions are those of the specification, along seeded walks."""

    def test_lease_walks(self) -> None:
        sends = 0
        for seed in range(WALKS):
            replay = LeaseReplay()
            walk = _walk(LeaseState(), lambda s: spec.lease_steps(s, honours=False), seed)
            for label, before, after in walk:
                replay.follow(label, before)
                sends += label.startswith("send")
                for holder, table in zip(after.holders, replay.tables, strict=True):
                    real = lease_covers_send(table, SETTINGS, replay.now_ms)
                    self.assertEqual(real, spec.may_send(holder), (seed, label))
        self.assertGreater(sends, WALKS)

    def test_slot_walks(self) -> None:
        loads = 0
        for seed in range(WALKS):
            replay = SlotReplay()
            for label, before, after in _walk(SlotState(), slots.slot_steps, seed):
                replay.follow(label, before)
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
        weights = [1 if label.startswith(RARE) else 8 for label, _ in choices]
        label, after = rng.choices(choices, weights)[0]
        yield label, state, after
        state = after


if __name__ == "__main__":
    unittest.main()
