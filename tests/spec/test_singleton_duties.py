"""Tests that the model of duties holds and that each mutation violates it."""

from __future__ import annotations

import unittest

from minicheck import check_safety

from spec.checking import find_violated_invariants
from spec.singleton_duties import BOUNDS, duty_model
from spec.singleton_duties_state import LOWER, RETURNED, SHARED, Mutation

SEARCH_STATES = 70_000  # enough for each mutation

VIOLATED_INVARIANTS = {
    Mutation.NO_CHECK_AT_SEND: (LOWER, {}),
    Mutation.NO_SUSPENDED_TIME: (LOWER, {}),
    Mutation.COUNTED_FROM_ANSWER: (LOWER, {}),
    Mutation.NO_DELIVERY_TIME: (LOWER, {}),
    Mutation.NO_LEASE_CONDITION: (LOWER, {}),
    Mutation.NO_TOKEN_CONDITION: (SHARED, {}),
    Mutation.ACTS_WITHOUT_ANSWER: (SHARED, {}),
    Mutation.TOKEN_WITHOUT_ERA: (SHARED, {"grants": 2, "restores": 1}),
    Mutation.KEYS_WITHOUT_ERA: (SHARED, {"restores": 1}),
    Mutation.NO_WAIT_IN_NEW_ERA: (LOWER, {"grants": 2, "restores": 1}),
    Mutation.NO_WAIT_AFTER_START: (RETURNED, {"restarts": 1}),
    Mutation.NO_WAIT_TO_RETURN: (RETURNED, {}),
}


class SingletonDutiesSpecTest(unittest.TestCase):
    def test_invariants_hold(self) -> None:
        for bounds in BOUNDS:
            violated, states = find_violated_invariants(duty_model(**bounds))
            self.assertEqual(violated, [])
            self.assertGreater(states, 20_000)

    def test_each_mutation_violates_its_invariant(self) -> None:
        self.assertEqual(set(VIOLATED_INVARIANTS), set(Mutation))
        for mutation, (invariant, bounds) in VIOLATED_INVARIANTS.items():
            with self.subTest(mutation):
                model = duty_model(mutation, **bounds)
                properties = check_safety(model, max_states=SEARCH_STATES)["properties"]
                self.assertIs(properties[invariant]["holds"], False)


if __name__ == "__main__":
    unittest.main()
