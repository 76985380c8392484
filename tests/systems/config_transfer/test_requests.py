"""Which peer a router asks for a configuration."""

from __future__ import annotations

import unittest

from boragetiller.systems.config_transfer.requests import (
    OWN_WATCH_MS,
    RESPONSE_MS,
    ConfigRequests,
)

PEERS = tuple(f"router-{number}" for number in range(8))


class ConfigRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = ConfigRequests("own")

    def choose(
        self, now_ms: int, revision: int = 1, *, follows: bool = False, transfer_ms: float = 0.0
    ) -> str | None:
        return self.requests.choose_peer(
            PEERS, revision, now_ms, follows=follows, transfer_ms=transfer_ms
        )

    def test_one_peer_is_asked_until_it_is_late(self) -> None:
        asked = self.choose(0, transfer_ms=900.0)
        for now_ms in (100, 700, RESPONSE_MS + 899):
            self.assertEqual(self.choose(now_ms, transfer_ms=900.0), asked)
        later = self.choose(RESPONSE_MS + 900, transfer_ms=900.0)
        self.assertIn(later, PEERS)
        self.assertNotEqual(later, asked)

    def test_router_that_follows_the_store_waits_for_its_own_watch(self) -> None:
        self.assertIsNone(self.choose(0, follows=True))
        self.assertIsNone(self.choose(OWN_WATCH_MS - 1, follows=True))
        self.assertIn(self.choose(OWN_WATCH_MS, follows=True), PEERS)

    def test_router_that_knows_all_asks_nobody(self) -> None:
        self.choose(0)
        asked = self.requests.choose_peer((), 2, 50, follows=False, transfer_ms=0.0)
        self.assertIsNone(asked)

    def test_peer_that_is_gone_is_replaced_at_once(self) -> None:
        asked = self.choose(0)
        left = [peer for peer in PEERS if peer != asked]
        later = self.requests.choose_peer(left, 1, 10, follows=False, transfer_ms=9e9)
        self.assertIn(later, left)

    def test_routers_of_a_fleet_ask_different_peers(self) -> None:
        asked = {
            ConfigRequests(f"own-{number}").choose_peer(PEERS, 1, 0, follows=False, transfer_ms=0.0)
            for number in range(40)
        }
        self.assertEqual(asked, set(PEERS))


if __name__ == "__main__":
    unittest.main()
