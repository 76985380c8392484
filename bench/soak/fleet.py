"""All processes of a soak."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from bench.soak.config_probes import build_probe_route
from bench.soak.records import ConfigChange, Ledger, read_arrivals
from bench.soak.routers import DEFAULT_LINK_MBPS, ROOT, SoakRouter
from bench.soak.store import SoakStore
from tests.gateway.config_transfer.large_config import build_large_config

if TYPE_CHECKING:
    from pathlib import Path

STREAMS, PLAIN = "engines", "shop"
LISTED_TIMEOUT_S = 30.0
POLL_S = 0.02
MS_PER_S = 1_000
NARROW_LINK_MBPS = 5.0
ROUTE_TIMEOUT_MS = 9_000


@attrs.define
class EngineProcess:
    """A server process."""

    name: str
    service: str
    version: str
    process: asyncio.subprocess.Process

    def tell(self, **behaviour: Any) -> None:
        """:param behaviour: fields of `Behaviour` to replace"""
        if self.process.returncode is None and self.process.stdin is not None:
            self.process.stdin.write(json.dumps(behaviour).encode() + b"\n")

    def kill(self) -> None:
        """Kill the process."""
        if self.process.returncode is None:
            self.process.kill()


class SoakFleet:
    """Store, routers and servers."""

    def __init__(self, folder: Path, seed: int) -> None:
        """
        Create an empty fleet.

        :param folder: folder for logs and ledgers
        :param seed: seed of the faults of store and servers
        """
        self.folder = folder
        self.ledger = Ledger()
        self.rng = Random(seed)
        self.store = SoakStore(Random(seed + 1))
        self.routers: list[SoakRouter] = []
        self.engines: dict[str, EngineProcess] = {}
        self._store_port = 0
        self._started = 0
        self._ended: list[EngineProcess] = []
        self._store_task: asyncio.Task[None] | None = None
        self._config_version = 1
        self._probe_routes: list[dict[str, Any]] = []

    async def start(
        self,
        routers: int,
        servers: dict[tuple[str, str], int],
        *,
        seeds: bool,
        narrow_links: int = 0,
    ) -> None:
        """
        Start all processes and wait until the routers are ready.

        :param routers: number of routers
        :param servers: number of servers by service and version
        :param seeds: whether routers know each other
        :param narrow_links: number of routers, the last ones, whose link to the store is narrow
        """
        self._store_port = (await self.store.start()).port
        self._store_task = asyncio.create_task(self.store.run())
        self.change_config()
        for (service, version), count in servers.items():
            for _ in range(count):
                await self.start_engine(service, version)
        await self.wait_until_registered(*self.engines)
        wide = [DEFAULT_LINK_MBPS] * (routers - narrow_links)
        self.routers = [
            SoakRouter(number, self.folder, self.ledger, link_mbps)
            for number, link_mbps in enumerate([*wide, *([NARROW_LINK_MBPS] * narrow_links)])
        ]
        for router in self.routers:
            others = [each.control for each in self.routers[:3] if seeds and each is not router]
            await router.start(await self.store.open_port(router.name), others)
        await asyncio.gather(*(router.wait_until_ready() for router in self.routers))

    async def start_engine(
        self, service: str, version: str, name: str | None = None, **behaviour: Any
    ) -> EngineProcess:
        """
        Start a server, which registers itself.

        :param service: name of its service
        :param version: software version
        :param name: ID, None for a new one
        :param behaviour: fields of `Behaviour`
        :return: the server
        """
        self._started += 1
        name = name or f"i-{self._started:04x}"
        ledger_path = self.folder / f"{name}.arrivals"
        arguments = (name, service, version, self._store_port, ledger_path, self._started)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bench.soak.engine", *map(str, arguments)),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
        )
        if name in self.engines:
            self._ended.append(self.engines[name])
        engine = self.engines[name] = EngineProcess(name, service, version, process)
        engine.tell(**behaviour)
        return engine

    def remove(self, engine: EngineProcess) -> None:
        """:param engine: a server that ended or is about to end"""
        if self.engines.get(engine.name) is engine:
            del self.engines[engine.name]
        self._ended.append(engine)

    async def wait_until_registered(self, *names: str) -> None:
        """Wait until the store lists servers."""
        async with asyncio.timeout(LISTED_TIMEOUT_S):
            while not self._lists(names):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    def _lists(self, names: tuple[str, ...]) -> bool:
        return all(f"servers/{name}" in self.store.items for name in names)

    def change_config(self, size: int = 0) -> None:
        """
        Write the next version of the configuration, with another time limit and a route more.

        :param size: about that many bytes, 0 for the routes in use
        """
        version = self._config_version
        config = build_large_config(version, size)
        for route in config["routes"]:
            route["timeout-ms"] = ROUTE_TIMEOUT_MS + version
        self._probe_routes.append(build_probe_route(version))
        config["routes"] += self._probe_routes
        self._config_version += self.rng.randint(1, 3)
        self.store.put("op/config", config)
        self.ledger.changes.append(ConfigChange(version, time.monotonic()))

    def list_engines(self, service: str, version: str | None = None) -> list[EngineProcess]:
        """:return: running servers of a service, of one version or all"""
        return [
            engine
            for engine in self.engines.values()
            if engine.service == service and version in (None, engine.version)
        ]

    async def close(self) -> None:
        """Kill all processes and read the ledgers of the servers."""
        await asyncio.gather(*(router.close() for router in self.routers))
        for engine in [*self.engines.values(), *self._ended]:
            engine.kill()
            await engine.process.wait()
        if self._store_task is not None:
            self._store_task.cancel()
        await self.store.close()
        self.ledger.arrivals = read_arrivals(sorted(self.folder.glob("*.arrivals")))


__all__ = ["PLAIN", "STREAMS", "EngineProcess", "SoakFleet"]
