"""HTTP API for operators: counters and status, authorized by a bearer key."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.router.config_status import build_record_status

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.router.config_sync import ConfigSync
    from boragetiller.settings import OperatorSettings
    from boragetiller.tables.config import ConfigTable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_operator_app(settings: OperatorSettings, metrics: Metrics) -> web.Application:
    """
    Build the application to which routers and agents add their own routes.

    :param settings: bearer key
    :param metrics: counters that `GET /metrics` returns
    :return: application with `GET /metrics`
    """
    expected = f"Bearer {settings.key}".encode()

    @web.middleware
    async def authorize(request: web.Request, handler: Handler) -> web.StreamResponse:
        # aiohttp decodes bytes that are not UTF-8 to lone surrogates
        received = request.headers.get("Authorization", "").encode(errors="surrogateescape")
        if not hmac.compare_digest(received, expected):
            return web.json_response({"code": "unauthorized"}, status=401)
        return await handler(request)

    async def show_metrics(_request: web.Request) -> web.Response:
        return web.json_response(dict(sorted(metrics.counts.items())))

    app = web.Application(middlewares=[authorize])
    app.router.add_get("/metrics", show_metrics)
    return app


def add_record_status_route(
    app: web.Application, sync: ConfigSync, config: ConfigTable, name: str, clock: Clock
) -> None:
    """
    Add a route that returns which page of a record this process and its peers hold.

    :param app: application of the operator port
    :param sync: configuration sync, with the page revisions of the peers
    :param config: records in force
    :param name: name of this process
    :param clock: monotonic time
    """

    async def show_record(request: web.Request) -> web.Response:
        record_id = f"{request.match_info['kind']}/{request.match_info['name']}"
        status = build_record_status(sync, config, record_id, name, clock.now_ms())
        return web.json_response(attrs.asdict(status))

    app.router.add_get("/status/record/{kind}/{name}", show_record)


__all__ = ["add_record_status_route", "build_operator_app"]
