"""The specification of configuration pages holds, and finds each seeded mistake."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from minicheck import check_safety

from spec.config_pages import Mutation, build

if TYPE_CHECKING:
    from minicheck import Protocol

MAX_STATES = 200_000
BROKEN_RULES = {
    Mutation.NODE_TAKES_ANY_REVISION: "never_reverts",
    Mutation.PUT_WITHOUT_EXPECTED: "accepted_is_not_overwritten",
    Mutation.OLD_PAGE_SENT_AGAIN: "accepted_is_not_overwritten",
    Mutation.NO_BASE: "accepted_is_not_overwritten",
    Mutation.LOST_IS_NOT_ACCEPTED: "answers_are_true",
    Mutation.DROPPED_IS_NOT_ACCEPTED: "answers_are_true",
    Mutation.RERUN_FORGETS: "answers_are_true",
    Mutation.STALE_IS_NEWER: "answers_are_true",
}


class ConfigPagesSpecTest(unittest.TestCase):
    """Two writers that both run again with a node, and three writers without."""

    def test_rules_hold_two_writers_and_a_node(self) -> None:
        self.assertEqual(self._broken(build(reruns=(1, 1), node=True), whole=True), set())

    def test_rules_hold_three_writers(self) -> None:
        self.assertEqual(self._broken(build(reruns=(1, 0, 0)), whole=True), set())

    def test_each_mistake_is_found(self) -> None:
        self.assertEqual(set(BROKEN_RULES), set(Mutation))
        for mistake, rule in BROKEN_RULES.items():
            with self.subTest(mistake):
                model = build(mistake, reruns=(1, 0, 0), node=rule == "never_reverts")
                self.assertEqual(self._broken(model), {rule})

    def _broken(self, model: Protocol, *, whole: bool = False) -> set[str]:
        result = check_safety(model, max_states=MAX_STATES)
        if whole:
            self.assertTrue(result["exhaustive"])
            self.assertGreater(result["reachable_states"], 1_000)
        holds = {name: item["holds"] for name, item in result["properties"].items()}
        self.assertNotIn(None, holds.values())
        return {name for name, held in holds.items() if not held}


if __name__ == "__main__":
    unittest.main()
