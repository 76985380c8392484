"""Routers that leave the watch on the list of servers to others."""

from __future__ import annotations

import unittest

from boragetiller.systems.watcher_election import STORE_REPORT_TTL_MS, WATCHERS, WatcherElection

NAMES = [f"router-{number}" for number in range(28)]


def fleet(names: list[str], *, cut_off: set[str] = frozenset()) -> dict[str, WatcherElection]:
    """:return: what each router knows after one report of each that is not cut off from it"""
    known = {name: WatcherElection(name) for name in names}
    for name, watches in known.items():
        for other in names:
            if other != name and not {name, other} & cut_off:
                watches.record_peer(other, 0, reaches_store=True)
    return known


def watchers(known: dict[str, WatcherElection], now_ms: int = 1) -> set[str]:
    return {name for name, watches in known.items() if watches.is_watcher(now_ms)}


class WatchSharingTest(unittest.TestCase):
    def test_small_fleet_watches_as_a_whole(self) -> None:
        self.assertEqual(watchers(fleet(NAMES[:WATCHERS])), set(NAMES[:WATCHERS]))

    def test_large_fleet_has_a_few_watchers(self) -> None:
        self.assertEqual(len(watchers(fleet(NAMES))), WATCHERS)

    def test_router_that_hears_nobody_watches_for_itself(self) -> None:
        known = fleet(NAMES, cut_off={NAMES[3]})
        found = watchers(known)
        self.assertIn(NAMES[3], found)
        self.assertGreaterEqual(len(found - {NAMES[3]}), WATCHERS)

    def test_next_ones_take_over_when_watchers_fall_silent(self) -> None:
        known = fleet(NAMES)
        gone = watchers(known)
        for name, watches in known.items():
            for other in set(NAMES) - gone - {name}:
                watches.record_peer(other, STORE_REPORT_TTL_MS, reaches_store=True)
        found = watchers({n: w for n, w in known.items() if n not in gone}, STORE_REPORT_TTL_MS)
        self.assertEqual(len(found), WATCHERS)

    def test_next_ones_take_over_when_watchers_lose_the_store(self) -> None:
        known = fleet(NAMES)
        gone = watchers(known)
        for watches in known.values():
            for other in gone - {watches.own_name}:
                watches.record_peer(other, 1, reaches_store=False)
        self.assertEqual(len(watchers(known) - gone), WATCHERS)


if __name__ == "__main__":
    unittest.main()
