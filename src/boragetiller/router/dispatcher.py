"""Dispatch of a request: selection of an agent, attempts, retries and the response."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

from boragetiller.clock import WallClock
from boragetiller.errors import (
    BoragetillerError,
    NoBackend,
    Preempted,
    ProtocolError,
)
from boragetiller.events import Event, log_event
from boragetiller.router.engine_protocol import (
    EngineTranscript,
    ResumePoint,
    build_engine_body,
)
from boragetiller.router.frame_relay import RETRY_AFTER_S, FrameRelay
from boragetiller.router.request_state import RequestState, build_attempt
from boragetiller.router.stream_metrics import (
    StreamMetrics,
    record_complete_response,
    record_failed_response,
)
from boragetiller.status_verdicts import choose_truthful_status
from boragetiller.systems.agent_retry_policy import (
    AttemptFailed,
    AttemptOutcome,
    AttemptSucceeded,
    FailRequest,
    FinishRequest,
    NoRetryReason,
    RequestProgress,
    RetryRequest,
    decide_next_step,
)
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from aiohttp import web

    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.router.agent_client import AgentClient
    from boragetiller.router.agent_selector import AgentSelector
    from boragetiller.router.request import RoutedRequest
    from boragetiller.router.response_writers import ResponseWriter
    from boragetiller.router.traces import TraceTable
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentEntry


class RequestDispatcher:
    """Dispatches requests to agents and retries failed attempts."""

    def __init__(
        self,
        settings: Settings,
        agent_selector: AgentSelector,
        client: AgentClient,
        traces: TraceTable,
        clock: Clock,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """
        Build the dispatcher.

        :param settings: settings of the process
        :param agent_selector: selects the agent of each attempt
        :param client: sends attempts
        :param traces: decisions by request
        :param clock: monotonic time
        :param metrics: counters and timings
        :param rng: seeded generator for the retry delays
        """
        self._settings = settings
        self._agent_selector = agent_selector
        self._wall_clock = WallClock()
        self._client = client
        self._traces = traces
        self._clock = clock
        self._frame_relay = FrameRelay(agent_selector.load_balancer, clock)
        self._metrics = metrics
        self._rng = rng

    async def dispatch(
        self, request: RoutedRequest, response_writer: ResponseWriter, transcript: EngineTranscript
    ) -> web.StreamResponse:
        """
        Dispatch a request until it has a response or fails.

        :param request: the request
        :param response_writer: writes the response to the caller
        :param transcript: receives the events of an engine
        :return: the response to the caller
        """
        state = self._build_state(request, response_writer, transcript)
        while True:
            outcome = await self._run_next_attempt(state)
            state.progress.elapsed_ms = self._clock.now_ms() - state.arrived_ms
            step = decide_next_step(outcome, state.progress, self._settings.placement, self._rng)
            match step:
                case FinishRequest():
                    return await self._finish(state)
                case RetryRequest():
                    await self._prepare_retry(state, step)
                case FailRequest(error=error, reason=reason):
                    return await self._fail(state, error, reason)

    async def _finish(self, state: RequestState) -> web.StreamResponse:
        try:
            response = await state.response_writer.finish()
        except ProtocolError as error:  # the events of the engine make up no response
            return await self._fail(state, error, NoRetryReason.FINAL)
        request = state.request
        record_complete_response(self._metrics, request.request_class, state.stream_metrics)
        self._metrics.increment("router.answered")
        self._trace(
            request, "answered", attempts=state.progress.attempts, status=state.server_status
        )
        return response

    async def _fail(
        self, state: RequestState, error: BoragetillerError, reason: NoRetryReason
    ) -> web.StreamResponse:
        record_failed_response(self._metrics, state.request.request_class, state.stream_metrics)
        self._record_failure(state, error, reason)
        return await state.response_writer.finish_with_error(error)

    def _build_state(
        self, request: RoutedRequest, response_writer: ResponseWriter, transcript: EngineTranscript
    ) -> RequestState:
        progress = RequestProgress(
            repeatable=request.repeatable,
            has_idempotency_key=bool(request.idempotency_key),
            protected=request.request_class.protected,
            resumable=request.for_engine and request.repeatable,
            deadline_ms=request.request_class.deadline_ms,
            budget=self._agent_selector.load_balancer.record_first_attempt(request.group.name),
        )
        now_ms = self._clock.now_ms()
        return RequestState(
            request=request,
            response_writer=response_writer,
            transcript=transcript,
            progress=progress,
            arrived_ms=now_ms,
            arrived_wall_ms=self._wall_clock.now_ms(),
            stream_metrics=StreamMetrics(arrived_ms=now_ms),
        )

    async def _run_next_attempt(self, state: RequestState) -> AttemptOutcome:
        state.progress.attempts += 1
        request = state.request
        try:
            isolated = self._agent_selector.quarantine.needs_isolation(request.fingerprint)
        except BoragetillerError as error:
            return AttemptFailed(error, state.response_writer.response_started)
        agent = self._agent_selector.select_agent(state, isolated=isolated)
        if agent is None:
            return AttemptFailed(
                NoBackend(retry_after_s=RETRY_AFTER_S), state.response_writer.response_started
            )
        resume = state.transcript.find_resume_point() if state.transcript.events else None
        crashed_servers = self._agent_selector.quarantine.crashed_servers(request.fingerprint)
        attempt = build_attempt(state, resume, crashed_servers, isolated=isolated)
        if attempt.resumed_tokens:
            log_event(Event.REQUEST_RESUMED, request_id=request.request_id, agent=agent.name)
        self._trace(request, "placed", agent=agent.name, attempt=attempt.number)
        return await self._run_attempt(state, agent, attempt, resume)

    async def _run_attempt(
        self, state: RequestState, agent: AgentEntry, attempt: Attempt, resume: ResumePoint | None
    ) -> AttemptOutcome:
        sent_ms = self._clock.now_ms()
        state.server_status = None
        self._agent_selector.record_sent(agent, attempt)
        try:
            await self._relay_attempt(state, agent, attempt, resume)
        except BoragetillerError as error:
            self._agent_selector.record_failure(state, agent, error, sent_ms)
            await self._settle_verdict(state, agent, attempt, error)
            return AttemptFailed(error, state.response_writer.response_started)
        finally:
            self._agent_selector.record_finished(agent, attempt)
        self._agent_selector.record_success(agent, attempt)
        return AttemptSucceeded()

    async def _relay_attempt(
        self, state: RequestState, agent: AgentEntry, attempt: Attempt, resume: ResumePoint | None
    ) -> None:
        request = state.request
        body = request.body
        if request.fields is not None:
            body = build_engine_body(request.fields, attempt.tier, resume)
        state.stream_metrics.start_attempt()
        async with aclosing(self._client.send(agent, attempt, body)) as frame_lists:
            async for frames in frame_lists:
                await self._frame_relay.relay(state, agent, frames, attempt.resumed_tokens)

    async def _settle_verdict(
        self, state: RequestState, agent: AgentEntry, attempt: Attempt, error: BoragetillerError
    ) -> None:
        self._trace(
            state.request,
            "attempt failed",
            agent=agent.name,
            code=error.code,
            verdict=error.verdict.value,
        )
        verdict_is_final = (
            error.verdict is not Verdict.MAY_HAVE_RUN or attempt.key or attempt.repeatable
        )
        if not verdict_is_final and error.code in ("agent_lost", "backend_timeout"):
            error.verdict = await self._client.withdraw(agent, attempt)

    async def _prepare_retry(self, state: RequestState, step: RetryRequest) -> None:
        if step.reason == Preempted.code:
            state.tried.clear()  # a preemption is not a failure of the agent
        self._metrics.increment(f"router.retry.{step.reason}")
        self._trace(state.request, "retry", reason=step.reason, delay_ms=step.delay_ms)
        log_event(
            Event.REQUEST_RETRIED,
            request_id=state.request.request_id,
            reason=step.reason,
            attempt=state.progress.attempts,
        )
        await asyncio.sleep(step.delay_ms / 1_000)

    def _trace(self, request: RoutedRequest, step: str, **details: object) -> None:
        self._traces.record(request.request_id, step, **details)

    def _record_failure(
        self, state: RequestState, error: BoragetillerError, reason: NoRetryReason
    ) -> None:
        request_id, verdict = state.request.request_id, error.verdict.value
        is_relayed = state.response_writer.response_started
        status = None if is_relayed else choose_truthful_status(error.http_status, error.verdict)
        self._metrics.increment(f"router.failed.{error.code}")
        self._metrics.increment(f"router.gave_up.{reason.value}")
        self._trace(state.request, "failed", code=error.code, verdict=verdict, reason=reason.value)
        log_event(
            Event.REQUEST_FAILED,
            request_id=request_id,
            code=error.code,
            server_status=state.server_status,
            status=status,
            verdict=verdict,
            detail=str(error),
        )


__all__ = ["RequestDispatcher"]
