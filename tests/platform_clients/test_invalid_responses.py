"""Tests that the platform's clients raise only typed errors on invalid responses."""

from __future__ import annotations

import itertools
import json
import unittest
from typing import TYPE_CHECKING, Any

from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.errors import BoragetillerError
from boragetiller.platform_clients.clients import open_http_clients
from boragetiller.platform_clients.store import Lease
from boragetiller.platform_clients.wire_format import MAX_PORT, decode_host
from boragetiller.settings import PlatformSettings
from boragetiller.standin.web_server import ListenAddress, WebServer
from tests.unusable_values import WIDE_SCALARS

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from boragetiller.platform_clients.clients import PlatformClients

DEEPLY_NESTED = b"[" * 100_000
JSON_VALUES = st.recursive(
    WIDE_SCALARS,
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(
        st.sampled_from(("name", "role", "address", "data_port", "state", "x")), children
    ),
    max_leaves=8,
)
BODIES = (
    b"",
    b"\xff\x00",
    b"null",
    b"[1]",
    b"{}",
    b'[{"name": 1}]',
    b'{"key": "k", "revision": 1, "length": 10}\nshort',
    b'{"key": "k", "revision": 1, "length": -1}\n',
    b'{"key": "k", "revision": "x", "length": 1}\nv',
    b'{"revision": [], "token": {}, "concurrent_loads": "many"}',
    DEEPLY_NESTED,
    b'{"key": "k", "revision": 1e999, "length": 1}\nv',
    b'{"key": "k", "revision": 1, "length": 1e999}\nv',
    b'{"key": "k", "revision": ' + b"9" * 400 + b', "length": 1}\nv',
    b'{"revision": 1e999, "token": 1e999, "concurrent_loads": 1e999}',
    b'{"revision": NaN, "token": NaN, "concurrent_loads": NaN}',
)
STATUSES = (204, 302, 400, 409, 413, 500)
RESPONSES = [*itertools.product((200, 404), BODIES), *itertools.product(STATUSES, BODIES[:1])]


class InvalidResponsesTest(unittest.IsolatedAsyncioTestCase):
    """Clients of a server that sends the same response to every request."""

    async def asyncSetUp(self) -> None:
        self.status = 200
        self.body = b""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._respond)
        self.server = WebServer(app, ListenAddress())
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        url = self.server.url
        platform = PlatformSettings(store_url=url, host_list_url=url, weight_store_url=url)
        self.clients = await open_http_clients(platform)
        self.addAsyncCleanup(self.clients.close)

    async def _respond(self, _request: web.Request) -> web.Response:
        headers = {"Content-Type": "application/json"}
        return web.Response(status=self.status, body=self.body, headers=headers)

    async def test_invalid_responses_raise_only_typed_errors(self) -> None:
        raised = 0
        for self.status, self.body in RESPONSES:
            for call in _create_calls(self.clients):
                try:
                    await call
                except BoragetillerError:
                    raised += 1
        self.assertGreater(raised, len(RESPONSES))


class DecodeHostTest(unittest.TestCase):
    """Decoding of arbitrary JSON values as hosts."""

    @settings(derandomize=True, max_examples=200, database=None)
    @given(JSON_VALUES)
    def test_decode_host_accepts_any_json_value_or_raises_value_error(self, value: Any) -> None:
        try:
            host = decode_host(json.loads(json.dumps(value)))
        except ValueError:
            return
        self.assertIn(host.data_port, range(MAX_PORT + 1))
        host.region.encode()


def _create_calls(clients: PlatformClients) -> list[Awaitable[object]]:
    assert clients.weights is not None
    store, lease = clients.store, Lease("l", "h", 1, 1_000)
    return [
        store.get("k"),
        store.list("k"),
        store.put("k", b"v", expected_revision=0),
        store.delete("k", expected_revision=1),
        anext(store.watch("k", after_revision=0), None),
        store.acquire_lease("l", "h", 1_000),
        store.renew_lease(lease),
        store.release_lease(lease),
        clients.hosts.list_hosts(),
        clients.weights.get_load_limit(),
    ]


if __name__ == "__main__":
    unittest.main()
