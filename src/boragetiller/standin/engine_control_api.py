"""HTTP API of the stand-in engine for models, load, cache events, orders, ledger and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.standin.engine_orders import OrderRefused

if TYPE_CHECKING:
    from boragetiller.standin.engine import EngineServer


class EngineControlApi:
    """Request handlers of one engine, besides completions."""

    def __init__(self, engine: EngineServer) -> None:
        """:param engine: the engine"""
        self._engine = engine

    def build_routes(self) -> list[web.RouteDef]:
        """:return: routes of these handlers"""
        return [
            web.get("/v1/models", self._list_models),
            web.post("/cancel", self._cancel_request),
            web.get("/load", self._get_load),
            web.get("/cache_events", self._list_cache_events),
            web.post("/orders", self._execute_order),
            web.get("/orders", self._get_order_state),
            web.get("/ledger", self._get_ledger),
            web.post("/faults", self._set_faults),
        ]

    async def _list_models(self, _: web.Request) -> web.Response:
        data = [
            {"id": name, "object": "model", "owned_by": "engine"}
            for name in self._engine.state.models
        ]
        return web.json_response({"object": "list", "data": data})

    async def _cancel_request(self, request: web.Request) -> web.Response:
        body = await request.json()
        sequence = self._engine.sequences.get(body.get("request_id"))
        if sequence is None:
            return build_error_response(404, "no running request has this request_id")
        sequence.cancelled = True
        self._engine.ledger.cancelled += 1
        sequence.tokens.put_nowait(None)
        return web.json_response({})

    async def _get_load(self, _: web.Request) -> web.Response:
        load = self._engine.simulation.get_reported_load()
        max_batch = self._engine.settings.simulation.max_batch
        return web.json_response(
            {"running": load.running, "waiting": load.waiting, "max_batch": max_batch}
        )

    async def _list_cache_events(self, request: web.Request) -> web.Response:
        events = self._engine.simulation.cache.list_events(int(request.query.get("after", "0")))
        return web.json_response({"events": [attrs.asdict(event) for event in events]})

    async def _execute_order(self, request: web.Request) -> web.Response:
        key = self._engine.settings.order_key
        if key is not None and request.headers.get("Authorization") != f"Bearer {key}":
            return build_error_response(401, "the bearer key of the order is missing or wrong")
        try:
            await self._engine.order_executor.execute(await request.json())
        except OrderRefused as error:
            return build_error_response(error.status, str(error))
        return web.json_response({})

    async def _get_order_state(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._engine.state))

    async def _get_ledger(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._engine.ledger))

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._engine.simulation.slowdown = float(
            body.get("slowdown", self._engine.simulation.slowdown)
        )
        if body.get("crash"):
            self._engine.crash()
        return web.json_response({"slowdown": self._engine.simulation.slowdown})


def build_error_response(status: int, message: str) -> web.Response:
    """
    Build an error response in the OpenAI format.

    :param status: HTTP status
    :param message: description of the error
    :return: the response
    """
    error = {"message": message, "type": "engine_error", "code": status}
    return web.json_response({"error": error}, status=status)


__all__ = ["EngineControlApi", "build_error_response"]
