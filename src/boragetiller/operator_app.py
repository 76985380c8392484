"""The operators' port: counters and status behind a bearer key."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.metrics import Metrics
    from boragetiller.settings import OperatorSettings

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def operator_app(settings: OperatorSettings, metrics: Metrics) -> web.Application:
    """
    Build the application that each role extends with its own routes.

    :param settings: bearer key
    :param metrics: counters to show
    :return: application with `GET /metrics`
    """
    expected = f"Bearer {settings.key}".encode()

    @web.middleware
    async def authorize(request: web.Request, handler: Handler) -> web.StreamResponse:
        given = request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(given, expected):
            return web.json_response({"code": "unauthorized"}, status=401)
        return await handler(request)

    async def show_metrics(_request: web.Request) -> web.Response:
        return web.json_response(dict(sorted(metrics.counts.items())))

    app = web.Application(middlewares=[authorize])
    app.router.add_get("/metrics", show_metrics)
    return app


__all__ = ["operator_app"]
