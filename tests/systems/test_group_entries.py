"""Which versions routers write into the entry of a group that they share."""

from __future__ import annotations

import unittest
from random import Random

from boragetiller.systems.group_entries import (
    POLL_MS,
    REFRESH_MS,
    REMOVAL_MS,
    GroupSightings,
    StoredEntry,
    decide_entry,
    is_read_due,
    observe_entry,
)
from boragetiller.systems.list_coverage import ListCoverage
from boragetiller.tables.stream_versions import STREAM_LIFETIME_MS, VersionHistory

VERSIONS = ("v1", "v2", "v3")
ROUTERS = 3
STEP_MS = 500  # between two checks of a router
SEEDS = (*range(60), 284, 509)  # the last two found faults
ACTIONS = 60
LONG_STEPS = (REMOVAL_MS + 2 * REFRESH_MS) // STEP_MS


class Router:
    """A router, which does nothing while it is frozen, and has an old list while it is cut off."""

    def __init__(self, jitter: float) -> None:
        """:param jitter: see is_read_due"""
        self.history = VersionHistory()
        self.coverage = ListCoverage()
        self.jitter = jitter
        self.listed: frozenset[str] = frozenset()
        self.entry: StoredEntry | None = None
        self.frozen = False
        self.cut_off = False
        self.delays_write = False  # whether its next write is executed late, without an answer


class Fleet:
    """Routers, the list of servers, and the entry in a store that executes some writes late."""

    def __init__(self, routers: int = ROUTERS) -> None:
        """Start with one version."""
        self.present = frozenset({"v1"})
        self.served_ms: dict[str, int] = {}  # when a router last saw a version that was stored
        self.routers = [Router(number / routers) for number in range(routers)]
        self.marks: dict[str, int] = {}
        self.revision = 1
        self.delayed: list[tuple[int, dict[str, int]]] = []
        self.now_ms = 0

    def write(self, expected: int, marks: dict[str, int]) -> None:
        """Execute a write if its condition holds."""
        if expected == self.revision:
            self.marks, self.revision = marks, self.revision + 1

    def read(self, router: Router) -> StoredEntry:
        """Let a router read the entry."""
        router.entry = observe_entry(router.entry, self.marks, self.revision, self.now_ms)
        return router.entry

    def check(self, router: Router) -> None:
        """Let a router check the entry, as the gateway does."""
        if not router.cut_off:
            router.listed = self.present
        router.coverage.observe(self.now_ms, is_current=not router.cut_off)
        router.history.observe("g", router.listed, self.now_ms)
        recent = router.history.list_recent("g", self.now_ms)
        sightings = GroupSightings(recent, router.history.get_appearances("g"))

        def decide(entry: StoredEntry) -> dict[str, int] | None:
            return decide_entry(
                entry,
                sightings,
                self.now_ms,
                is_certain=router.coverage.covers_streams(self.now_ms),
            )

        known = router.entry
        is_due = known is None or is_read_due(known, sightings, self.now_ms, router.jitter)
        if known is not None and not is_due and decide(known) is None:
            return
        marks = decide(self.read(router))
        if marks is not None and router.delays_write:
            router.delays_write = False
            self.delayed.append((self.revision, marks))
        elif marks is not None:
            self.write(self.revision, marks)
            self.read(router)

    def step(self) -> None:
        """Let all routers check the entry, and note which versions they can serve."""
        self.now_ms += STEP_MS
        for router in self.routers:
            if not router.frozen:
                self.check(router)
        for router in self.routers:
            if not router.frozen and not router.cut_off:
                served = router.listed & self.marks.keys()
                self.served_ms |= dict.fromkeys(served, self.now_ms)

    def execute_delayed(self) -> None:
        """Execute the writes that got no answer, if their conditions still hold."""
        for expected, marks in self.delayed:
            self.write(expected, marks)
        self.delayed.clear()

    def act(self, rng: Random) -> None:
        """Change something at random, and let some time pass."""
        router = rng.choice(self.routers)
        match rng.randrange(6):
            case 0 | 1:
                self.present = frozenset(rng.sample(VERSIONS, rng.choice((1, 1, 2, 3))))
            case 2:
                router.frozen = not router.frozen
            case 3:
                router.cut_off = not router.cut_off
            case 4:
                router.delays_write = True
            case 5:
                self.execute_delayed()


class EntryTest(unittest.TestCase):
    """Decisions of one router and of several."""

    def test_entry_names_each_version_whose_streams_may_be_resumed(self) -> None:
        # A version that has served may be missing only once its streams have ended.
        for seed in SEEDS:
            rng, fleet = Random(seed), Fleet()
            for _ in range(ACTIONS):
                fleet.act(rng)
                for _ in range(rng.choice((1, 1, 2, 10, 30, LONG_STEPS))):
                    fleet.step()
                    recent = {
                        version
                        for version, served_ms in fleet.served_ms.items()
                        if fleet.now_ms - served_ms < STREAM_LIFETIME_MS
                    }
                    self.assertLessEqual(recent, fleet.marks.keys(), f"seed {seed}")

    def test_version_that_is_gone_is_removed_in_the_end(self) -> None:
        fleet = Fleet()
        fleet.step()
        fleet.present = frozenset({"v2"})
        for _ in range((STREAM_LIFETIME_MS + REMOVAL_MS + 2 * POLL_MS) // STEP_MS):
            fleet.step()
        self.assertEqual(fleet.marks.keys(), {"v2"})

    def test_version_that_is_gone_is_removed_beside_two_that_serve(self) -> None:
        fleet = Fleet()
        fleet.present = frozenset(VERSIONS)
        fleet.step()
        fleet.present -= {"v1"}
        for _ in range((STREAM_LIFETIME_MS + REMOVAL_MS + 2 * POLL_MS) // STEP_MS):
            fleet.step()
        self.assertEqual(fleet.marks.keys(), {"v2", "v3"})

    def test_entry_is_refreshed_by_one_router_at_a_time(self) -> None:
        for routers in (ROUTERS, 100):
            fleet = Fleet(routers)
            fleet.present = frozenset(VERSIONS[:2])
            fleet.step()
            before, longest_ms = fleet.revision, 20 * REFRESH_MS
            for _ in range(longest_ms // STEP_MS):
                fleet.step()
            self.assertLessEqual(fleet.revision - before, longest_ms // (REFRESH_MS - 2 * POLL_MS))
            self.assertGreaterEqual(fleet.revision - before, 10)

    def test_router_whose_list_is_old_removes_nothing(self) -> None:
        entry = StoredEntry(
            {"v1": 1, "v2": 1}, 2, {"v1": 0, "v2": 0}, {"v1": 0, "v2": REMOVAL_MS}, REMOVAL_MS
        )
        sightings = GroupSightings(frozenset({"v2"}), {"v2": 0})
        for is_certain, expected in ((False, None), (True, {"v2": 2})):
            decided = decide_entry(entry, sightings, REMOVAL_MS, is_certain=is_certain)
            self.assertEqual(decided, expected)

    def test_version_whose_mark_has_changed_lately_is_not_removed(self) -> None:
        entry = StoredEntry({"v1": 1, "v2": 1}, 2, {"v1": 1, "v2": 0}, {"v1": 0, "v2": 9}, 9)
        sightings = GroupSightings(frozenset({"v2"}), {"v2": 0})
        for now_ms, expected in ((REMOVAL_MS, {"v1", "v2"}), (REMOVAL_MS + 1, {"v2"})):
            marks = decide_entry(entry, sightings, now_ms, is_certain=True)
            assert marks is not None  # the mark of v2 is refreshed
            self.assertEqual(marks.keys(), expected)

    def test_version_that_appears_again_is_refreshed_at_once(self) -> None:
        # A removal that another router has decided meanwhile must fail.
        entry = StoredEntry({"v1": 1, "v2": 1}, 2, {"v1": 0, "v2": 0}, {"v1": 1, "v2": 1}, 2)
        for appeared_ms, expected in ((0, None), (2, {"v1": 2, "v2": 2})):
            sightings = GroupSightings(frozenset({"v1", "v2"}), {"v1": appeared_ms, "v2": 0})
            self.assertEqual(decide_entry(entry, sightings, 3, is_certain=True), expected)

    def test_entry_is_read_again_only_while_several_versions_serve(self) -> None:
        entry = StoredEntry({"v1": 1}, 1, {"v1": 0}, {"v1": 0}, 0)
        for recent, expected in (({"v1"}, False), ({"v1", "v2"}, True)):
            sightings = GroupSightings(frozenset(recent), {})
            self.assertIs(is_read_due(entry, sightings, 2 * POLL_MS, 0.5), expected)
            self.assertFalse(is_read_due(entry, sightings, POLL_MS, 0.5))


if __name__ == "__main__":
    unittest.main()
