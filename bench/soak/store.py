"""The stand-in of the platform's store with transactions, leases, registrations and faults."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from bisect import bisect_right
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from bench.soak.ports import find_free_ports
from tests.platform_adapter.store_server import (
    CLOCK_RESOLUTION_S,
    ERA_HEADER,
    PlatformStoreServer,
)

if TYPE_CHECKING:
    from random import Random

MAX_HISTORY = 3_000
SILENT_S = 60.0
LEASE_S = 10.0  # of a lease that is renewed
EXPIRY_S = 1.2  # of a registration, three intervals
CHECK_INTERVAL_S = 0.1


@attrs.define
class StoreFaults:
    """Faults of the store; shares are of the calls of routers."""

    delay_s: float = 0.0
    lost_share: float = 0.0  # executed without a response
    late_share: float = 0.0  # executed seconds later, without a response
    turned_away: dict[str, str] = attrs.Factory(dict)  # "refuse" or "silent", by router


class SoakStore(PlatformStoreServer):
    """Each router has a port of its own, so that the store can turn it away."""

    def __init__(self, rng: Random) -> None:
        """:param rng: random generator of its faults"""
        super().__init__()
        self.faults = StoreFaults()
        self._rng = rng
        self._router_by_port: dict[int, str] = {}
        self._lease_ends_s: dict[int, float] = {}
        self._beat_s: dict[str, float] = {}
        self._late: set[asyncio.Task[Any]] = set()

    async def open_port(self, router: str) -> int:
        """:return: port of the store for a router"""
        port = find_free_ports("127.0.0.1", 1)[0]
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self._router_by_port[port] = router
        return port

    async def run(self) -> None:
        """End leases and registrations whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.down:
                continue
            now_s = time.monotonic()
            for lease in [key for key, end_s in self._lease_ends_s.items() if end_s < now_s]:
                self._end_lease(lease)
            for name in [key for key, at_s in self._beat_s.items() if now_s - at_s > EXPIRY_S]:
                self._remove_server(name)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/soak-beat" and not self.down:
            self._register(await request.json())
            return web.Response()
        if request.transport is None:  # closed in the meantime
            return web.Response()
        router = self._router_by_port.get(request.transport.get_extra_info("sockname")[1], "")
        turned_away = self.faults.turned_away.get(router)
        if self.down:
            request.transport.abort()
            return web.Response()
        if turned_away == "refuse":
            return self._build_response(503, {})
        if turned_away == "silent":
            return await self._stay_silent()
        await asyncio.sleep(self.faults.delay_s)
        try:
            body = json.loads(await request.read() or b"{}")
        except ConnectionError:
            return web.Response()
        draw = self._rng.random()
        if request.method != "GET" and draw < self.faults.late_share:
            task = asyncio.create_task(self._execute_late(request, body))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return await self._stay_silent()
        status, document = await self._execute(request, body)
        if draw < self.faults.lost_share:
            return await self._stay_silent()
        if self.down and request.transport is not None:
            request.transport.abort()
        return self._build_response(status, document)

    def _build_response(self, status: int, document: dict[str, Any]) -> web.Response:
        headers = {ERA_HEADER: str(self.era)}
        return web.Response(status=status, body=json.dumps(document), headers=headers)

    async def _stay_silent(self) -> web.Response:
        await asyncio.sleep(SILENT_S)
        return web.Response(status=503)

    async def _execute_late(self, request: web.BaseRequest, body: dict[str, Any]) -> None:
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        await self._execute(request, body)

    async def _execute(
        self, request: web.BaseRequest, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        path, _, argument = request.path.removeprefix("/").partition("/")
        match path:
            case "kv-watch":
                return await self._watch(request)
            case "kv-range":
                return await self._list(request)
            case "kv-key":
                item = self.items.get(request.query["key"])
                return (404, {}) if item is None else (200, item | {"current-rev": self.revision})
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                lease = self.revision + len(self._lease_ends_s) + int(1_000 * time.monotonic())
                self._lease_ends_s[lease] = time.monotonic() + body["ttl-ms"] / 1_000
                return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
            case "kv-keep":
                if int(argument) not in self._lease_ends_s:
                    return 404, {}
                self._lease_ends_s[int(argument)] = time.monotonic() + LEASE_S
                return 200, {"lease": int(argument), "ttl-ms": int(1_000 * LEASE_S)}
            case "kv-lease-end":
                self._end_lease(int(argument))
                return 200, {}
        return 404, {}

    async def _watch(self, request: web.BaseRequest) -> tuple[int, dict[str, Any]]:
        prefix, after = request.query["path-prefix"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait-ms"]) / 1_000
        while True:
            if after > self.revision or (self.history and after < self.history[0]["revision"] - 1):
                return 410, {}
            first = bisect_right(self.history, after, key=lambda item: item["revision"])
            events = [item for item in self.history[first:] if item["key"].startswith(prefix)]
            left_s = end_s - time.monotonic()
            if self.down or events or left_s < CLOCK_RESOLUTION_S:
                return 200, {"events": events, "current-rev": self.revision}
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait([changed], timeout=left_s)
            changed.cancel()

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body["expect-rev"]
        present = [self.items.get(row["key"], row | {"revision": 0}) for row in rows]
        if any(p["revision"] != row["revision"] for p, row in zip(present, rows, strict=True)):
            return 412, {"entries": present}
        leases = {write["lease"] for write in body["writes"]} - {0}
        if not leases <= self._lease_ends_s.keys():
            return 404, {}
        for key in body["remove"]:
            if key in self.items:
                self.remove(key)
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]))
            self.items[write["key"]]["lease"] = write["lease"]
        return 200, {"revision": self.revision}

    def _end_lease(self, lease: int) -> None:
        self._lease_ends_s.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _register(self, entry: dict[str, Any]) -> None:
        name = entry.pop("id")
        self._beat_s[name] = time.monotonic()
        self.put(f"servers/{name}", entry)

    def _remove_server(self, name: str) -> None:
        del self._beat_s[name]
        self.remove(f"servers/{name}")

    def _append(self, item: dict[str, Any]) -> int:
        if len(self.history) >= MAX_HISTORY:
            del self.history[: MAX_HISTORY // 2]
        return super()._append(item)


__all__ = ["SoakStore", "StoreFaults"]
