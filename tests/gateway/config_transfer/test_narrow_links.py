"""Large configurations on narrow links: how long a change takes, and what its transfer costs."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

import tests.platform_path  # noqa: F401
from tests.gateway.config_transfer.large_config import build_large_config
from tests.gateway.harness import build_config
from tests.gateway.store_channels import ChannelConnector, ChannelStore
from tests.gateway.test_change_delays import SERVER, WatchingRouter, wait_ms
from tests.virtual_time import VirtualClock, run_virtually

LINK_BYTES_PER_S = 625_000  # 5 Mbit/s, the narrowest link of the deployments
MAX_VALUE_BYTES = 1_048_576  # of an entry of the store
DEADLINE_MS = 3_000  # config-apply-ms of the deployments with narrow links
GIVE_UP_MS = 30_000


async def measure_change_ms(size: int, seed: int, change_after_ms: int) -> float:
    """:return: time in milliseconds after which a change of a large configuration is in force"""
    store = ChannelStore()
    store.link_bytes_per_s = LINK_BYTES_PER_S
    store.put("op/config", build_config(1))
    store.put("servers/a", SERVER)
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        router, clock = WatchingRouter(seed), VirtualClock()
        await router.watcher.start()
        await wait_ms(change_after_ms)
        store.put("op/config", build_large_config(2, size))
        began_ms = clock.now_ms()
        while clock.now_ms() - began_ms < GIVE_UP_MS:
            await wait_ms(10)
            if router.registry.config is not None and router.registry.config.version == 2:
                break
        await router.watcher.close()
        return clock.now_ms() - began_ms


async def measure_start_ms(size: int, seed: int) -> float:
    """:return: time in milliseconds after which a router that starts has a large configuration"""
    store = ChannelStore()
    store.link_bytes_per_s = LINK_BYTES_PER_S
    store.put("op/config", build_large_config(2, size))
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        router, clock = WatchingRouter(seed), VirtualClock()
        await router.watcher.start()
        while router.registry.config is None and clock.now_ms() < GIVE_UP_MS:
            await wait_ms(10)
        await router.watcher.close()
        return clock.now_ms()


async def measure_series_ms(first_size: int, size: int, gaps_ms: tuple[int, ...]) -> float:
    """:return: time in milliseconds from the last change of a series until it is in force"""
    store = ChannelStore()
    store.link_bytes_per_s = LINK_BYTES_PER_S
    store.put("op/config", build_large_config(1, first_size))
    store.put("servers/a", SERVER)
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        router, clock = WatchingRouter(1, LINK_BYTES_PER_S), VirtualClock()
        await router.watcher.start()
        await wait_ms(5_000)
        versions = len(gaps_ms)
        for version, gap_ms in enumerate(gaps_ms, 2):
            await wait_ms(gap_ms)
            store.put("op/config", build_large_config(version, size))
        changed_ms = clock.now_ms()
        while clock.now_ms() - changed_ms < GIVE_UP_MS:
            await wait_ms(10)
            if router.registry.config is not None and router.registry.config.version > versions:
                break
        await router.watcher.close()
        return clock.now_ms() - changed_ms


class NarrowLinkTest(unittest.TestCase):
    """A router without peers, whose link takes over a second for the configuration."""

    def test_largest_configuration_is_in_force_in_time(self) -> None:
        for size in (500_000, MAX_VALUE_BYTES):
            for seed, after_ms in ((1, 2_000), (2, 3_300), (3, 4_100), (4, 5_700)):
                with self.subTest(size=size, seed=seed):
                    took_ms = run_virtually(measure_change_ms(size, seed, after_ms))
                    self.assertLessEqual(took_ms, DEADLINE_MS)

    def test_router_that_starts_gets_the_largest_configuration(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                took_ms = run_virtually(measure_start_ms(MAX_VALUE_BYTES, seed))
                self.assertLessEqual(took_ms, DEADLINE_MS)

    def test_last_configuration_of_a_series_is_in_force_in_time(self) -> None:
        for size, versions, gap_ms in ((300_000, 10, 300), (420_000, 10, 330), (420_000, 25, 80)):
            for first_size in (size, 0):  # that of the configuration before the series
                with self.subTest(first_size=first_size, size=size, versions=versions):
                    gaps_ms = (gap_ms,) * versions
                    took_ms = run_virtually(measure_series_ms(first_size, size, gaps_ms))
                    self.assertLessEqual(took_ms, DEADLINE_MS)

    def test_changes_during_a_transfer_are_in_force_in_time(self) -> None:
        rng = Random(3)
        for play in range(30):
            count = rng.choice((2, 3, 5, 8))
            gaps_ms = tuple(rng.choice((100, 300, 700, 1_200, 1_500, 2_500)) for _ in range(count))
            with self.subTest(play=play, gaps_ms=gaps_ms):
                took_ms = run_virtually(measure_series_ms(500_000, 500_000, gaps_ms))
                self.assertLessEqual(took_ms, DEADLINE_MS)

    def test_series_after_a_small_configuration_is_in_force_in_time(self) -> None:
        took_ms = run_virtually(measure_series_ms(0, 500_000, (350,) * 5))
        self.assertLessEqual(took_ms, DEADLINE_MS)


if __name__ == "__main__":
    unittest.main()
