"""Tests that the model of at-most-once execution holds and that each mutation violates it."""

from __future__ import annotations

import unittest

from minicheck import check_safety

from spec.at_most_once import Mutation, build

MAX_STATES = 200_000
BOUNDS = (
    {"crashes": 1, "pauses": 0, "revisions": 2},
    {"crashes": 1, "pauses": 1, "revisions": 1},
)
MUTATION_BOUNDS = {
    Mutation.RUN_BEFORE_COMMIT: (1, 0, 1),
    Mutation.NO_INCARNATION: (1, 0, 1),
    Mutation.NO_UNCERTAIN_FLAG: (1, 0, 1),
    Mutation.TAKEOVER_WITHOUT_HOST_LIST: (0, 0, 2),
    Mutation.NOT_RUN_FOR_UNKNOWN: (1, 0, 1),
    Mutation.MEMORY_TOO_EARLY: (1, 0, 1),
    Mutation.RESUME_WITHOUT_CONFIRMATION: (0, 1, 1),
    Mutation.RUN_LATE_CALLS: (1, 0, 1),
    Mutation.OMIT_MEMORY_KEYS: (0, 0, 2),
    Mutation.NOT_RUN_UNCONFIRMED: (0, 1, 1),
    Mutation.CONFIRM_BY_READ: (0, 1, 1),
    Mutation.MEMORY_AFTER_RELEASE: (0, 0, 2),
}


class AtMostOnceSpecTest(unittest.TestCase):
    """The model within bounds, and its mutations."""

    def test_invariants_hold_within_bounds(self) -> None:
        for bounds in BOUNDS:
            with self.subTest(**bounds):
                result = check_safety(build(**bounds), max_states=MAX_STATES)
                self.assertTrue(result["exhaustive"], result)
                broken = [n for n, p in result["properties"].items() if p["holds"] is not True]
                self.assertEqual(broken, [])

    def test_each_mutation_violates_an_invariant(self) -> None:
        for mutation in Mutation:
            crashes, pauses, revisions = MUTATION_BOUNDS[mutation]
            with self.subTest(mutation=mutation.name):
                model = build(mutation, crashes=crashes, pauses=pauses, revisions=revisions)
                result = check_safety(model, max_states=MAX_STATES)
                found = [n for n, p in result["properties"].items() if p["holds"] is False]
                self.assertNotEqual(found, [])


if __name__ == "__main__":
    unittest.main()
