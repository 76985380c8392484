"""Tests that the model of configuration pages holds and that each mutation violates it."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from minicheck import check_safety

from spec.config_pages import Mutation, build

if TYPE_CHECKING:
    from minicheck import Protocol

MAX_STATES = 200_000
VIOLATED_INVARIANTS = {
    Mutation.NODE_APPLIES_ANY_REVISION: "never_reverts",
    Mutation.PUT_WITHOUT_EXPECTED_REVISION: "accepted_is_not_overwritten",
    Mutation.RETRY_WITH_OLD_PAGE: "accepted_is_not_overwritten",
    Mutation.MERGE_WITHOUT_BASE: "accepted_is_not_overwritten",
    Mutation.LOST_REPLY_IS_NOT_ACCEPTED: "results_are_true",
    Mutation.DROPPED_ID_IS_NOT_ACCEPTED: "results_are_true",
    Mutation.RERUN_IGNORES_EARLIER_RUN: "results_are_true",
    Mutation.STALE_READ_SETTLES_WRITE: "results_are_true",
}


class ConfigPagesSpecTest(unittest.TestCase):
    """Two writers with a rerun each and a node, and three writers without a node."""

    def test_invariants_hold_with_two_writers_and_a_node(self) -> None:
        self.assertEqual(
            self._find_violated_invariants(build(reruns=(1, 1), node=True), exhaustive=True), set()
        )

    def test_invariants_hold_with_three_writers(self) -> None:
        self.assertEqual(
            self._find_violated_invariants(build(reruns=(1, 0, 0)), exhaustive=True), set()
        )

    def test_each_mutation_violates_its_invariant(self) -> None:
        self.assertEqual(set(VIOLATED_INVARIANTS), set(Mutation))
        for mutation, invariant in VIOLATED_INVARIANTS.items():
            with self.subTest(mutation):
                model = build(mutation, reruns=(1, 0, 0), node=invariant == "never_reverts")
                self.assertEqual(self._find_violated_invariants(model), {invariant})

    def _find_violated_invariants(self, model: Protocol, *, exhaustive: bool = False) -> set[str]:
        result = check_safety(model, max_states=MAX_STATES)
        if exhaustive:
            self.assertTrue(result["exhaustive"])
            self.assertGreater(result["reachable_states"], 1_000)
        holds = {name: item["holds"] for name, item in result["properties"].items()}
        self.assertNotIn(None, holds.values())
        return {name for name, held in holds.items() if not held}


if __name__ == "__main__":
    unittest.main()
