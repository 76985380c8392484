"""
A server of the soak, in a process of its own.

It registers itself in the store, writes a line for each request that reaches it, and takes its
faults as JSON lines on standard input.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import fire

from bench.soak.records import Arrival
from tests.gateway.scripted_engine import (
    ScriptedEngine,
    build_chunk,
    build_response,
    build_stream_header,
    reset,
)

if TYPE_CHECKING:
    from tests.gateway.scripted_engine import ReceivedRequest

BEAT_S = 0.4
LAST_EVENT = 24
NOT_EXECUTED = "X-Boragetiller-Not-Executed: 1\r\n"
REQUEST_ID = "x-boragetiller-attempt-id"


@attrs.define
class Behaviour:
    """Faults that the driver sets; shares are of the requests."""

    paused_until_s: float = 0.0  # until then, requests are refused with a time to wait
    odd_retry_after: str = ""  # sent in place of the time that is left
    silent_share: float = 0.0  # never a first event
    break_share: float = 0.0  # reset after some events
    cut_share: float = 0.0  # reset inside an event
    error_share: float = 0.0  # sealed 500
    reset_share: float = 0.0  # reset before the response
    event_interval_s: float = 0.02
    event_bytes: int = 0
    draining: bool = False
    hidden: bool = False  # not registered yet


class SoakEngine(ScriptedEngine):
    """Serves streams and plain requests."""

    def __init__(self, name: str, version: str, ledger_path: str, seed: int) -> None:
        """
        Create the server.

        :param name: ID under which it registers
        :param version: software version
        :param ledger_path: file to which arrivals are appended
        :param seed: seed of its faults
        """
        super().__init__(self._respond)
        self.name = name
        self.version = version
        self.behaviour = Behaviour()
        self._ledger = Path(ledger_path).open("a", buffering=1)  # noqa: SIM115
        self._rng = Random(seed)
        self._runs = 0
        self.seen = asyncio.Event()  # cleared while it stays out of the store

    def behave(self, behaviour: Behaviour) -> None:
        """:param behaviour: faults from now on"""
        self.behaviour = behaviour
        if behaviour.hidden:
            self.seen.clear()
        else:
            self.seen.set()

    async def _respond(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        now_s = time.monotonic()
        request_id = request.headers.get(REQUEST_ID)
        if request_id is None:
            extra = f"X-Boragetiller-Instance-Id: {self.name}\r\n"
            writer.write(build_response("", b"{}", seal="", extra=extra))
            return
        if request.headers.get("x-boragetiller-expect-instance", self.name) != self.name:
            self._note(now_s, request_id, 421, ran=False)
            extra = NOT_EXECUTED
            writer.write(build_response(request_id, status="421 Misdirected", extra=extra))
            return
        left_s = self.behaviour.paused_until_s - now_s
        if left_s > 0:
            text = self.behaviour.odd_retry_after or f"{left_s:.3f}"
            self._note(now_s, request_id, 503, ran=False, retry_after_s=parse_seconds(text))
            extra = f"{NOT_EXECUTED}Retry-After: {text}\r\n"
            writer.write(build_response(request_id, status="503 Busy", extra=extra))
            return
        self._runs += 1
        if self._draw(self.behaviour.reset_share):
            self._note(now_s, request_id, 200, ran=True)
            reset(writer)
        elif self._draw(self.behaviour.error_share):
            self._note(now_s, request_id, 500, ran=True)
            writer.write(build_response(request_id, status="500 Error"))
        elif request.path.startswith("/gauges/"):
            self._note(now_s, request_id, 200, ran=True)
            await self._stream(request, writer)
        else:
            self._note(now_s, request_id, 200, ran=True)
            await asyncio.sleep(self._rng.uniform(0.001, 0.01))
            writer.write(build_response(request_id, build_body(request_id)))

    async def _stream(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        behaviour, run = self.behaviour, f"{self.name}.{self._runs}"
        if self._draw(behaviour.silent_share):
            await asyncio.sleep(30)
            return
        after = int(request.headers.get("last-event-id", 0))
        breaks = self._draw(behaviour.break_share)
        cuts = self._draw(behaviour.cut_share)
        last = self._rng.randint(after + 1, LAST_EVENT) if breaks or cuts else LAST_EVENT
        writer.write(build_stream_header(request.request_id))
        for number in range(after + 1, last + 1):
            data = json.dumps([self.version, run]) + " " * behaviour.event_bytes
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if cuts and number == last:
                event = event[: self._rng.randrange(1, len(event) - 1)]
            writer.write(build_chunk(event))
            await writer.drain()
            await asyncio.sleep(behaviour.event_interval_s)
        if breaks or cuts:
            reset(writer)
        else:
            writer.write(build_chunk(b""))

    def _draw(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _note(self, at_s: float, request_id: str, status: int, **fields: Any) -> None:
        arrival = Arrival(at_s, self.name, request_id, status, **fields)
        self._ledger.write(json.dumps(attrs.asdict(arrival)) + "\n")


def build_body(request_id: str) -> bytes:
    """:return: body of the response to a plain request"""
    return f"done {request_id} ".encode() * 40


def parse_seconds(text: str) -> float | None:
    """:return: a positive number of seconds, None for any other text"""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


async def _beat(engine: SoakEngine, service: str, store_port: int) -> None:
    """Register, and say so again and again; a store that is down is asked again."""
    entry = {"service": service, "address": engine.address, "zone": "a", "slots": 16}
    entry |= {"version": engine.version, "cold-left-ms": 0, "born": int(1_000 * time.time())}
    sequence = 0
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await engine.seen.wait()
            sequence += 1
            state = "draining" if engine.behaviour.draining else "ready"
            document = {"id": engine.name, **entry, "state": state, "seq": sequence}
            try:
                url = f"http://127.0.0.1:{store_port}/soak-beat"
                async with session.post(url, json=document) as response:
                    await response.read()
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(BEAT_S)


async def _serve(engine: SoakEngine, service: str, store_port: int) -> None:
    await engine.start()
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    if line := await reader.readline():
        engine.behave(attrs.evolve(engine.behaviour, **json.loads(line)))
    beat = asyncio.create_task(_beat(engine, service, store_port))
    while line := await reader.readline():
        engine.behave(attrs.evolve(engine.behaviour, **json.loads(line)))
    beat.cancel()
    await engine.close()


def main(
    name: str, service: str, version: str, store_port: int, ledger_path: str, seed: int
) -> None:
    """
    Serve until standard input ends.

    :param name: ID under which the server registers
    :param service: name of its service
    :param version: software version
    :param store_port: port of the store
    :param ledger_path: file to which arrivals are appended
    :param seed: seed of its faults
    """
    engine = SoakEngine(name, version, ledger_path, seed)
    asyncio.run(_serve(engine, service, store_port))


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["LAST_EVENT", "Behaviour", "SoakEngine", "build_body", "parse_seconds"]
