"""HTTP handler of the callers' port."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.caller_limits.body import read_body
from boragetiller.caller_limits.server import BudgetedServer, refuse_without_reading
from boragetiller.errors import (
    BoragetillerError,
    CallerBudgetExhausted,
    Draining,
    HeadersTooLarge,
    NotReady,
    RequestTimeout,
    RequestTooLarge,
)
from boragetiller.events import Event, log_event
from boragetiller.gateway.admitted_call import admit_call
from boragetiller.gateway.responses import CallerDisconnected, ErrorResponse, build_error_response
from boragetiller.http_refusals import build_refusal_logger
from boragetiller.tables.routes import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp import web

    from boragetiller.caller_limits.budget import CallerBudget
    from boragetiller.caller_limits.connection import BudgetedRequestHandler
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.dispatcher import CallDispatcher
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect

NOT_READY_RETRY_AFTER_S = 0.3
MAX_LINE_BYTES = 65_536  # one header line; the configured limit applies to the whole header
HEADER_OVERHEAD_BYTES = 4  # colon, space, CR and LF of each header line
BODY_TIMEOUT_S = 10.0
DEFAULT_LIMITS = CallerLimits(  # until a configuration is in force
    max_header_bytes=16_384,
    max_body_bytes=4_194_304,
    header_timeout_ms=10_000.0,
    idle_timeout_ms=75_000.0,
)
# Refusals after which the rest of the request is not read
UNREAD_REFUSALS = (CallerBudgetExhausted, HeadersTooLarge, RequestTimeout, RequestTooLarge)


class CallHandler:
    """Admits calls and passes them to the dispatcher."""

    def __init__(
        self,
        registry: BackendRegistry,
        dispatcher: CallDispatcher,
        dialect: Dialect,
        clock: Clock,
        metrics: GatewayMetrics,
        budget: CallerBudget,
    ) -> None:
        """
        Create the handler.

        :param registry: route configuration in force
        :param dispatcher: dispatches admitted calls
        :param dialect: header names and data formats of the platform
        :param clock: monotonic clock
        :param metrics: counters and gauges
        :param budget: memory and connections that callers may use
        """
        self._budget = budget
        self._registry = registry
        self._dispatcher = dispatcher
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self.in_progress = 0
        self.stopping = False  # close each connection after its next response
        self.refusing = False  # refuse new calls

    def build_server(self) -> web.Server:
        """:return: an HTTP server that handles calls"""
        return BudgetedServer(
            self._handle,
            self._budget,
            self._get_limits,
            self._count_refusal,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            logger=build_refusal_logger(self._count_refusal),
        )

    def _get_limits(self) -> CallerLimits:
        config = self._registry.config
        return config.limits if config is not None else DEFAULT_LIMITS

    def _count_refusal(self, code: str) -> None:
        self._metrics.refused.labels(code).inc()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_progress += 1
        self._metrics.in_flight.set(self.in_progress)
        try:
            response = await self._serve(request)
        finally:
            self.in_progress -= 1
            self._metrics.in_flight.set(self.in_progress)
        if self.stopping and not response.prepared:
            response.force_close()
            response.headers["Connection"] = "close"
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = ""
        try:
            config = self._registry.config
            if config is None:
                raise NotReady
            if self.refusing:
                raise Draining
            arrived_ms = self._clock.now_ms()
            metadata = self._dialect.parse_call_headers(request.headers)
            request_id = metadata.request_id
            check_header_size(request.raw_path, request.raw_headers, config.limits)
            body = await read_body(request, config.limits.max_body_bytes, BODY_TIMEOUT_S)
            call = admit_call(
                self._registry.config or config,  # a newer one, if it came during the upload
                metadata,
                request.method,
                request.raw_path,
                request.headers,
                body,
                arrived_ms,
            )
        except BoragetillerError as error:
            response = self._refuse(error, request_id)
            if isinstance(error, UNREAD_REFUSALS) and not request.content.is_eof():
                return await refuse_without_reading(request, response)
            return response
        connection: BudgetedRequestHandler = request.protocol  # type: ignore[assignment]
        connection.use.urgency = call.urgency
        try:
            return await self._dispatcher.dispatch(call, request)
        except (asyncio.CancelledError, ConnectionError, CallerDisconnected) as error:
            self._metrics.callers_left.labels(call.route.name).inc()
            log_event(
                Event.CALLER_LEFT,
                request_id=request_id,
                route=call.route.name,
                elapsed_ms=self._clock.now_ms() - call.arrived_ms,
            )
            if isinstance(error, CallerDisconnected):
                raise ConnectionResetError from error  # the error that aiohttp expects
            raise

    def _refuse(self, error: BoragetillerError, request_id: str) -> web.Response:
        self._metrics.refused.labels(error.code).inc()
        config = self._registry.config
        log_event(
            Event.CALL_REFUSED,
            request_id=request_id,
            code=error.code,
            status=error.http_status,
            verdict=error.verdict.value,
            config_version=config.version if config else 0,
            config_age_ms=self._clock.now_ms() - self._registry.config_applied_ms,
        )
        retry_after_s = NOT_READY_RETRY_AFTER_S if error.http_status == 503 else None
        response = ErrorResponse(
            status=error.http_status,
            code=error.code,
            verdict=error.verdict,
            retry_after_s=retry_after_s,
        )
        return build_error_response(response, request_id, self._dialect)


def check_header_size(
    raw_path: str, raw_headers: Sequence[tuple[bytes, bytes]], limits: CallerLimits
) -> None:
    """
    Check the size of the head of a call.

    :param raw_path: path and query as received
    :param raw_headers: names and values as received
    :param limits: limits in force
    :raises HeadersTooLarge: it exceeds the limit
    """
    headers = sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in raw_headers)
    if len(raw_path) + headers > limits.max_header_bytes:
        raise HeadersTooLarge


__all__ = ["CallHandler", "check_header_size"]
