"""Fuzzing of the reader of callers' connections: it holds no more than its budget."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.caller_limits.body import read_body
from boragetiller.caller_limits.budget import CallerBudget
from boragetiller.caller_limits.server import BudgetedServer, refuse_without_reading
from boragetiller.errors import BoragetillerError
from boragetiller.http_refusals import build_refusal_logger
from boragetiller.tables.caller_budget import BudgetLimits
from boragetiller.tables.routes import CallerLimits

MAX_BODY_BYTES = 20_000
LIMITS = CallerLimits(
    max_header_bytes=2_000,
    max_body_bytes=MAX_BODY_BYTES,
    header_timeout_ms=5_000,
    idle_timeout_ms=5_000,
)
BUDGET = BudgetLimits(
    held_bytes=60_000,
    large_held_bytes=40_000,
    connections=4,
    connections_per_address=4,
    unfinished=3,
    waiting=2,
    descriptors=900,
)
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
PIECES = st.one_of(
    st.sampled_from(
        (
            HEAD,
            HEAD + b"Content-Length: 5\r\n\r\nhello",
            HEAD + b"Content-Length: 900000000\r\n\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\na\r\n" * 2_000,
            b"1000\r\n" + b"a" * 4_096 + b"\r\n",
            b"0\r\n\r\n",
            b"\r\n" * 1_500,
            b"X-Line: " + b"a" * 1_500,
            b"\r\n\r\n",
        )
    ),
    st.binary(max_size=40),
)
STEPS = st.lists(st.tuples(st.integers(0, 5), PIECES | st.none()), max_size=25)


class MemoryTransport(asyncio.Transport):
    """Takes what is written, and reports its end as a socket does."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        """:param protocol: protocol of the connection"""
        super().__init__()
        self._protocol = protocol
        self.closed = False
        self.paused = False

    def write(self, data: object) -> None:
        """See :class:`asyncio.Transport`."""

    def can_write_eof(self) -> bool:
        """See :class:`asyncio.Transport`."""
        return False

    def get_write_buffer_size(self) -> int:
        """See :class:`asyncio.Transport`."""
        return 0

    def pause_reading(self) -> None:
        """See :class:`asyncio.Transport`."""
        self.paused = True

    def resume_reading(self) -> None:
        """See :class:`asyncio.Transport`."""
        self.paused = False

    def is_closing(self) -> bool:
        """See :class:`asyncio.Transport`."""
        return self.closed

    def close(self) -> None:
        """See :class:`asyncio.Transport`."""
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)

    abort = close


async def handle(request: web.BaseRequest) -> web.StreamResponse:
    """Read the body, or refuse it as the routers do."""
    try:
        await read_body(request, MAX_BODY_BYTES, 5.0)
    except BoragetillerError as error:
        return await refuse_without_reading(request, web.Response(status=error.http_status))
    return web.Response()


class CallerConnectionsTest(unittest.TestCase):
    """Any bytes on up to six connections at a time."""

    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(STEPS)
    def test_any_bytes_stay_within_the_budget(self, steps: list[tuple[int, bytes | None]]) -> None:
        asyncio.run(self._play(steps))

    async def _play(self, steps: list[tuple[int, bytes | None]]) -> None:
        budget = CallerBudget(BUDGET, lambda: 0, lambda _limit: None)
        crashes: list[str] = []
        server = BudgetedServer(
            handle,
            budget,
            lambda: LIMITS,
            lambda _code: None,
            handler_cancellation=True,
            access_log=None,
            logger=build_refusal_logger(crashes.append),
        )
        transports: dict[int, MemoryTransport] = {}
        opened: list[MemoryTransport] = []
        for number, piece in steps:
            transport = transports.get(number)
            if transport is None or transport.closed:
                protocol = server()
                transport = transports[number] = MemoryTransport(protocol)
                opened.append(transport)
                protocol.connection_made(transport)
            elif piece is None:
                transport.close()
            elif not transport.paused:
                transport._protocol.data_received(piece)  # noqa: SLF001
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertLessEqual(budget.held_bytes, BUDGET.held_bytes)
            self.assertLessEqual(budget.connections, BUDGET.connections)
        for transport in opened:
            transport.close()
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual((budget.held_bytes, budget.connections), (0, 0))
        self.assertNotIn("internal", crashes)


if __name__ == "__main__":
    unittest.main()
