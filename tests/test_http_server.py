"""Tests that stopping the HTTP server drops no request."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from boragetiller.http_server import HttpServer
from boragetiller.settings import LimitSettings

CALLERS = 20
ROUNDS = 5


async def _respond(_request: web.Request) -> web.Response:
    await asyncio.sleep(0.001)
    return web.Response(text="ok")


class HttpServerStopTest(unittest.IsolatedAsyncioTestCase):
    """Callers that send on kept-alive connections while the server stops."""

    async def test_close_drops_no_request(self) -> None:
        for _ in range(ROUNDS):
            app = web.Application()
            app.router.add_post("/", _respond)
            server = HttpServer(app, "127.0.0.1", 0, limits=LimitSettings())
            await server.start()
            first_response = asyncio.Event()
            callers = [
                asyncio.create_task(_call(server.base_url, first_response)) for _ in range(CALLERS)
            ]
            await first_response.wait()
            await server.close()
            for result in await asyncio.gather(*callers, return_exceptions=True):
                self.assertIsInstance(result, aiohttp.ClientConnectorError)


async def _call(url: str, first_response: asyncio.Event) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.post(url, data=b"{}") as response:
                await response.read()
            first_response.set()


if __name__ == "__main__":
    unittest.main()
