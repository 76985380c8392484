"""The clients of the platform's services after all of their connections fell silent."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from boragetiller.platform_clients.http_store import HttpStore
from boragetiller.settings import PlatformSettings
from tests.gateway.store_channels import ChannelConnector, ChannelStore, count_failed_calls
from tests.virtual_time import run_virtually

IDLE_CONNECTIONS = 4
URL = "http://127.0.0.1:1"


class EmptyStore(ChannelStore):
    """A store without keys."""

    async def respond(self, _target: str) -> tuple[int, dict[str, Any]]:
        """See :class:`ChannelStore`."""
        return 404, {}


async def call_after_connections_fell_silent() -> int:
    """:return: number of calls that fail before one is answered"""
    server = EmptyStore()
    with patch("aiohttp.client.TCPConnector", lambda **_options: ChannelConnector(server)):
        store = HttpStore(PlatformSettings(store_url=URL, host_list_url=URL))
        await store.start()
        await asyncio.gather(*(store.get("a") for _ in range(IDLE_CONNECTIONS)))
        server.stall_channels()
        failed = await count_failed_calls(lambda: store.get("a"))
        await store.close()
    return failed


class SilentConnectionTest(unittest.TestCase):
    def test_call_after_a_silent_one_takes_no_idle_connection(self) -> None:
        self.assertEqual(run_virtually(call_after_connections_fell_silent()), 1)


if __name__ == "__main__":
    unittest.main()
