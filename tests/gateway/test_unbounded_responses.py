"""
Responses without an end: the router must close the connection and bound its memory.

Each test counts the bytes that a server can send until the router closes the connection.
"""

from __future__ import annotations

import asyncio
import tracemalloc
import unittest
from typing import TYPE_CHECKING

from boragetiller.gateway.event_stream import MAX_EVENT_BYTES, EventSplitter, EventTooLarge
from tests.gateway.harness import RouterHarness, build_config
from tests.gateway.scripted_engine import (
    ReceivedRequest,
    ScriptedEngine,
    build_chunk,
    build_response,
    build_stream_header,
)

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK = b"x" * 65_536
MAX_SENT_BYTES = 64_000_000  # a response of this size counts as unbounded
MAX_MEMORY_BYTES = 32_000_000


class EndlessResponse:
    """Script that sends first bytes, then the same bytes until the connection is closed."""

    def __init__(
        self, first_bytes: Callable[[ReceivedRequest], bytes], repeated_bytes: bytes
    ) -> None:
        """
        Create the script.

        :param first_bytes: builds the first bytes
        :param repeated_bytes: bytes that are repeated
        """
        self.first_bytes = first_bytes
        self.repeated_bytes = repeated_bytes
        self.sent_bytes = 0

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Write until the client closes the connection."""
        writer.write(self.first_bytes(request))
        while not writer.transport.is_closing() and self.sent_bytes < MAX_SENT_BYTES:
            writer.write(self.repeated_bytes)
            self.sent_bytes += len(self.repeated_bytes)
            await writer.drain()


def endless_body(request: ReceivedRequest) -> bytes:
    return build_stream_header(request.request_id)


def endless_body_of_another_request(request: ReceivedRequest) -> bytes:
    return build_stream_header(f"not-{request.request_id}")


def endless_headers(_request: ReceivedRequest) -> bytes:
    return b"HTTP/1.1 200 OK\r\n"


def endless_extension(request: ReceivedRequest) -> bytes:
    return build_stream_header(request.request_id) + b"1;"


def endless_trailers(request: ReceivedRequest) -> bytes:
    return build_stream_header(request.request_id) + b"0\r\n"


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """One backend server that never ends its response."""

    async def get_status(
        self,
        first_bytes: Callable[[ReceivedRequest], bytes],
        repeated_bytes: bytes,
        path: str = "/stock/",
        group: str = "shop",
    ) -> int:
        """:return: status of the response to the caller"""
        harness = RouterHarness()
        limits = build_config()["limits"] | {"max-body-bytes": 65_536}
        harness.store.put("op/config", build_config(2, limits=limits))
        endless_response = EndlessResponse(first_bytes, repeated_bytes)
        engine = ScriptedEngine(endless_response)
        await engine.start()
        self.addAsyncCleanup(engine.close)
        harness.store.register("a", engine, group)
        await harness.start()
        self.addAsyncCleanup(harness.close)
        tracemalloc.start()
        try:
            async with asyncio.timeout(20), harness.call(path, method="GET") as response:
                status: int = response.status
                await response.read()
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(endless_response.sent_bytes, MAX_SENT_BYTES)
        self.assertLess(peak_bytes, MAX_MEMORY_BYTES)
        return status

    async def test_endless_body_gets_502(self) -> None:
        self.assertEqual(await self.get_status(endless_body, build_chunk(CHUNK)), 502)

    async def test_endless_body_of_another_request_gets_502(self) -> None:
        self.assertEqual(
            await self.get_status(endless_body_of_another_request, build_chunk(CHUNK)), 502
        )

    async def test_endless_responses_to_other_requests_get_502(self) -> None:
        status = await self.get_status(lambda _: b"", build_response("not-this-one", b""))
        self.assertEqual(status, 502)

    async def test_endless_event_gets_502(self) -> None:
        status = await self.get_status(
            endless_body, build_chunk(b"data: " + CHUNK), "/quotes/", "engines"
        )
        self.assertEqual(status, 502)

    async def test_endless_headers_get_502(self) -> None:
        self.assertEqual(await self.get_status(endless_headers, b"X-More: y\r\n" * 1_000), 502)

    async def test_endless_header_line_gets_502(self) -> None:
        self.assertEqual(await self.get_status(endless_headers, CHUNK), 502)

    async def test_endless_chunk_extension_gets_502(self) -> None:
        self.assertEqual(await self.get_status(endless_extension, CHUNK), 502)

    async def test_endless_trailers_get_502(self) -> None:
        self.assertEqual(await self.get_status(endless_trailers, b"X-More: y\r\n" * 1_000), 502)


class EventSplitterBoundsTest(unittest.TestCase):
    """Size limit of events, for reads of any size."""

    def test_event_over_the_size_limit_is_refused(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(EventTooLarge):
            for _ in range(MAX_EVENT_BYTES // 1_000 + 2):
                splitter.feed(b"x" * 1_000)

    def test_event_delimiter_split_between_reads_is_found(self) -> None:
        for text in (b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", b"id: 1\r\ndata: a\r\n\r\n"):
            whole = EventSplitter().feed(text)
            splitter = EventSplitter()
            parts = [splitter.feed(text[index : index + 1]) for index in range(len(text))]
            self.assertEqual(b"".join(part.data for part in parts), whole.data)
            self.assertFalse(splitter.has_partial_event)


if __name__ == "__main__":
    unittest.main()
