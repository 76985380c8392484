"""
Backend servers that send bytes without end until the router closes the connection.

Each test counts what the server could send before it was cut off.
"""

from __future__ import annotations

import asyncio
import tracemalloc
import unittest
from typing import TYPE_CHECKING

from boragetiller.gateway.event_stream import MAX_EVENT_BYTES, EventSplitter, EventTooLarge
from tests.gateway.harness import RouterHarness, config
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    answer,
    chunk,
    stream_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable

PIECE = b"x" * 65_536
MAX_SENT_BYTES = 64_000_000  # a sender that gets so far is not bounded
MAX_MEMORY_BYTES = 32_000_000


class Flood:
    """Sends a beginning, and then the same bytes until the connection is closed."""

    def __init__(self, beginning: Callable[[ReceivedRequest], bytes], piece: bytes) -> None:
        """
        Prepare the flood.

        :param beginning: first bytes
        :param piece: bytes that are repeated
        """
        self.beginning = beginning
        self.piece = piece
        self.sent_bytes = 0

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Write until the other side closes."""
        writer.write(self.beginning(request))
        while not writer.transport.is_closing() and self.sent_bytes < MAX_SENT_BYTES:
            writer.write(self.piece)
            self.sent_bytes += len(self.piece)
            await writer.drain()


def endless_body(request: ReceivedRequest) -> bytes:
    return stream_head(request.request_id)


def endless_body_of_another(request: ReceivedRequest) -> bytes:
    return stream_head(f"not-{request.request_id}")


def endless_headers(_request: ReceivedRequest) -> bytes:
    return b"HTTP/1.1 200 OK\r\n"


def endless_extension(request: ReceivedRequest) -> bytes:
    return stream_head(request.request_id) + b"1;"


def endless_trailers(request: ReceivedRequest) -> bytes:
    return stream_head(request.request_id) + b"0\r\n"


class EndlessBytesTest(unittest.IsolatedAsyncioTestCase):
    """One server that never ends its answer, and a second one that does."""

    async def flood(
        self,
        beginning: Callable[[ReceivedRequest], bytes],
        piece: bytes,
        path: str = "/stock/",
        group: str = "shop",
    ) -> int:
        """:return: status that the caller gets"""
        harness = RouterHarness()
        limits = config()["limits"] | {"max-body-bytes": 65_536}
        harness.store.put("op/config", config(2, limits=limits))
        flood = Flood(beginning, piece)
        engine = ScriptedEngine(flood)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness.store.register("a", engine, group)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        tracemalloc.start()
        try:
            async with asyncio.timeout(20), harness.call(path, method="GET") as got:
                status: int = got.status
                await got.read()
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(flood.sent_bytes, MAX_SENT_BYTES)
        self.assertLess(peak_bytes, MAX_MEMORY_BYTES)
        return status

    async def test_endless_body_ends_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_body, chunk(PIECE)), 502)

    async def test_endless_body_of_another_request_ends_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_body_of_another, chunk(PIECE)), 502)

    async def test_endless_answers_to_other_requests_end_as_a_broken_answer(self) -> None:
        status = await self.flood(lambda _: b"", answer("not-this-one", b""))
        self.assertEqual(status, 502)

    async def test_endless_event_ends_as_a_broken_answer(self) -> None:
        status = await self.flood(endless_body, chunk(b"data: " + PIECE), "/quotes/", "engines")
        self.assertEqual(status, 502)

    async def test_endless_headers_end_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_headers, b"X-More: y\r\n" * 1_000), 502)

    async def test_endless_head_line_ends_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_headers, PIECE), 502)

    async def test_endless_chunk_extension_ends_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_extension, PIECE), 502)

    async def test_endless_trailers_end_as_a_broken_answer(self) -> None:
        self.assertEqual(await self.flood(endless_trailers, b"X-More: y\r\n" * 1_000), 502)


class EventSplitterBoundsTest(unittest.TestCase):
    """Events without end, in reads of any size."""

    def test_event_without_end_is_refused_at_the_bound(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(EventTooLarge):
            for _ in range(MAX_EVENT_BYTES // 1_000 + 2):
                splitter.feed(b"x" * 1_000)

    def test_end_between_two_reads_is_found(self) -> None:
        for text in (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 1\r\ndata: a\r\n\r\n"):
            whole = EventSplitter().feed(text)
            splitter = EventSplitter()
            parts = [splitter.feed(text[index : index + 1]) for index in range(len(text))]
            self.assertEqual(b"".join(part.data for part in parts), whole.data)
            self.assertFalse(splitter.has_partial_event)


if __name__ == "__main__":
    unittest.main()
