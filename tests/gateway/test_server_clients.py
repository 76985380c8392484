"""Clients of the incarnations of a backend server."""

from __future__ import annotations

import unittest

import tests.platform_path  # noqa: F401
from boragetiller.clock import ManualClock
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.metrics import GatewayMetrics
from dialect import PlatformDialect
from tests.gateway.harness import FakeStore, build_config, build_settings
from tests.gateway.scripted_engine import ScriptedEngine


class ServerClientsTest(unittest.IsolatedAsyncioTestCase):
    async def test_next_incarnation_gets_requests_at_the_address_of_the_last(self) -> None:
        # A call may still look for the client of a server that has just been replaced.
        registry = BackendRegistry(
            build_settings(), PlatformDialect(), ManualClock(), GatewayMetrics()
        )
        self.addAsyncCleanup(registry.close)
        store, engine = FakeStore(), ScriptedEngine(lambda *_: None)
        store.put("op/config", build_config())
        servers = []
        for born in (1, 2):
            engine.address = f"127.0.0.1:{born}"
            store.register("a", engine, "shop", born=born)
            registry.apply_changes(list(store.items.values()), "test")
            servers.append(registry.servers.by_name["a"])
            registry.get_client(servers[0])
        addresses = [registry.get_client(server).address for server in servers]
        self.assertEqual(addresses, ["127.0.0.1:1", "127.0.0.1:2"])


if __name__ == "__main__":
    unittest.main()
