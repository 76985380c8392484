"""Time limits of the store's client in virtual time, over channels that fall silent."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import tests.platform_path  # noqa: F401
from boragetiller.errors import StoreUnavailable
from boragetiller.gateway.settings import Endpoint
from boragetiller.systems.watch_limits import WATCH_MARGIN_MS
from kv_store import CALL_TIMEOUT_MS, KvStoreClient, build_write_limits
from tests.gateway.store_channels import ChannelConnector, ChannelStore, count_failed_calls
from tests.virtual_time import VirtualClock, run_virtually

IDLE_CHANNELS = 4
START_MS = 300  # no whole second of the loop


async def measure_silent_watch(wait_ms: int) -> int:
    """:return: time in milliseconds after which a watch fails that is never answered"""
    store, clock = ChannelStore(), VirtualClock()
    store.set_silent(True)
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        client = KvStoreClient(Endpoint("127.0.0.1", 1))
        await asyncio.sleep(START_MS / 1_000)
        try:
            await client.watch_prefix("s/", 1, wait_ms)
        except StoreUnavailable:
            return clock.now_ms() - START_MS
        finally:
            await client.close()
    raise AssertionError("the watch was answered")


async def cancel_at_time_limit() -> bool:
    """:return: whether a call that is cancelled at the moment of its time limit is cancelled"""
    store = ChannelStore()
    store.set_silent(True)
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        client = KvStoreClient(Endpoint("127.0.0.1", 1))

        async def call_forever() -> None:
            while True:
                try:
                    await client.list_prefix("s/")
                except StoreUnavailable:
                    await asyncio.sleep(1.0)

        task = asyncio.create_task(call_forever())
        await asyncio.sleep(0)  # the call begins, with its time limit
        asyncio.get_running_loop().call_at(CALL_TIMEOUT_MS / 1_000, task.cancel)
        await asyncio.sleep(2 * CALL_TIMEOUT_MS / 1_000)
        cancelled = task.done()
        task.cancel()
        await client.close()
    return cancelled


async def call_after_channels_fell_silent() -> tuple[int, int]:
    """:return: number of calls that fail before one is answered, and of channels that stay open"""
    store = ChannelStore()
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        client = KvStoreClient(Endpoint("127.0.0.1", 1))
        await asyncio.gather(*(client.list_prefix("s/") for _ in range(IDLE_CHANNELS)))
        store.stall_channels()
        failed = await count_failed_calls(lambda: client.list_prefix("s/"))
        open_channels = store.open_channels
        await client.close()
    return failed, open_channels


async def measure_trickling_write(limit_ms: int) -> int:
    """:return: time in milliseconds after which a call fails whose response trickles in"""
    store, clock = ChannelStore(), VirtualClock()
    store.put("s/a", {"text": "x" * 100_000})
    store.link_bytes_per_s = 20_000
    with patch("aiohttp.TCPConnector", lambda **_options: ChannelConnector(store)):
        client = KvStoreClient(Endpoint("127.0.0.1", 1))
        limits = build_write_limits(limit_ms)
        try:
            query = {"path-prefix": "s/"}
            await client.call("GET", "/kv-range", limits, lambda *_: None, query=query)
        except StoreUnavailable:
            return clock.now_ms()
        finally:
            await client.close()
    raise AssertionError("the call was answered")


class TimeLimitTest(unittest.TestCase):
    def test_silent_watch_fails_at_its_time_limit(self) -> None:
        for wait_ms in (1_000, 5_000):
            took_ms = run_virtually(measure_silent_watch(wait_ms))
            self.assertLessEqual(took_ms, wait_ms + WATCH_MARGIN_MS + 1)

    def test_write_fails_at_its_time_limit_though_its_response_makes_progress(self) -> None:
        # Guards against a renewal of a lease that lasts longer than the lease.
        self.assertLessEqual(run_virtually(measure_trickling_write(1_500)), 1_501)

    def test_cancellation_at_the_time_limit_is_not_lost(self) -> None:
        self.assertTrue(run_virtually(cancel_at_time_limit()))

    def test_call_after_a_silent_one_takes_no_idle_channel(self) -> None:
        self.assertEqual(run_virtually(call_after_channels_fell_silent()), (1, 1))


if __name__ == "__main__":
    unittest.main()
