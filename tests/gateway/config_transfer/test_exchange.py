"""From where one router gets the configuration, as its peers report and the store is restored."""

from __future__ import annotations

import json
import unittest

import attrs

import tests.platform_path  # noqa: F401
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.config_transfer.exchange import ConfigExchange
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.peer_reports import PeerReport
from boragetiller.store_eras import extend_revision
from boragetiller.tables.store_view import StoredItem
from dialect import PlatformDialect
from tests.gateway.config_transfer.large_config import build_large_config
from tests.gateway.config_transfer.test_narrow_links import LINK_BYTES_PER_S
from tests.gateway.harness import build_settings

ERA = 1
PEERS = ("router-2", "router-3", "router-4", "router-5")


class ManualClock:
    """Clock that a test sets."""

    time_ms = 0

    def now_ms(self) -> int:
        """See :class:`boragetiller.clock.Clock`."""
        return self.time_ms


class ConfigExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        settings = build_settings(link_bytes_per_s=LINK_BYTES_PER_S)
        self.clock = ManualClock()
        self.registry = BackendRegistry(settings, PlatformDialect(), self.clock, GatewayMetrics())
        self.exchange = ConfigExchange(self.registry, self.clock)
        self.put(version=1, revision=5)
        for peer in PEERS:
            self.report(peer, revision=5)

    def put(self, version: int, revision: int, era: int = ERA) -> None:
        value = json.dumps(build_large_config(version, 400_000)).encode()
        item = StoredItem("op/config", value, extend_revision(era, revision))
        self.registry.apply_changes((item,), "test")

    def report(self, peer: str, revision: int, era: int = ERA) -> None:
        report = PeerReport(
            config_revision=extend_revision(era, revision),
            servers_revision=0,
            follows_config=True,
            is_config_quick=True,
        )
        self.exchange.apply_report(peer, report)

    def ask(self) -> str:
        """:return: the peer that the next report of this router asks"""
        revision = max(item.revision for item in self.exchange.list_items_newer_than(0))
        return self.exchange.choose_source(revision, follows=self.exchange.must_follow())

    def test_router_that_does_not_follow_asks_a_peer_at_once(self) -> None:
        self.assertFalse(self.exchange.must_follow())
        self.assertEqual(self.ask(), "")
        self.report("router-3", revision=6)
        self.assertEqual(self.ask(), "router-3")
        self.put(version=2, revision=6)
        self.assertEqual(self.ask(), "")

    def test_peer_that_disconnects_is_not_asked(self) -> None:
        for peer in PEERS:
            self.report(peer, revision=6)
        asked = self.ask()
        self.exchange.remove_peer(asked)
        self.assertIn(self.ask(), set(PEERS) - {asked})

    def test_router_follows_again_until_it_knows_of_a_restore(self) -> None:
        self.report("router-2", revision=3, era=ERA + 1)
        self.assertTrue(self.exchange.must_follow())
        self.put(version=2, revision=3, era=ERA + 1)
        self.assertFalse(self.exchange.must_follow())

    def test_router_without_a_configuration_follows(self) -> None:
        settings = attrs.evolve(self.registry.settings, name="router-9")
        registry = BackendRegistry(settings, PlatformDialect(), self.clock, GatewayMetrics())
        self.assertTrue(ConfigExchange(registry, self.clock).must_follow())

    def test_router_follows_when_its_peers_fall_silent(self) -> None:
        self.assertFalse(self.exchange.must_follow())
        self.clock.time_ms = 1_500
        self.assertTrue(self.exchange.must_follow())


if __name__ == "__main__":
    unittest.main()
