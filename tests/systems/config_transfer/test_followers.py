"""Which routers follow the configuration in the store themselves."""

from __future__ import annotations

import unittest

from boragetiller.systems.config_transfer.followers import (
    FOLLOWER_TTL_MS,
    MIN_FOLLOWERS,
    ConfigFollowers,
)

DEADLINE_MS = 3_000
NARROW = 625_000.0  # bytes per second, 5 Mbit/s
WIDE = 12_500_000.0
LARGE = 420_000  # bytes, 1,400 routes


def build_fleet(narrow: int, wide: int, value_bytes: int) -> dict[str, ConfigFollowers]:
    """:return: the routers of a fleet by name; none has heard from another"""
    links = {f"narrow-{number}": NARROW for number in range(narrow)}
    links |= {f"wide-{number}": WIDE for number in range(wide)}
    return {
        name: ConfigFollowers(name, DEADLINE_MS, link, value_bytes) for name, link in links.items()
    }


def exchange_reports(fleet: dict[str, ConfigFollowers], now_ms: int) -> set[str]:
    """:return: names of the routers that follow, as they have reported it to each other"""
    following = {name for name, each in fleet.items() if each.must_follow(now_ms)}
    for name, each in fleet.items():
        for other in fleet.values():
            if other is not each:
                other.record_peer(name, now_ms, follows=name in following, is_quick=each.is_quick)
    return following


class ConfigFollowersTest(unittest.TestCase):
    def test_all_routers_follow_a_small_configuration(self) -> None:
        fleet = build_fleet(narrow=5, wide=3, value_bytes=20_000)
        for now_ms in (0, 100):
            self.assertEqual(exchange_reports(fleet, now_ms), set(fleet))

    def test_routers_on_narrow_links_leave_a_large_configuration_to_the_others(self) -> None:
        fleet = build_fleet(narrow=5, wide=3, value_bytes=LARGE)
        exchange_reports(fleet, 0)
        for now_ms in (100, 200, 300):
            self.assertEqual(
                exchange_reports(fleet, now_ms), {"wide-0", "wide-1", "wide-2"}, now_ms
            )

    def test_some_routers_follow_though_all_links_are_narrow(self) -> None:
        fleet = build_fleet(narrow=9, wide=0, value_bytes=LARGE)
        exchange_reports(fleet, 0)
        found = exchange_reports(fleet, 100)
        self.assertEqual(len(found), MIN_FOLLOWERS)
        self.assertEqual(exchange_reports(fleet, 200), found)

    def test_router_without_peers_follows(self) -> None:
        fleet = build_fleet(narrow=1, wide=0, value_bytes=LARGE)
        self.assertEqual(exchange_reports(fleet, 0), {"narrow-0"})

    def test_router_follows_when_followers_lose_the_store_or_fall_silent(self) -> None:
        fleet = build_fleet(narrow=2, wide=3, value_bytes=LARGE)
        for now_ms in (0, 100):  # in the first reports all follow
            exchange_reports(fleet, now_ms)
        own = fleet["narrow-0"]
        self.assertFalse(own.must_follow(100))
        own.record_peer("wide-1", 100, follows=False, is_quick=True)
        self.assertTrue(own.must_follow(100))
        own.record_peer("wide-1", 200, follows=True, is_quick=True)
        self.assertFalse(own.must_follow(200))
        own.remove_peer("wide-0")
        self.assertTrue(own.must_follow(200))
        self.assertFalse(fleet["narrow-1"].must_follow(100 + FOLLOWER_TTL_MS - 1))
        self.assertTrue(fleet["narrow-1"].must_follow(100 + FOLLOWER_TTL_MS))

    def test_router_whose_link_is_unknown_follows(self) -> None:
        own = ConfigFollowers("router", DEADLINE_MS, None, LARGE)
        for number in range(MIN_FOLLOWERS):
            own.record_peer(f"peer-{number}", 0, follows=True, is_quick=True)
        self.assertTrue(own.must_follow(0))


if __name__ == "__main__":
    unittest.main()
