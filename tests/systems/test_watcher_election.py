"""Tests of the election of the routers that watch the list of backend servers."""

from __future__ import annotations

import unittest

from boragetiller.systems.watcher_election import STORE_REPORT_TTL_MS, WATCHERS, WatcherElection

NAMES = [f"router-{number}" for number in range(28)]


def build_elections(
    names: list[str], *, cut_off: set[str] = frozenset()
) -> dict[str, WatcherElection]:
    """:return: elections by router, after one report between routers that are not cut off"""
    elections = {name: WatcherElection(name) for name in names}
    for name, election in elections.items():
        for other in names:
            if other != name and not {name, other} & cut_off:
                election.record_peer(other, 0, reaches_store=True)
    return elections


def list_watchers(elections: dict[str, WatcherElection], now_ms: int = 1) -> set[str]:
    return {name for name, election in elections.items() if election.is_watcher(now_ms)}


class WatcherElectionTest(unittest.TestCase):
    def test_all_routers_of_a_small_fleet_are_watchers(self) -> None:
        self.assertEqual(list_watchers(build_elections(NAMES[:WATCHERS])), set(NAMES[:WATCHERS]))

    def test_large_fleet_has_the_fixed_number_of_watchers(self) -> None:
        self.assertEqual(len(list_watchers(build_elections(NAMES))), WATCHERS)

    def test_router_without_peers_is_a_watcher(self) -> None:
        elections = build_elections(NAMES, cut_off={NAMES[3]})
        found = list_watchers(elections)
        self.assertIn(NAMES[3], found)
        self.assertGreaterEqual(len(found - {NAMES[3]}), WATCHERS)

    def test_other_routers_take_over_when_watchers_stop_reporting(self) -> None:
        elections = build_elections(NAMES)
        failed = list_watchers(elections)
        for name, election in elections.items():
            for other in set(NAMES) - failed - {name}:
                election.record_peer(other, STORE_REPORT_TTL_MS, reaches_store=True)
        found = list_watchers(
            {n: e for n, e in elections.items() if n not in failed}, STORE_REPORT_TTL_MS
        )
        self.assertEqual(len(found), WATCHERS)

    def test_other_routers_take_over_when_watchers_lose_the_store(self) -> None:
        elections = build_elections(NAMES)
        failed = list_watchers(elections)
        for election in elections.values():
            for other in failed - {election.own_name}:
                election.record_peer(other, 1, reaches_store=False)
        self.assertEqual(len(list_watchers(elections) - failed), WATCHERS)


if __name__ == "__main__":
    unittest.main()
