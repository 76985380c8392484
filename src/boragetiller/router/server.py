"""HTTP interface for callers: OpenAI-compatible routes, plain services and health checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.agent_protocol.headers import filter_request_headers
from boragetiller.caller_limits.body import read_body
from boragetiller.caller_limits.server import refuse_without_reading
from boragetiller.errors import (
    BoragetillerError,
    CallerBudgetExhausted,
    Draining,
    HeadersTooLarge,
    MethodNotAllowed,
    NotFound,
    RequestTimeout,
    RequestTooLarge,
)
from boragetiller.events import Event, log_event
from boragetiller.router.caller_headers import authenticate, parse_caller_headers
from boragetiller.router.engine_protocol import EngineTranscript
from boragetiller.router.error_responses import build_error_response
from boragetiller.router.request import (
    RoutedRequest,
    parse_engine_request,
    parse_service_request,
)
from boragetiller.router.response_writers import BufferedResponseWriter, StreamingResponseWriter
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from boragetiller.metrics import Metrics
    from boragetiller.records.model import Customer
    from boragetiller.router.config_sync import ConfigSync
    from boragetiller.router.customer_limits import CustomerLimits
    from boragetiller.router.dispatcher import RequestDispatcher
    from boragetiller.router.traces import TraceTable
    from boragetiller.settings import Settings
    from boragetiller.tables.config import ConfigTable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
    Parse = Callable[[str, Customer, bytes], RoutedRequest]

# Refusals after which the rest of the request is not read
UNREAD_REFUSALS = (CallerBudgetExhausted, HeadersTooLarge, RequestTimeout, RequestTooLarge)
REQUEST_ID_BITS = 64


class CallerServer:
    """Handles the requests of callers."""

    def __init__(
        self,
        settings: Settings,
        config: ConfigTable,
        dispatcher: RequestDispatcher,
        limits: CustomerLimits,
        sync: ConfigSync,
        traces: TraceTable,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """
        Build the server.

        :param settings: limits on bodies and headers
        :param config: records in force
        :param dispatcher: dispatches requests to agents
        :param limits: customers' limits
        :param sync: synchronization of the configuration, for readiness
        :param traces: decisions by request
        :param metrics: counters
        :param rng: generator of request ids
        """
        self._settings = settings
        self._config = config
        self._dispatcher = dispatcher
        self._limits = limits
        self._sync = sync
        self._traces = traces
        self._metrics = metrics
        self._rng = rng
        self.in_progress = 0
        self.draining = False
        self.refusing = False

    def build_app(self) -> web.Application:
        """:return: the application of the callers' port"""
        limit = self._settings.limits.max_body_bytes
        app = web.Application(client_max_size=limit, middlewares=[self._refuse_unrouted])
        app.router.add_get("/healthz", self.handle_health)
        app.router.add_get("/readyz", self.handle_ready)
        app.router.add_get("/v1/models", self.handle_models)
        app.router.add_post("/v1/chat/completions", self.handle_engine)
        app.router.add_post("/v1/completions", self.handle_engine)
        app.router.add_route("*", "/services/{group}/{path:.*}", self.handle_service)
        return app

    def count_refusal(self, code: str) -> None:
        """
        Count a request that was refused before it reached a handler.

        :param code: code of the error
        """
        self._metrics.increment(f"router.refused.{code}")

    async def handle_health(self, _request: web.Request) -> web.Response:
        """:return: 200 while the process runs"""
        return web.Response(text="ok")

    async def handle_ready(self, _request: web.Request) -> web.Response:
        """:return: 200 if the balancer may send requests, else 503 with the reason"""
        if self.draining:
            return web.Response(status=503, text="stopping")
        reason = self._sync.get_not_ready_reason()
        if reason:
            return web.Response(status=503, text=reason)
        return web.Response(text="ready")

    async def handle_models(self, request: web.Request) -> web.Response:
        """:return: the models that the customer may use"""
        try:
            customer = authenticate(request.headers, self._config)
        except BoragetillerError as error:
            return self._refuse(error, self._new_request_id())
        classes = [self._config.classes.get(name) for name in customer.classes]
        groups = [self._config.groups.get(each.group) for each in classes if each]
        models = sorted({model for group in groups if group for model in group.models})
        data = [{"id": name, "object": "model", "owned_by": "boragetiller"} for name in models]
        return web.json_response({"object": "list", "data": data})

    async def handle_engine(self, request: web.Request) -> web.StreamResponse:
        """
        Handle a completion request.

        :param request: OpenAI-compatible request
        :return: streamed or buffered response, or an error with code and verdict
        """

        def parse(request_id: str, customer: Customer, body: bytes) -> RoutedRequest:
            headers = parse_caller_headers(request.headers)
            return parse_engine_request(
                request_id, request.path, headers, body, customer, self._config
            )

        return await self._serve(request, parse)

    async def handle_service(self, request: web.Request) -> web.StreamResponse:
        """
        Handle a request to a plain service.

        :param request: any request below /services/<group>/
        :return: the service's response, or an error with code and verdict
        """

        def parse(request_id: str, customer: Customer, body: bytes) -> RoutedRequest:
            group = request.match_info["group"]
            path = request.raw_path.removeprefix(f"/services/{group}")
            headers = parse_caller_headers(request.headers)
            forwarded = filter_request_headers(request.headers)
            if sum(map(len, forwarded.values())) > self._settings.limits.max_header_bytes:
                raise HeadersTooLarge
            headers = attrs.evolve(headers, forwarded=forwarded)
            return parse_service_request(
                request_id, request.method, group, path, headers, body, customer, self._config
            )

        return await self._serve(request, parse)

    @web.middleware
    async def _refuse_unrouted(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPNotFound:
            return self._refuse(NotFound(f"no route {request.path}"), self._new_request_id())
        except web.HTTPMethodNotAllowed as error:
            refusal = self._refuse(MethodNotAllowed(), self._new_request_id())
            refusal.headers["Allow"] = error.headers["Allow"]
            return refusal

    async def _serve(self, request: web.Request, parse: Parse) -> web.StreamResponse:
        request_id = self._new_request_id()
        self.in_progress += 1
        try:
            routed = await self._accept(request, request_id, parse)
            transcript = EngineTranscript()
            is_buffered = routed.for_engine and not routed.streamed
            may_repeat = routed.repeatable or bool(routed.idempotency_key)
            response_writer = (
                BufferedResponseWriter(transcript, request_id, may_repeat=may_repeat)
                if is_buffered
                else StreamingResponseWriter(request, request_id, may_repeat=may_repeat)
            )
            with self._limits.admit(routed.customer):
                return await self._dispatcher.dispatch(routed, response_writer, transcript)
        except BoragetillerError as error:
            if "group" in request.match_info and "Idempotency-Key" in request.headers:
                # an earlier request with this key may have run
                error.verdict = Verdict.MAY_HAVE_RUN
            response = self._refuse(error, request_id)
            if isinstance(error, UNREAD_REFUSALS) and not request.content.is_eof():
                return await refuse_without_reading(request, response)
            return response
        except (asyncio.CancelledError, ConnectionError):
            self._traces.record(request_id, "caller left")
            self._metrics.increment("router.cancelled")
            log_event(Event.REQUEST_CANCELLED, request_id=request_id)
            raise
        finally:
            self.in_progress -= 1

    async def _accept(self, request: web.Request, request_id: str, parse: Parse) -> RoutedRequest:
        if self.refusing:
            raise Draining(retry_after_s=1)
        authenticate(request.headers, self._config)
        body = await self._read_body(request)
        # Again, since the key may have been taken away during the upload.
        customer = authenticate(request.headers, self._config)
        routed = parse(request_id, customer, body)
        self._traces.record(
            request_id,
            "accepted",
            customer=customer.name,
            request_class=routed.request_class.name,
            group=routed.group.name,
            tier=routed.request_class.tier,
        )
        return routed

    async def _read_body(self, request: web.Request) -> bytes:
        limits = self._settings.limits
        return await read_body(request, limits.max_body_bytes, limits.body_timeout_ms / 1_000)

    def _refuse(self, error: BoragetillerError, request_id: str) -> web.Response:
        self._metrics.increment(f"router.refused.{error.code}")
        self._traces.record(request_id, "refused", code=error.code, verdict=error.verdict.value)
        response = build_error_response(error, request_id)
        log_event(
            Event.REQUEST_REFUSED,
            request_id=request_id,
            code=error.code,
            status=response.status,
            verdict=error.verdict.value,
        )
        return response

    def _new_request_id(self) -> str:
        return f"req-{self._rng.getrandbits(REQUEST_ID_BITS):016x}"


__all__ = ["CallerServer"]
