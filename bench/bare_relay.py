"""HTTP relay that only forwards bytes, as a baseline: `python -m bench.bare_relay URL`."""

from __future__ import annotations

import asyncio

import aiohttp
import fire
from aiohttp import web

from boragetiller.standin.web_server import ListenAddress, WebServer, serve_until_signal


class BareRelay:
    """Forwards each POST to one upstream server and streams the response back."""

    def __init__(self, upstream: str) -> None:
        """:param upstream: base URL of the next hop"""
        self._upstream = upstream
        self._session: aiohttp.ClientSession | None = None
        app = web.Application()
        app.router.add_post("/{path:.*}", self._relay)
        self._web = WebServer(app, ListenAddress())

    @property
    def url(self) -> str:
        """:return: base URL of this relay"""
        return self._web.url

    async def start(self) -> None:
        """Open the client session and listen."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        await self._web.start()

    async def close(self) -> None:
        """Stop listening and close the client session."""
        await self._web.close()
        if self._session is not None:
            await self._session.close()

    async def _relay(self, request: web.Request) -> web.StreamResponse:
        assert self._session is not None
        body = await request.read()
        headers = {"Content-Type": request.content_type}
        url = self._upstream + request.path
        async with self._session.post(url, data=body, headers=headers) as upstream_response:
            response = web.StreamResponse(
                status=upstream_response.status,
                headers={"Content-Type": upstream_response.content_type},
            )
            response.enable_chunked_encoding()
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


def main(upstream: str) -> None:
    """
    Run one relay until SIGINT or SIGTERM.

    :param upstream: base URL of the next hop
    """
    asyncio.run(_run(upstream))


async def _run(upstream: str) -> None:
    await serve_until_signal(BareRelay(upstream))


if __name__ == "__main__":
    fire.Fire(main)

__all__ = ["BareRelay", "main"]
