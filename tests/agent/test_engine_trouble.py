"""Responses to an agent of a backend server in trouble: invalid statuses, resets during uploads."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.agent.backend import BackendClient
from boragetiller.errors import BackendLost, BoragetillerError
from boragetiller.settings import BackendKind, BackendSettings
from boragetiller.verdict import Verdict
from tests.agent.test_backend import build_attempt
from tests.gateway.scripted_engine import reset

INVALID_STATUSES = ("000", "099", "101", "600", "999")
UPLOAD = bytes(8_000_000)
PLAYS = 10


class EngineTroubleTest(unittest.IsolatedAsyncioTestCase):
    """A backend server that responds before it has read the request."""

    async def send(self, kind: BackendKind, head: str, body: bytes, *, resets: bool) -> int:
        """:return: status that the agent's client accepts with a complete body"""

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return  # the client only checks whether the server listens
            writer.write(head.encode() + b"part")
            await writer.drain()
            if resets:
                await asyncio.sleep(0.005)
                reset(writer)
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = BackendClient(BackendSettings(name="s", group="g", kind=kind, url=url))
        await client.start()
        try:
            async with client.send(build_attempt(), body) as response:
                async for _ in response.iter_chunks():
                    pass
                return response.head.status
        finally:
            await client.close()
            server.close()

    async def test_invalid_status_is_no_answer(self) -> None:
        for kind in BackendKind:
            for status in INVALID_STATUSES:
                head = (
                    f"HTTP/1.1 {status} x\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
                )
                with self.subTest(kind=kind, status=status):
                    with self.assertRaises(BoragetillerError) as raised:
                        await self.send(kind, head, b"", resets=False)
                    self.assertIsNot(raised.exception.verdict, Verdict.NOT_RUN)

    async def test_answer_that_is_reset_during_the_upload_is_incomplete(self) -> None:
        for number in range(PLAYS):
            with self.subTest(number=number), self.assertRaises(BackendLost):
                head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
                await self.send(BackendKind.SERVICE, head, UPLOAD, resets=True)


if __name__ == "__main__":
    unittest.main()
