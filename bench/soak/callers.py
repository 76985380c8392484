"""Callers of a soak, which retry, read slowly, and take streams up again at any router."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from bench.soak.engine import LAST_EVENT, build_body, parse_seconds
from bench.soak.judge import PROMISES
from bench.soak.records import Attempt, StreamEvent
from tests.gateway.harness import HOST, KEY

if TYPE_CHECKING:
    from bench.soak.records import Ledger
    from bench.soak.routers import SoakRouter

DEADLINE_S = 8.0
CONNECT_S = 1.0
KEEP_OPEN_S = 3_600.0
MIN_LEFT_S = 0.3
GAP_S = 2.4  # four times the latency target of the streams
MAX_TRIES = 8
THINK_S = (0.005, 0.05)
RETRY_S = (0.02, 0.2)
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
PREFIX_PARTS = 200


@attrs.frozen(kw_only=True)
class Workload:
    """What callers do; shares are of the streams."""

    stream_callers: int
    plain_callers: int
    leave_share: float = 0.0  # broken off by the caller and taken up again
    leave_after: int = LAST_EVENT // 2  # events at most
    stop_share: float = 0.0  # not read for some seconds
    stop_s: tuple[float, float] = (1.5, 4.0)
    receive_bytes: int = 0  # receive buffer of their sockets, 0 for that of the host
    reserve_share: float = 0.4  # of the plain requests
    hasty_share: float = 0.0  # of all requests, repeated without the wait that was asked for
    away_share: float = 0.5  # of the requests after the first that go to another router


class Callers:
    """Sends requests until told to end, each caller one at a time."""

    def __init__(
        self, routers: list[SoakRouter], workload: Workload, ledger: Ledger, seed: int
    ) -> None:
        """
        Create the callers.

        :param routers: routers that they call
        :param workload: what they do
        :param ledger: takes their requests
        :param seed: seed of what they draw
        """
        self._routers = routers
        self._workload = workload
        self._ledger = ledger
        self._seed = seed

    async def run(self, until_s: float) -> None:
        """:param until_s: monotonic time after which no request begins"""
        workload = self._workload
        await asyncio.gather(
            *(self._call(n, until_s, self._stream) for n in range(workload.stream_callers)),
            *(self._call(1_000 + n, until_s, self._plain) for n in range(workload.plain_callers)),
        )

    async def _call(self, number: int, until_s: float, operation: object) -> None:
        rng = Random(f"{self._seed}/{number}")
        home = self._routers[number % len(self._routers)]
        count = 0
        async with self._open_session() as kept:
            while time.monotonic() < until_s:
                count += 1
                await operation(f"c{number}-{count}", rng, home, kept)  # type: ignore[operator]
                await asyncio.sleep(rng.uniform(*THINK_S))

    async def _plain(
        self, operation: str, rng: Random, home: SoakRouter, kept: aiohttp.ClientSession
    ) -> None:
        route = "reserve" if rng.random() < self._workload.reserve_share else "stock"
        end_s = time.monotonic() + DEADLINE_S
        router, session = home, kept
        for number in range(MAX_TRIES):
            attempt = self._begin(f"{operation}.{number}", router, route, operation)
            await self._send(session, router, attempt, end_s, {}, rng)
            if session is not kept:
                await session.close()
            may_repeat = route == "stock" or attempt.status in PROMISES
            if 200 <= attempt.status < 300 and attempt.whole or not may_repeat:
                return
            if not await self._wait_to_retry(attempt, end_s, rng):
                return
            router, session = self._choose(router, rng), self._open_session()
        if session is not kept:
            await session.close()

    async def _stream(
        self, operation: str, rng: Random, home: SoakRouter, kept: aiohttp.ClientSession
    ) -> None:
        end_s = time.monotonic() + DEADLINE_S
        began: str | None = None
        last = 0
        router, session = home, kept
        parts = f"{rng.randrange(PREFIX_PARTS):x}a:800,{rng.getrandbits(32):08x}:100"
        for number in range(MAX_TRIES):
            attempt = self._begin(f"{operation}.{number}", router, "gauges", operation)
            headers = {
                "X-Boragetiller-Model": "m",
                "X-Boragetiller-Token-Counts": f"900,{LAST_EVENT}",
                "X-Boragetiller-Prefix-Hash": parts,
            }
            if began is not None:
                headers |= {"Last-Event-Id": str(last), "Resumes": began}
                attempt.resumes = began
            await self._send(session, router, attempt, end_s, headers, rng)
            if session is not kept:
                await session.close()
            if attempt.events:
                began, last = began or attempt.request_id, attempt.events[-1].number
            if attempt.status == 200 and attempt.whole or attempt.status in FINAL_STATUSES:
                return
            if not attempt.left and not await self._wait_to_retry(attempt, end_s, rng):
                return
            router, session = self._choose(router, rng), self._open_session()
        if session is not kept:
            await session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        """:return: a session whose connections stay open until the other side closes them"""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)
        connector = aiohttp.TCPConnector(
            keepalive_timeout=KEEP_OPEN_S, socket_factory=self._open_socket
        )
        return aiohttp.ClientSession(connector=connector, timeout=timeout, read_bufsize=2**14)

    def _open_socket(self, info: Any) -> socket.socket:
        family, kind, protocol, _, _ = info
        connection = socket.socket(family, kind, protocol)
        if self._workload.receive_bytes:
            size = self._workload.receive_bytes
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        return connection

    def _begin(self, request_id: str, router: SoakRouter, route: str, operation: str) -> Attempt:
        attempt = Attempt(request_id, router.name, route, time.monotonic(), operation)
        self._ledger.attempts.append(attempt)
        return attempt

    def _choose(self, router: SoakRouter, rng: Random) -> SoakRouter:
        return rng.choice(self._routers) if rng.random() < self._workload.away_share else router

    async def _send(
        self,
        session: aiohttp.ClientSession,
        router: SoakRouter,
        attempt: Attempt,
        end_s: float,
        headers: dict[str, str],
        rng: Random,
    ) -> None:
        left_s = end_s - time.monotonic()
        headers = headers | {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Boragetiller-Attempt-Id": attempt.request_id,
            "X-Boragetiller-Deadline-Ms": str(max(1, int(1_000 * left_s))),
        }
        try:
            async with (
                asyncio.timeout(max(0.01, left_s)),
                session.post(
                    f"http://{router.callers}/{attempt.route}/x", headers=headers, data=b"{}"
                ) as response,
            ):
                attempt.status = response.status
                attempt.sealed = "X-Boragetiller-Response-Seal" in response.headers
                attempt.retry_after_s = parse_seconds(response.headers.get("Retry-After", ""))
                if attempt.route == "gauges" and response.status == 200:
                    await self._read_stream(response, attempt, rng)
                else:
                    body = await response.read()
                    attempt.whole = True
                    attempt.body_matches = body == build_body(attempt.request_id)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _wait_to_retry(self, attempt: Attempt, end_s: float, rng: Random) -> bool:
        """:return: whether there is time for a further request after a wait"""
        left_s = end_s - time.monotonic()
        wait_s = rng.uniform(*RETRY_S)
        is_hasty = rng.random() < self._workload.hasty_share
        if attempt.status in PROMISES and attempt.retry_after_s is not None and not is_hasty:
            wait_s = min(attempt.retry_after_s, left_s / 3)
        if left_s - wait_s < MIN_LEFT_S:
            return False
        await asyncio.sleep(wait_s)
        return True

    async def _read_stream(
        self, response: aiohttp.ClientResponse, attempt: Attempt, rng: Random
    ) -> None:
        leave_after = stop_after = LAST_EVENT + 1
        if rng.random() < self._workload.leave_share:
            leave_after = rng.randint(1, self._workload.leave_after)
        if rng.random() < self._workload.stop_share:
            stop_after = rng.randint(1, LAST_EVENT // 2)
        buffer = b""
        async with asyncio.timeout(None) as gap:
            while True:
                gap.reschedule(asyncio.get_running_loop().time() + GAP_S)
                data = await response.content.readany()
                gap.reschedule(None)
                if not data:
                    attempt.whole = not buffer.strip()
                    return
                *events, buffer = (buffer + data).split(b"\n\n")
                for event in events:
                    attempt.events.append(parse_event(event))
                    if len(attempt.events) == stop_after:
                        await asyncio.sleep(rng.uniform(*self._workload.stop_s))
                    if len(attempt.events) == leave_after:
                        attempt.left = True
                        response.close()
                        return


def parse_event(event: bytes) -> StreamEvent:
    """:return: an event of an engine"""
    fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
    version, run = json.loads(fields[b"data"])
    return StreamEvent(int(fields[b"id"]), version, run)


__all__ = ["Callers", "Workload", "parse_event"]
