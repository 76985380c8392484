"""Tests of the host list and the weight store, in memory and over HTTP."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import aiohttp
import attrs

from boragetiller.clock import ManualClock
from boragetiller.errors import StoreUnavailable
from boragetiller.platform_clients import http_hosts
from boragetiller.platform_clients.hosts import Host, HostState
from boragetiller.platform_clients.http_hosts import HttpHostList
from boragetiller.platform_clients.http_weights import HttpWeightStore
from boragetiller.platform_clients.memory_store import MemoryHostList
from boragetiller.platform_clients.wire_format import decode_host, encode_host
from boragetiller.settings import PlatformSettings
from boragetiller.standin.platform_server import PlatformServer, PlatformServerSettings

HOST = Host(
    name="tiller-pool-1",
    role="agent",
    address="127.0.0.1",
    data_port=1,
    control_port=2,
    failure_domain="vl-a",
)

UNREADABLE_HOST_FIELDS = (
    {"data_port": 1e999},
    {"data_port": 10**400},
    {"control_port": -1},
    {"control_port": "80"},
    {"state": "resting"},
    {"address": None},
    {"region": "a\ud800"},
    {"unknown": 1},
)


class MemoryHostListTest(unittest.IsolatedAsyncioTestCase):
    """Delay and faults of the in-memory list."""

    async def test_changes_become_visible_after_the_lag(self) -> None:
        clock = ManualClock()
        host_list = MemoryHostList(clock, lag_ms=500)
        host_list.put(HOST)
        self.assertEqual(await host_list.list_hosts(), [])
        clock.advance(500)
        self.assertEqual(await host_list.list_hosts(), [HOST])
        host_list.set_state(HOST.name, HostState.LEAVING)
        clock.advance(499)
        self.assertEqual((await host_list.list_hosts())[0].state, HostState.LIVE)
        clock.advance(1)
        self.assertEqual((await host_list.list_hosts())[0].state, HostState.LEAVING)

    async def test_stale_list_is_frozen_and_outage_raises(self) -> None:
        host_list = MemoryHostList(ManualClock())
        host_list.put(HOST)
        host_list.inject_faults(stale=True)
        host_list.remove(HOST.name)
        self.assertEqual(await host_list.list_hosts(), [HOST])
        host_list.inject_faults(stale=False)
        self.assertEqual(await host_list.list_hosts(), [])
        host_list.inject_faults(outage=True)
        with self.assertRaises(StoreUnavailable):
            await host_list.list_hosts()


class HttpPlatformTest(unittest.IsolatedAsyncioTestCase):
    """HTTP clients against the stand-in of the platform."""

    async def asyncSetUp(self) -> None:
        self.server = PlatformServer(PlatformServerSettings(concurrent_loads=3))
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        url = self.server.url
        self.settings = PlatformSettings(
            store_url=url, host_list_url=url, weight_store_url=url, timeout_ms=5_000
        )

    async def test_list_follows_put_and_remove(self) -> None:
        client = HttpHostList(self.settings)
        await client.start()
        self.addAsyncCleanup(client.close)
        url = f"{self.server.url}/hosts/{HOST.name}"
        async with aiohttp.ClientSession() as session:
            await session.put(url, json=encode_host(HOST))
            self.assertEqual(await client.list_hosts(), [HOST])
            async with session.put(url, json={"role": "agent", "other": 1}) as response:
                self.assertEqual(response.status, 400)
            await session.delete(url)
            self.assertEqual(await client.list_hosts(), [])
            await session.post(self.server.url + "/faults", json={"host_list": {"outage": True}})
            with self.assertRaises(StoreUnavailable):
                await client.list_hosts()

    async def test_unchanged_list_is_not_sent_again(self) -> None:
        client = HttpHostList(self.settings)
        await client.start()
        self.addAsyncCleanup(client.close)
        with patch.object(http_hosts, "decode_host", wraps=decode_host) as decoded:
            self.server.host_list.put(HOST)
            for _ in range(3):
                self.assertEqual(await client.list_hosts(), [HOST])
            self.assertEqual(decoded.call_count, 1)
            self.server.host_list.set_state(HOST.name, HostState.LEAVING)
            self.assertEqual((await client.list_hosts())[0].state, HostState.LEAVING)
            self.server.host_list.remove(HOST.name)
            self.assertEqual(await client.list_hosts(), [])

    async def test_unreadable_host_costs_no_other_host_and_does_not_count_as_gone(self) -> None:
        # Guards against an unusable list, and against shards taken over from a host that lives.
        client = HttpHostList(self.settings)
        first, second = encode_host(HOST), encode_host(attrs.evolve(HOST, name="tiller-pool-2"))
        known = client._decode_list([first])
        client._cached_hosts = known
        for change in UNREADABLE_HOST_FIELDS:
            with self.subTest(change=change):
                hosts = client._decode_list([first | change, second])
                self.assertEqual({host.name for host in hosts}, {HOST.name, "tiller-pool-2"})
                self.assertIn(HOST, hosts)
        for item in (5, None, [], {}, {"name": 5}):
            with self.subTest(item=item):
                hosts = client._decode_list([item, second])
                self.assertEqual({host.name for host in hosts}, {HOST.name, "tiller-pool-2"})
        self.assertEqual(client._decode_list([second])[0].name, "tiller-pool-2")

    async def test_client_returns_the_load_limit(self) -> None:
        client = HttpWeightStore(self.settings)
        await client.start()
        self.addAsyncCleanup(client.close)
        self.assertEqual(await client.get_load_limit(), 3)


if __name__ == "__main__":
    unittest.main()
