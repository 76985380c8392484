"""Responses to an agent with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.agent.backend import BackendClient
from boragetiller.errors import BackendLost, BoragetillerError
from boragetiller.settings import BackendKind, BackendSettings
from tests.agent.test_backend import build_attempt
from tests.gateway.scripted_engine import reset

HEAD = "HTTP/1.1 200 OK\r\nContent-Type: {}\r\n\r\n"
EVENT = b'data: {"n": 1}\n\n'
DONE = b"data: [DONE]\n\n"


class CloseDelimitedResponseTest(unittest.IsolatedAsyncioTestCase):
    """A backend server that ends each response with its connection."""

    async def read(
        self, kind: BackendKind, content_type: str, data: bytes, *, is_reset: bool = False
    ) -> bytes:
        """:return: body that the agent's client accepts as complete"""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD.format(content_type).encode() + data)
            await writer.drain()
            await asyncio.sleep(0.02)
            if is_reset:
                reset(writer)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = BackendClient(BackendSettings(name="s", group="g", kind=kind, url=url))
        await client.start()
        try:
            async with client.send(build_attempt(), b"") as response:
                return b"".join([chunk async for chunk in response.iter_chunks()])
        finally:
            await client.close()
            server.close()

    async def test_body_that_ends_with_its_connection_is_complete(self) -> None:
        body = await self.read(BackendKind.SERVICE, "text/plain", b"whole")
        self.assertEqual(body, b"whole")

    async def test_body_that_is_reset_is_incomplete(self) -> None:
        with self.assertRaises(BackendLost):
            await self.read(BackendKind.SERVICE, "text/plain", b"who", is_reset=True)

    async def test_stream_that_ends_with_its_connection_is_complete(self) -> None:
        body = await self.read(BackendKind.ENGINE, "text/event-stream", EVENT + DONE)
        self.assertEqual(body, EVENT + DONE)

    async def test_stream_that_ends_inside_an_event_is_broken_off(self) -> None:
        with self.assertRaises(BoragetillerError):
            await self.read(BackendKind.ENGINE, "text/event-stream", EVENT + DONE[:-1])

    async def test_stream_that_is_reset_between_events_is_broken_off(self) -> None:
        with self.assertRaises(BoragetillerError):
            await self.read(BackendKind.ENGINE, "text/event-stream", EVENT, is_reset=True)

    async def test_event_stream_of_a_service_that_ends_inside_an_event_is_broken_off(self) -> None:
        with self.assertRaises(BoragetillerError):
            await self.read(BackendKind.SERVICE, "text/event-stream", EVENT + DONE + EVENT[:5])


if __name__ == "__main__":
    unittest.main()
