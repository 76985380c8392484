"""Stand-in of the platform's store that speaks its protocol and can be restored from a copy."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from boragetiller.gateway.settings import Endpoint

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import ScriptedEngine

ERA_HEADER = "Store-Era"
PAGE_ITEMS = 3
CLOCK_RESOLUTION_S = 1e-6  # a timer may fire that much before its time


@attrs.frozen
class StoreCopy:
    """State of the store at one moment."""

    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]
    revision: int


class PlatformStoreServer:
    """Serves listings and watches; a test writes entries directly."""

    def __init__(self) -> None:
        """Create an empty store in its first era."""
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 1
        self.era = 1
        self.era_header: str | None = None  # sent in place of the era; empty for no header
        self.down = False
        self.watches_stalled = False  # watches return nothing
        self.on_page: Any = None  # called before each page of a listing
        self.watched_after: list[int] = []
        self._changed = asyncio.Event()
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)

    async def start(self) -> Endpoint:
        """:return: address of the server"""
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return Endpoint("127.0.0.1", self._runner.addresses[0][1])

    async def close(self) -> None:
        """Stop serving."""
        self.set_down(True)
        await self._runner.cleanup()

    def put(self, key: str, document: Any) -> int:
        """
        Write an entry.

        :param key: key of the entry
        :param document: bytes, or a document to encode as JSON
        :return: revision of the change
        """
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        encoded = base64.b64encode(value).decode()
        item = {"key": key, "value": encoded, "revision": self.revision + 1, "lease": 0}
        self.items[key] = item
        return self._append(item)

    def register(self, name: str, engine: ScriptedEngine, service: str, **fields: Any) -> int:
        """
        Write the entry of a backend server.

        :param name: name of the server
        :param engine: engine that listens at its address
        :param service: name of its service
        :param fields: additional fields of its entry
        :return: revision of the change
        """
        entry = {"service": service, "address": engine.address, "zone": "a", "slots": 8}
        entry |= {"version": "v1", "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1_000}
        return self.put(f"servers/{name}", entry | fields)

    def remove(self, key: str) -> int:
        """:return: revision of the removal"""
        del self.items[key]
        return self._append({"key": key, "revision": self.revision + 1, "tombstone": True})

    def copy(self) -> StoreCopy:
        """:return: copy of the present state"""
        return StoreCopy(dict(self.items), tuple(self.history), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """
        Lose all that was written since a copy, and begin the next era.

        :param copy: the state to return to
        """
        self.items, self.history = dict(copy.items), list(copy.history)
        self.revision = copy.revision
        self.era += 1
        self._wake_watches()

    def set_down(self, down: bool) -> None:
        """:param down: whether calls, also waiting ones, are cut without a response"""
        self.down = down
        self._wake_watches()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not self.down:
            handler = self._watch if request.path == "/kv-watch" else self._list
            status, document = await handler(request)
        if self.down:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        era = str(self.era) if self.era_header is None else self.era_header
        headers = {ERA_HEADER: era} if era else {}
        return web.Response(status=status, body=json.dumps(document), headers=headers)

    async def _list(self, request: web.BaseRequest) -> tuple[int, dict[str, Any]]:
        if self.on_page is not None:
            self.on_page()
        prefix, after = request.query["path-prefix"], request.query.get("after", "")
        found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix)]
        found = [item for item in found if item["key"] > after]
        has_more = len(found) > PAGE_ITEMS
        page = {"entries": found[:PAGE_ITEMS], "has-more": has_more, "current-rev": self.revision}
        return 200, page

    async def _watch(self, request: web.BaseRequest) -> tuple[int, dict[str, Any]]:
        prefix, after = request.query["path-prefix"], int(request.query["after"])
        self.watched_after.append(after)
        era = self.era
        end_s = asyncio.get_running_loop().time() + int(request.query["wait-ms"]) / 1_000
        while True:
            if after > self.revision or era != self.era:
                return 410, {}
            events = [i for i in self.history if i["key"].startswith(prefix)]
            events = [item for item in events if item["revision"] > after]
            left_s = end_s - asyncio.get_running_loop().time()
            if self.down or (events and not self.watches_stalled) or left_s < CLOCK_RESOLUTION_S:
                return 200, {"events": events, "current-rev": self.revision}
            await asyncio.wait([asyncio.ensure_future(self._changed.wait())], timeout=left_s)

    def _append(self, item: dict[str, Any]) -> int:
        self.revision += 1
        self.history.append(item)
        self._wake_watches()
        return self.revision

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


__all__ = ["ERA_HEADER", "PlatformStoreServer", "StoreCopy"]
