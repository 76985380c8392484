"""A fake engine that crashes when it begins to answer a request with a certain prompt part."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_event,
    build_response,
    build_stream_header,
)

if TYPE_CHECKING:
    from tests.gateway.harness import FakeStore

EVENTS = 3


class CrashingEngineGroup:
    """
    Engines of one group; each that crashes is replaced by one with another name.

    A request with the part `bad` gets status 400.
    """

    def __init__(self, stores: tuple[FakeStore, ...], poison_part: str, size: int) -> None:
        """
        Create the group without engines.

        :param stores: stores in which the engines are registered
        :param poison_part: ID of the prompt part that crashes engines
        :param size: number of engines
        """
        self.poison_requests = 0  # requests with the part that reached an engine
        self.crashes = 0
        self._stores = stores
        self._poison_part = poison_part
        self._size = size
        self._started = 0
        self._engines: dict[str, ScriptedEngine] = {}

    async def start(self) -> None:
        """Start and register all engines."""
        for _ in range(self._size):
            await self._start_engine()

    async def close(self) -> None:
        """Stop all engines."""
        for engine in list(self._engines.values()):
            await engine.close()

    async def _start_engine(self) -> None:
        name = f"e{self._started}"
        self._started += 1

        async def run(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if "bad:" in request.headers["x-boragetiller-prefix-hash"]:
                writer.write(build_response(request.request_id, status="400 Bad Request"))
                return
            writer.write(build_stream_header(request.request_id))
            if self._poison_part in request.headers["x-boragetiller-prefix-hash"]:
                self.poison_requests += 1
                await writer.drain()
                await asyncio.sleep(0.02)
                await self._crash(name)
                return
            for number in range(1, EVENTS + 1):
                writer.write(build_chunk(build_event(number)))
            writer.write(build_chunk(b""))

        engine = self._engines[name] = ScriptedEngine(run)
        await engine.start()
        for store in self._stores:
            store.register(name, engine, "engines")

    async def _crash(self, name: str) -> None:
        engine = self._engines.pop(name, None)
        if engine is None:
            return
        self.crashes += 1
        await engine.close()
        await self._start_engine()
        for store in self._stores:
            store.remove(f"servers/{name}")


__all__ = ["CrashingEngineGroup"]
