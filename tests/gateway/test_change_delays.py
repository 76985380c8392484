"""How long a router alone stays without a change after trouble of the store or its channels."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from unittest.mock import patch

import attrs

import tests.platform_path  # noqa: F401
from boragetiller.gateway.backend_registry import BackendRegistry
from boragetiller.gateway.metrics import GatewayMetrics
from boragetiller.gateway.settings import Endpoint
from boragetiller.gateway.state_sync import StateSync
from boragetiller.gateway.store_watcher import StoreWatcher
from boragetiller.tables.server_placement import PlacementCostModel
from dialect import PlatformDialect
from kv_store import KvStoreClient
from tests.gateway.harness import build_config, build_settings
from tests.gateway.store_channels import ChannelConnector, ChannelStore
from tests.virtual_time import VirtualClock, run_virtually

CONTACT_MS = 3_000  # the smallest contact-ms of the deployments
POLL_MS = 9.7  # so that no poll coincides with a time limit
GIVE_UP_MS = 30_000
IDLE_CHANNELS = 4
SEEDS = 4
STARTS_MS = (2_300, 3_100, 4_700, 5_300)  # of the first change, at different times of the polls
GAPS_MS = (20, 150, 1_000)  # from the first change, which renews all watches, to the trouble
SILENCES_MS = (500, 1_200, 1_700, 2_400, 3_300, 4_700, 7_100)
SERVER = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 1,
    "born": 1_000,
}


@attrs.frozen(kw_only=True)
class Play:
    """A change, trouble of the store soon after it, and a second change."""

    seed: int
    start_ms: int
    gap_ms: int
    trouble_ms: int  # 0 for channels that fall silent in a moment
    change_ms: int  # from the beginning of the trouble to the second change
    refused_status: int | None = None  # of all new calls; None for a silence


class WatchingRouter:
    """The part of a router that learns of changes from the store."""

    def __init__(self, seed: int, link_bytes_per_s: float | None = None) -> None:
        """
        Create the watcher and the registry that it fills.

        :param seed: seed of the router's random generator
        :param link_bytes_per_s: link of its host, None if it is not known
        """
        self.settings = build_settings(link_bytes_per_s=link_bytes_per_s)
        clock, metrics = VirtualClock(), GatewayMetrics()
        dialect = PlatformDialect()
        self.registry = BackendRegistry(self.settings, dialect, clock, metrics)
        state_sync = StateSync("router-1", self.registry, PlacementCostModel(), clock)
        self._client = KvStoreClient(Endpoint("127.0.0.1", 1))
        self.watcher = StoreWatcher(
            self.settings,
            self._client,
            self.registry,
            dialect,
            state_sync,
            clock,
            metrics,
            Random(seed),
        )

    async def fill_pool(self) -> None:
        """Leave idle channels in the pool, as the duties and the versions of streams do."""
        await asyncio.gather(*(self._client.list_prefix("duties/") for _ in range(IDLE_CHANNELS)))


class Configurations:
    """Changes of the configuration."""

    def put(self, store: ChannelStore, number: int) -> None:
        """
        Write a state.

        :param store: the store
        :param number: 1 for the state at the start, 3 for the last one
        """
        store.put("op/config", build_config(number))

    def is_last_known(self, router: WatchingRouter) -> bool:
        """:return: whether the last state is in force"""
        return router.registry.config is not None and router.registry.config.version == 3

    def get_bound_ms(self, router: WatchingRouter) -> int:
        """:return: time within which a state must be in force"""
        return router.settings.config_apply_ms


class ServerStates(Configurations):
    """Changes of the entry of a server, which drains in the last one."""

    def put(self, store: ChannelStore, number: int) -> None:
        """See :class:`Configurations`."""
        state = "draining" if number == 3 else "ready"
        store.put("servers/a", SERVER | {"state": state, "seq": number})

    def is_last_known(self, router: WatchingRouter) -> bool:
        """See :class:`Configurations`."""
        return not router.registry.servers.find_accepting("shop").servers

    def get_bound_ms(self, router: WatchingRouter) -> int:
        """See :class:`Configurations`."""
        return router.settings.drain_ms


async def wait_ms(time_ms: float) -> None:
    """:param time_ms: virtual time to wait"""
    await asyncio.sleep(time_ms / 1_000)


async def measure_delay(play: Play, states: Configurations) -> float:
    """
    Play the changes and the trouble.

    :param play: when they come
    :param states: what changes
    :return: milliseconds by which the last change is known too late, below 0 for in time
    """
    store = ChannelStore()
    for kind in (Configurations(), ServerStates()):
        kind.put(store, 1)
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        return await _measure_delay(store, play, states)


async def _measure_delay(store: ChannelStore, play: Play, states: Configurations) -> float:
    router, clock = WatchingRouter(play.seed), VirtualClock()
    await wait_ms(play.seed * 130)  # time limits may be rounded to whole seconds of the loop
    await router.watcher.start()
    await wait_ms(play.start_ms)
    await router.fill_pool()
    states.put(store, 2)
    await wait_ms(play.gap_ms)
    end_ms = clock.now_ms() + play.trouble_ms
    change_ms = clock.now_ms() + play.change_ms
    if play.refused_status is not None:
        store.refused_status = play.refused_status
        await wait_ms(play.trouble_ms)
        store.refused_status = None
    elif play.trouble_ms:
        store.set_silent(True)
        await wait_ms(play.trouble_ms)
        store.set_silent(False)
    else:
        store.stall_channels()
    await wait_ms(change_ms - clock.now_ms())
    states.put(store, 3)
    while not states.is_last_known(router) and clock.now_ms() < end_ms + GIVE_UP_MS:
        await wait_ms(POLL_MS)
    known_ms = clock.now_ms()
    await router.watcher.close()
    return known_ms - max(change_ms + states.get_bound_ms(router), end_ms + CONTACT_MS)


class ChangeDelayTest(unittest.TestCase):
    """A router without peers, and trouble of its store or channels between two changes."""

    def test_configuration_after_a_silence_of_the_store_is_in_force_in_time(self) -> None:
        self.check(Configurations(), build_silences())

    def test_configuration_after_channels_fell_silent_is_in_force_in_time(self) -> None:
        self.check(Configurations(), build_stalls())

    def test_draining_server_after_a_silence_of_the_store_is_left_in_time(self) -> None:
        self.check(ServerStates(), build_silences())

    def test_draining_server_after_channels_fell_silent_is_left_in_time(self) -> None:
        self.check(ServerStates(), build_stalls())

    def test_changes_after_the_store_refused_calls_are_known_in_time(self) -> None:
        for states in (Configurations(), ServerStates()):
            self.check(states, build_refusals())

    def check(self, states: Configurations, plays: list[Play]) -> None:
        delays_ms = {play: run_virtually(measure_delay(play, states)) for play in plays}
        late = [play for play in plays if delays_ms[play] > 0]
        worst = max(plays, key=lambda play: delays_ms[play])
        report = f"{len(late)} of {len(plays)} late, by up to {delays_ms[worst]} ms: {worst}"
        self.assertEqual(len(late), 0, report)


def build_silences() -> list[Play]:
    """:return: plays in which the store answers nothing that waits or arrives for a time"""
    return [
        Play(seed=seed, start_ms=start, gap_ms=gap, trouble_ms=silence, change_ms=silence + after)
        for seed in range(SEEDS)
        for start in STARTS_MS
        for gap in GAPS_MS
        for silence in SILENCES_MS
        for after in (0, 500)
    ]


def build_refusals() -> list[Play]:
    """:return: plays in which the store turns the router away, but for the watches that wait"""
    return [attrs.evolve(play, refused_status=429) for play in build_silences()]


def build_stalls() -> list[Play]:
    """:return: plays in which all channels fall silent, and new ones work"""
    return [
        Play(seed=seed, start_ms=start, gap_ms=gap, trouble_ms=0, change_ms=change)
        for seed in range(SEEDS)
        for start in STARTS_MS
        for gap in GAPS_MS
        for change in (50, 500, 900)
    ]


if __name__ == "__main__":
    unittest.main()
