"""Tests of the HTTP server's stop."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from boragetiller.http_server import HttpServer
from boragetiller.settings import LimitSettings

CALLERS = 20
ROUNDS = 5


async def _answer(_request: web.Request) -> web.Response:
    await asyncio.sleep(0.001)
    return web.Response(text="ok")


class HttpServerStopTest(unittest.IsolatedAsyncioTestCase):
    """Callers that keep sending on kept-alive connections while the server stops."""

    async def test_close_cuts_no_request_off(self) -> None:
        for _ in range(ROUNDS):
            app = web.Application()
            app.router.add_post("/", _answer)
            server = HttpServer(app, "127.0.0.1", 0, limits=LimitSettings())
            await server.start()
            answered = asyncio.Event()
            callers = [
                asyncio.create_task(_call(server.base_url, answered)) for _ in range(CALLERS)
            ]
            await answered.wait()
            await server.close()
            for ended in await asyncio.gather(*callers, return_exceptions=True):
                self.assertIsInstance(ended, aiohttp.ClientConnectorError)


async def _call(url: str, answered: asyncio.Event) -> None:
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.post(url, data=b"{}") as response:
                await response.read()
            answered.set()


if __name__ == "__main__":
    unittest.main()
