"""Tests that each idempotency key runs at most once, under random faults and known traces."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import attrs

from bench.shard_simulation import Call, ShardSimulation
from boragetiller.systems import claims, shard_commits, shard_ownership, shards
from boragetiller.systems.shard_pages import decode_page
from boragetiller.tables.claims import ClaimState
from tests.systems.shard_faults import SETTINGS, FaultHistory

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = range(20)
STEPS = 250


class ShardFaultsTest(unittest.TestCase):
    """Seeded random fault sequences."""

    def test_random_faults_run_each_key_at_most_once(self) -> None:
        codes: Counter[str] = Counter()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = FaultHistory(seed)
                history.run(STEPS)
                self.assertEqual(history.violations(), [])
                self.assertEqual([c for c in history.calls if c.finished_ms is None], [])
                codes.update(call.code for call in history.calls)
        self.assertGreater(codes["answered"], 500)
        self.assertGreater(codes["replayed"], 200)


class TraceTest(unittest.TestCase):
    """Counterexamples that the specification gives for wrong variants of the protocol."""

    def setUp(self) -> None:
        self.simulation = ShardSimulation(
            ("a", "b"), Random(1), settings=SETTINGS, shard_count=1, host_list_lag_ms=0
        )
        self.simulation.run(3_000)
        owner = self.simulation.find_owner("k")
        assert owner is not None
        self.owner = owner
        self.successor = "b" if owner == "a" else "a"

    def _send(self, agent: str, wait_ms: int = 500, key: str = "k") -> Call:
        call = self.simulation.send(key, agent)
        self.simulation.run(wait_ms)
        return call

    def _assert_at_most_once(self) -> None:
        self.assertLessEqual(max(self.simulation.runs.values(), default=0), 1)
        self.assertEqual(self.simulation.false_not_run, [])

    def _restart_owner(self) -> None:
        self.simulation.crash(self.owner)
        self.simulation.start(self.owner)
        self.simulation.run(2_000)

    def test_trace_run_before_commit(self) -> None:
        self.simulation.faults.store_down = True
        self._send(self.owner, 10)
        self.simulation.crash(self.owner)
        self.simulation.faults.store_down = False
        self.simulation.start(self.owner)
        self.simulation.run(2_000)
        self._send(self.owner)
        self._assert_at_most_once()

    def test_trace_service_from_memory_too_early(self) -> None:
        self.simulation.faults.store_down = True
        self._send(self.owner, 2_500)
        self.simulation.faults.store_down = False
        self._restart_owner()
        self._send(self.owner)
        self._assert_at_most_once()

    def test_trace_takeover_without_uncertain_period(self) -> None:
        self.simulation.faults.store_down = True
        self._send(self.owner, 6_000)
        self.simulation.crash(self.owner)
        self.simulation.faults.store_down = False
        self.simulation.start(self.owner)
        self.simulation.run(2_000)
        call = self._send(self.owner)
        self.assertEqual(call.code, "outcome_unknown")
        self._assert_at_most_once()

    def test_trace_incarnation_ignored(self) -> None:
        self.simulation.faults.store_down = True
        self._send(self.owner, 6_000)
        self.simulation.crash(self.owner)
        self.simulation.faults.store_down = False
        self.simulation.start(self.owner)
        self.simulation.run(60)
        self.simulation.faults.store_down = True
        self._send(self.owner, 7_000)
        self._assert_at_most_once()

    def test_trace_takeover_from_listed_owner(self) -> None:
        self._send(self.owner)
        self.simulation.pause(self.successor, 1_000)
        self.simulation.agents[self.successor].table.members = (self.successor,)
        self.simulation.run(8_000)
        self.assertEqual(self.simulation.find_owner("k"), self.owner)

    def test_trace_takeover_requires_host_list_read_after_page(self) -> None:
        table = self.simulation.agents[self.successor].table
        value, revision = self.simulation.read_page(0)
        now_ms = self.simulation.now_ms
        alone = ((self.successor,), frozenset({self.successor}))
        shards.update_hosts(table, *alone, now_ms - 1)
        shards.handle_page_read(table, 0, decode_page(value), revision, SETTINGS, now_ms, now_ms)
        self.assertFalse(shard_ownership.may_take_over(table, table.shards[0]))
        shards.update_hosts(table, *alone, now_ms + 1)
        self.assertTrue(shard_ownership.may_take_over(table, table.shards[0]))

    def test_trace_keys_served_from_memory_are_committed_after_outage(self) -> None:
        self.simulation.faults.store_down = True
        self._send(self.owner, 6_000)
        self.simulation.faults.store_down = False
        self.simulation.run(2_000)
        self._restart_owner()
        self._send(self.owner)
        self._assert_at_most_once()

    def test_trace_release_is_not_withdrawn(self) -> None:
        self.simulation.faults.late_writes = 1.0
        shards.begin_drain(self.simulation.agents[self.owner].table)
        self.simulation.run(200)
        self.simulation.agents[self.owner].table.draining = False
        self.simulation.faults.late_writes = 0.0
        self._send(self.owner, 7_000)
        self.simulation.run(20_000)
        self._send(self.successor)
        self._assert_at_most_once()

    def test_trace_pause_and_takeover_during_outage(self) -> None:
        self.simulation.pause(self.owner, 3_000)
        self.simulation.set_listed(self.owner, listed=False)
        self.simulation.run(2_900)
        self.simulation.faults.store_down = True
        self.simulation.set_listed(self.owner, listed=True)
        calls = [self._send(self.owner, 10), self._send(self.successor, 10)]
        self.simulation.run(15_000)
        self._assert_at_most_once()
        self.assertNotIn("", [call.code for call in calls])

    def test_trace_late_call_is_refused(self) -> None:
        self.simulation.pause(self.owner, 20_000)
        call = self.simulation.send("k", self.owner)
        self.simulation.run(21_000)
        self.assertEqual(call.code, "outcome_unknown")
        self._assert_at_most_once()


def _run_without_commit(*args: Any) -> Any:
    shard, call = args[0], args[1]
    actions = _claim_key(*args)
    return actions + (claims.grant_claim(shard, call.digest) if call.digest in shard.claims else [])


def _takeover_without_claims(*args: Any) -> Any:
    return attrs.evolve(_build_takeover_page(*args), claims=())


def _ignore_incarnation(*args: Any) -> Any:
    table, shard, page, revision, now_ms = args
    if page.owner == table.name:
        page = attrs.evolve(page, incarnation=table.incarnation)
    return _apply_page(table, shard, page, revision, now_ms)


def _omit_keys_served_from_memory(*args: Any, **kwargs: Any) -> Any:
    page = _build_page(*args, **kwargs)
    shard = args[1]
    kept = [
        claim
        for claim in page.claims
        if claim.digest not in shard.uncommitted
        or shard.claims[claim.digest].state is ClaimState.PENDING
    ]
    return attrs.evolve(page, claims=tuple(kept), from_memory=False)


_claim_key = claims.claim_key
_build_takeover_page = shard_ownership.build_takeover_page
_apply_page = shards.apply_page
_build_page = shard_commits.build_page

MUTATIONS: dict[str, tuple[object, str, Callable[..., Any]]] = {
    "run before commit": (claims, "claim_key", _run_without_commit),
    "memory too early": (
        shard_ownership,
        "may_set_memory_flag",
        lambda shard, *_: not shard.ownership_unconfirmed and not shard.releasing,
    ),
    "no uncertain mark": (
        shard_ownership,
        "_may_have_served_from_memory",
        lambda *_: False,
    ),
    "take without claims": (shard_ownership, "build_takeover_page", _takeover_without_claims),
    "no incarnation": (shards, "apply_page", _ignore_incarnation),
    "pause unnoticed": (shards, "_mark_unconfirmed", lambda _: None),
    "memory keys forgotten": (shard_commits, "build_page", _omit_keys_served_from_memory),
    "takeover without the list": (
        shard_ownership,
        "may_take_over",
        shard_ownership.should_own,
    ),
}


class MutationTest(unittest.TestCase):
    """Wrong variants of the protocol, each of which a trace or a fault sequence must detect."""

    def test_mutations_are_detected(self) -> None:
        for name, (module, attribute, mutated) in MUTATIONS.items():
            with self.subTest(name), patch.object(module, attribute, mutated):
                self.assertTrue(_is_detected(), f"mutation not detected: {name}")


def _is_detected() -> bool:
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromTestCase(TraceTest).run(result)
    if result.failures:
        return True
    for seed in SEEDS:
        history = FaultHistory(seed)
        history.run(STEPS)
        if history.violations():
            return True
    return False


if __name__ == "__main__":
    unittest.main()
