"""Stand-in of the platform: store, host list and weight store in one HTTP server."""

from __future__ import annotations

import asyncio
import hashlib
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import fire
from aiohttp import web

from boragetiller.clock import SystemClock
from boragetiller.errors import (
    BoragetillerError,
    HistoryLost,
    RevisionConflict,
    StoreUnavailable,
    ValueTooLarge,
)
from boragetiller.platform_clients.hosts import Host  # noqa: TC001 - resolved to read YAML
from boragetiller.platform_clients.memory_store import (
    MemoryHostList,
    MemoryStore,
    MemoryWeightStore,
)
from boragetiller.platform_clients.store import Entry, Lease
from boragetiller.platform_clients.wire_format import (
    ERA_HEADER,
    MAX_REQUEST_BYTES,
    REVISION_HEADER,
    decode_host,
    encode_entry,
    encode_host,
)
from boragetiller.standin.web_server import (
    ListenAddress,
    WebServer,
    reset_connection,
    serve_until_signal,
)
from boragetiller.store_eras import extend_revision, get_store_revision
from boragetiller.structure import structure_yaml

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.clock import Clock

WATCH_KEEPALIVE_INTERVAL_S = 0.5


@attrs.frozen(kw_only=True)
class PlatformServerSettings:
    """Settings of the stand-in of the platform."""

    listen: ListenAddress = ListenAddress()
    host_list_lag_ms: int = 0
    concurrent_loads: int = 2
    hosts: tuple[Host, ...] = ()  # listed initially


class PlatformServer:
    """Serves the in-memory services over HTTP; tests may use them directly."""

    def __init__(self, settings: PlatformServerSettings, clock: Clock | None = None) -> None:
        """
        Create the services without listening.

        :param settings: address, delay, limits and listed hosts
        :param clock: time of leases and host list changes, the system's clock by default
        """
        clock = clock or SystemClock()
        self.store = MemoryStore(clock)
        self.host_list = MemoryHostList(clock, settings.host_list_lag_ms)
        for host in settings.hosts:
            self.host_list.put(host)
        self.weights = MemoryWeightStore(settings.concurrent_loads)
        self._closing = asyncio.Event()
        self._web = WebServer(self._build_app(), settings.listen)

    @property
    def url(self) -> str:
        """:return: base URL of all services"""
        return self._web.url

    async def start(self) -> None:
        """Start serving."""
        await self._web.start()

    async def close(self) -> None:
        """End all watches and stop serving."""
        self._closing.set()
        await self._web.close()

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_REQUEST_BYTES, middlewares=[_convert_errors])
        app.on_response_prepare.append(self._add_era)
        app.add_routes(
            [
                web.get("/entry", self._get_entry),
                web.get("/entries", self._list_entries),
                web.post("/put", self._put_entry),
                web.post("/delete", self._delete_entry),
                web.get("/watch", self._stream_changes),
                web.post("/leases/acquire", self._acquire_lease),
                web.post("/leases/renew", self._renew_lease),
                web.post("/leases/release", self._release_lease),
                web.get("/hosts", self._list_hosts),
                web.put("/hosts/{name}", self._put_host),
                web.delete("/hosts/{name}", self._remove_host),
                web.get("/weights", self._get_load_limit),
                web.post("/weights/begin", self._begin_load),
                web.post("/weights/end", self._end_load),
                web.post("/faults", self._set_faults),
                web.get("/counts", self._get_counts),
            ]
        )
        return app

    async def _add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        response.headers[ERA_HEADER] = str(self.store.era)

    def _extend(self, revision: str) -> int:
        """:return: revision of a request as the store takes it; it names no era"""
        return extend_revision(self.store.era, int(revision))

    async def _get_entry(self, request: web.Request) -> web.Response:
        entry = await self.store.get(request.query["key"])
        if entry is None:
            return web.Response(status=404)
        return web.Response(
            body=entry.value, headers={REVISION_HEADER: str(get_store_revision(entry.revision))}
        )

    async def _list_entries(self, request: web.Request) -> web.Response:
        entries = await self.store.list(request.query["prefix"])
        return web.Response(body=b"".join(_encode_change(entry) for entry in entries))

    async def _put_entry(self, request: web.Request) -> web.Response:
        expected = self._extend(request.query["expected_revision"])
        value = await request.read()
        revision = await self.store.put(request.query["key"], value, expected_revision=expected)
        return web.json_response({"revision": get_store_revision(revision)})

    async def _delete_entry(self, request: web.Request) -> web.Response:
        expected = self._extend(request.query["expected_revision"])
        await self.store.delete(request.query["key"], expected_revision=expected)
        return web.json_response({})

    async def _stream_changes(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        after_revision = self._extend(request.query["after_revision"])
        if after_revision > self.store.revision:
            raise HistoryLost
        changes = self.store.watch(request.query["prefix"], after_revision=after_revision)
        await response.prepare(request)
        next_change = asyncio.ensure_future(anext(changes))
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            while not closing.done():
                await asyncio.wait(
                    {next_change, closing},
                    timeout=WATCH_KEEPALIVE_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not next_change.done():
                    await response.write(b"\n")
                    continue
                await response.write(_encode_change(next_change.result()))
                next_change = asyncio.ensure_future(anext(changes))
        except (StopAsyncIteration, ConnectionResetError):
            pass
        finally:
            next_change.cancel()
            closing.cancel()
        return response

    async def _acquire_lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        lease = await self.store.acquire_lease(body["name"], body["holder"], body["ttl_ms"])
        if lease is None:
            raise RevisionConflict
        return web.json_response({"token": get_store_revision(lease.token)})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        if not await self.store.renew_lease(await self._read_lease(request)):
            raise RevisionConflict
        return web.json_response({})

    async def _release_lease(self, request: web.Request) -> web.Response:
        await self.store.release_lease(await self._read_lease(request))
        return web.json_response({})

    async def _read_lease(self, request: web.Request) -> Lease:
        lease = Lease(**await request.json())
        return attrs.evolve(lease, token=extend_revision(self.store.era, lease.token))

    async def _list_hosts(self, request: web.Request) -> web.Response:
        hosts = [encode_host(host) for host in await self.host_list.list_hosts()]
        response = web.json_response(hosts)
        assert response.text is not None
        entity_tag = hashlib.sha256(response.text.encode()).hexdigest()[:16]
        if any(tag.value == entity_tag for tag in request.if_none_match or ()):
            response = web.Response(status=304)
        response.etag = entity_tag
        return response

    async def _put_host(self, request: web.Request) -> web.Response:
        self.host_list.put(
            decode_host({**await request.json(), "name": request.match_info["name"]})
        )
        return web.json_response({})

    async def _remove_host(self, request: web.Request) -> web.Response:
        self.host_list.remove(request.match_info["name"])
        return web.json_response({})

    async def _get_load_limit(self, _: web.Request) -> web.Response:
        return web.json_response({"concurrent_loads": await self.weights.get_load_limit()})

    async def _begin_load(self, _: web.Request) -> web.Response:
        self.weights.begin_load()
        return web.json_response({})

    async def _end_load(self, _: web.Request) -> web.Response:
        self.weights.end_load()
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.store.inject_faults(**body.get("store", {}))
        self.host_list.inject_faults(**body.get("host_list", {}))
        return web.json_response(
            {
                "store": attrs.asdict(self.store.faults),
                "host_list": attrs.asdict(self.host_list.faults),
            }
        )

    async def _get_counts(self, _: web.Request) -> web.Response:
        counts = self.store.counts + self.host_list.counts
        return web.json_response({kind.value: count for kind, count in counts.items()})


def _encode_change(entry: Entry) -> bytes:
    return encode_entry(attrs.evolve(entry, revision=get_store_revision(entry.revision)))


@web.middleware
async def _convert_errors(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    try:
        return await handler(request)
    except StoreUnavailable:
        reset_connection(request.transport)
        return web.Response(status=503)
    except (HistoryLost, RevisionConflict, ValueTooLarge) as error:
        return _build_error_response(error)
    except (KeyError, TypeError, ValueError) as error:
        return web.json_response({"error": str(error)}, status=400)


def _build_error_response(error: BoragetillerError) -> web.Response:
    return web.json_response({"error": error.code}, status=error.http_status)


def main(
    *,
    port: int = 0,
    address: str = "127.0.0.1",
    host_list_lag_ms: int = 0,
    concurrent_loads: int = 2,
    settings: str | None = None,
) -> None:
    """
    Run the stand-in of the platform as a process until SIGINT or SIGTERM.

    :param port: port to listen on; 0 picks a free one; the base URL is printed
    :param address: IP address to listen on
    :param host_list_lag_ms: delay of changes of the host list, in milliseconds
    :param concurrent_loads: concurrent loads that the weight store allows
    :param settings: YAML file with these settings and the listed hosts; replaces the flags
    """
    if settings is not None:
        text = Path(settings).read_text(encoding="utf-8")
        asyncio.run(_run(structure_yaml(text, PlatformServerSettings, source=settings)))
        return
    chosen = PlatformServerSettings(
        listen=ListenAddress(address=address, port=port),
        host_list_lag_ms=host_list_lag_ms,
        concurrent_loads=concurrent_loads,
    )
    asyncio.run(_run(chosen))


async def _run(settings: PlatformServerSettings) -> None:
    await serve_until_signal(PlatformServer(settings))


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["PlatformServer", "PlatformServerSettings", "main"]
