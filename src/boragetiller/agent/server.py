"""HTTP server of the agent's data path: takes attempts and responds with streams of frames."""

from __future__ import annotations

import asyncio
import hmac
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web

from boragetiller.agent.attempts import AttemptTable
from boragetiller.agent.runner import AttemptRunner
from boragetiller.agent.stream import FrameStream, RouterDisconnected
from boragetiller.agent_protocol.attempt import (
    ATTEMPT_HEADER,
    ATTEMPT_PATH,
    WITHDRAW_PATH,
    Attempt,
    derive_data_path_token,
    parse_attempt,
)
from boragetiller.caller_limits.body import read_body
from boragetiller.caller_limits.server import refuse_without_reading
from boragetiller.errors import BoragetillerError, Draining, Unauthorized
from boragetiller.events import Event, log_event

if TYPE_CHECKING:
    from boragetiller.agent.admission import AdmissionQueue
    from boragetiller.agent.backend import BackendClient
    from boragetiller.agent.claims import ClaimRegistry
    from boragetiller.agent.crash_isolation import CrashIsolation
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.settings import Settings

FRAMES_CONTENT_TYPE = "application/x-boragetiller-frames"


class AttemptServer:
    """Handles attempts and withdrawals that routers send."""

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionQueue,
        backend: BackendClient,
        claims: ClaimRegistry,
        crash_isolation: CrashIsolation,
        clock: Clock,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        """
        Create a server from its components.

        :param settings: settings of the process
        :param admission: admission queue
        :param backend: client of the backend server
        :param claims: claims of idempotency keys
        :param crash_isolation: isolates bodies that crashed backend servers
        :param clock: monotonic time
        :param metrics: counters
        :param incarnation: incarnation of this process
        """
        self._settings = settings
        self._metrics = metrics
        self._incarnation = incarnation
        self._token = "Bearer " + derive_data_path_token(settings.control.key)
        self._attempts = AttemptTable()
        self._runner = AttemptRunner(
            settings, admission, backend, claims, crash_isolation, self._attempts, clock
        )
        self._streams: set[FrameStream] = set()
        self.draining = False

    @property
    def in_progress(self) -> int:
        """:return: number of open streams and running keyed calls"""
        return len(self._streams) + self._runner.detached

    def build_app(self) -> web.Application:
        """:return: the application of the data port"""
        app = web.Application(client_max_size=self._settings.limits.max_body_bytes)
        app.router.add_post(ATTEMPT_PATH, self.handle_attempt)
        app.router.add_post(WITHDRAW_PATH, self.handle_withdraw)
        return app

    async def handle_attempt(self, request: web.Request) -> web.StreamResponse:
        """
        Run one attempt.

        :param request: attempt header and the body for the backend server
        :return: a stream of frames
        """
        self._authorize(request)
        attempt = parse_attempt(request.headers.get(ATTEMPT_HEADER, ""))
        limits = self._settings.limits
        try:
            body = await read_body(request, limits.max_body_bytes, limits.body_timeout_ms / 1_000)
        except BoragetillerError as error:
            return await self._refuse_body(request, error)
        response = web.StreamResponse(headers={"Content-Type": FRAMES_CONTENT_TYPE})
        response.enable_chunked_encoding()
        await response.prepare(request)
        stream = FrameStream(response, attempt.number)
        self._streams.add(stream)
        try:
            await self._run(attempt, body, stream)
        finally:
            self._streams.discard(stream)
        with suppress(ConnectionError):
            await response.write_eof()
        return response

    async def handle_withdraw(self, request: web.Request) -> web.Response:
        """
        Withdraw an attempt whose connection broke.

        :param request: request id, attempt number and incarnation of the addressed agent
        :return: the verdict of the request here, and whether the incarnation is this process
        """
        self._authorize(request)
        fields = await request.json()
        same_incarnation = int(fields["incarnation"]) == self._incarnation
        verdict = self._attempts.withdraw(str(fields["request_id"]), int(fields["number"]))
        return web.json_response({"verdict": verdict.value, "known": same_incarnation})

    async def send_keepalives(self) -> None:
        """Write a keepalive frame to each stream that was idle since the last call."""
        for stream in list(self._streams):
            with suppress(RouterDisconnected):
                await stream.send_keepalive()

    async def _run(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        try:
            if self.draining:
                raise Draining
            await self._runner.run(attempt, body, stream)
            await stream.send_end()
            log_event(Event.REQUEST_FINISHED, request_id=attempt.request_id, n=attempt.number)
        except BoragetillerError as error:
            self._count_failure(attempt, error)
            with suppress(RouterDisconnected):
                await stream.send_error(error)
        except RouterDisconnected:
            log_event(Event.REQUEST_CANCELLED, request_id=attempt.request_id, n=attempt.number)
        except asyncio.CancelledError:
            log_event(Event.REQUEST_CANCELLED, request_id=attempt.request_id, n=attempt.number)
            raise

    def _count_failure(self, attempt: Attempt, error: BoragetillerError) -> None:
        self._metrics.increment(f"agent.failed.{error.code}")
        log_event(
            Event.REQUEST_FAILED,
            request_id=attempt.request_id,
            n=attempt.number,
            code=error.code,
            verdict=error.verdict.value,
            detail=str(error),
        )

    async def _refuse_body(
        self, request: web.Request, error: BoragetillerError
    ) -> web.StreamResponse:
        self._metrics.increment(f"agent.refused.{error.code}")
        response = web.Response(status=error.http_status, text=error.code)
        return await refuse_without_reading(request, response)

    def _authorize(self, request: web.Request) -> None:
        # aiohttp decodes bytes that are not UTF-8 to lone surrogates
        given = request.headers.get("Authorization", "").encode(errors="surrogateescape")
        if not hmac.compare_digest(given, self._token.encode()):
            self._metrics.increment("agent.refused.unauthorized")
            raise web.HTTPUnauthorized(text=Unauthorized.code)


__all__ = ["FRAMES_CONTENT_TYPE", "AttemptServer"]
