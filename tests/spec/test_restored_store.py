"""Tests that the model of a restored store holds and that each mutation violates it."""

from __future__ import annotations

import unittest

from spec.checking import find_violated_invariants
from spec.restored_store import Mutation, build

VIOLATED_INVARIANTS = {
    Mutation.REVISION_WITHOUT_ERA: "newest_is_in_force",
    Mutation.ERA_WITHOUT_VERSION: "never_falls",
}


class RestoredStoreSpecTest(unittest.TestCase):
    def test_invariants_hold(self) -> None:
        violated, states = find_violated_invariants(build())
        self.assertEqual(violated, [])
        self.assertGreater(states, 1_000)

    def test_each_mutation_violates_its_invariant(self) -> None:
        self.assertEqual(set(VIOLATED_INVARIANTS), set(Mutation))
        for mutation, invariant in VIOLATED_INVARIANTS.items():
            with self.subTest(mutation):
                self.assertIn(invariant, find_violated_invariants(build(mutation))[0])


if __name__ == "__main__":
    unittest.main()
