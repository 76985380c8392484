"""Take one request through placement, attempts and retries to its answer."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

from boragetiller.agent_protocol.frames import Frame, FrameKind, Head, parse_head
from boragetiller.clock import WallClock
from boragetiller.errors import BackendFailed, BoragetillerError, NoBackend, Preempted
from boragetiller.events import Event, log_event
from boragetiller.router.engine_protocol import (
    EngineTranscript,
    ResumePoint,
    continued_chunk,
    engine_body,
)
from boragetiller.router.request_state import Journey, build_attempt
from boragetiller.router.response_writers import EVENT_STREAM
from boragetiller.router.stream_metrics import StreamMeter, report_answer, report_failure
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
    from boragetiller.router.agent_selector import AgentChoice
    from boragetiller.router.request import RoutedRequest
    from boragetiller.router.response_writers import AnswerSink
    from boragetiller.router.traces import TraceTable
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentEntry


class Relay:
    """Runs requests against the agents."""

    def __init__(
        self,
        settings: Settings,
        choice: AgentChoice,
        client: AgentClient,
        traces: TraceTable,
        clock: Clock,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """
        Put the parts together.

        :param settings: settings of the process
        :param choice: chooses agents
        :param client: sends attempts
        :param traces: decisions by request
        :param clock: monotonic time
        :param metrics: counters
        :param rng: seeded generator
        """
        self._settings = settings
        self._choice = choice
        self._wall = WallClock()
        self._client = client
        self._traces = traces
        self._clock = clock
        self._metrics = metrics
        self._rng = rng

    async def run(
        self, request: RoutedRequest, sink: AnswerSink, transcript: EngineTranscript
    ) -> web.StreamResponse:
        """
        Serve a request.

        :param request: the request
        :param sink: where the answer goes
        :param transcript: events of an engine request
        :return: the caller's response
        """
        journey = self._begin(request, sink, transcript)
        while True:
            outcome = await self._try_once(journey)
            journey.progress.elapsed_ms = self._clock.now_ms() - journey.arrived_ms
            step = decide_next_step(outcome, journey.progress, self._settings.placement, self._rng)
            match step:
                case FinishRequest():
                    report_answer(self._metrics, request.request_class, journey.meter)
                    self._metrics.increment("router.answered")
                    self._note(request, "answered", attempts=journey.progress.attempts)
                    return await sink.end()
                case RetryRequest():
                    await self._prepare_retry(journey, step)
                case FailRequest(error=error, reason=reason):
                    report_failure(self._metrics, request.request_class, journey.meter)
                    self._note_failure(request, error, reason)
                    return await sink.fail(error)

    def _begin(
        self, request: RoutedRequest, sink: AnswerSink, transcript: EngineTranscript
    ) -> Journey:
        progress = RequestProgress(
            repeatable=request.repeatable,
            has_idempotency_key=bool(request.key),
            protected=request.request_class.protected,
            resumable=request.for_engine and request.repeatable,
            deadline_ms=request.request_class.deadline_ms,
            budget=self._choice.placer.begin(request.group.name),
        )
        now_ms = self._clock.now_ms()
        return Journey(
            request=request,
            sink=sink,
            transcript=transcript,
            progress=progress,
            arrived_ms=now_ms,
            arrived_wall_ms=self._wall.now_ms(),
            meter=StreamMeter(arrived_ms=now_ms),
        )

    async def _try_once(self, journey: Journey) -> AttemptOutcome:
        journey.progress.attempts += 1
        request = journey.request
        try:
            isolated = self._choice.quarantine.needs_isolation(request.fingerprint)
        except BoragetillerError as error:
            return AttemptFailed(error, journey.sink.relayed)
        agent = self._choice.choose(journey, isolated=isolated)
        if agent is None:
            return AttemptFailed(NoBackend(retry_after_s=1), journey.sink.relayed)
        resume = journey.transcript.resume_point() if journey.transcript.events else None
        struck = self._choice.quarantine.struck_servers(request.fingerprint)
        attempt = build_attempt(journey, resume, struck, isolated=isolated)
        if attempt.resumed_tokens:
            log_event(Event.REQUEST_RESUMED, request_id=request.request_id, agent=agent.name)
        self._note(request, "placed", agent=agent.name, attempt=attempt.number)
        return await self._run_attempt(journey, agent, attempt, resume)

    async def _run_attempt(
        self, journey: Journey, agent: AgentEntry, attempt: Attempt, resume: ResumePoint | None
    ) -> AttemptOutcome:
        sent_ms = self._clock.now_ms()
        self._choice.begin(agent, attempt)
        try:
            await self._relay_attempt(journey, agent, attempt, resume)
        except BoragetillerError as error:
            self._choice.note_failure(journey, agent, error, sent_ms)
            await self._settle_verdict(journey, agent, attempt, error)
            return AttemptFailed(error, journey.sink.relayed)
        finally:
            self._choice.end(agent, attempt)
        self._choice.note_success(agent, attempt)
        return AttemptSucceeded()

    async def _relay_attempt(
        self, journey: Journey, agent: AgentEntry, attempt: Attempt, resume: ResumePoint | None
    ) -> None:
        request = journey.request
        body = request.body
        if request.fields is not None:
            body = engine_body(request.fields, attempt.tier, resume)
        journey.meter.begin_attempt()
        async with aclosing(self._client.send(agent, attempt, body)) as answer:
            async for frames in answer:
                await self._relay_frames(journey, agent, frames, attempt.resumed_tokens)

    async def _relay_frames(
        self, journey: Journey, agent: AgentEntry, frames: list[Frame], tokens_before: int
    ) -> None:
        content = b"".join(frame.payload for frame in frames if frame.kind is FrameKind.DATA)
        if frames[0].kind is FrameKind.HEAD:
            await self._relay_head(journey, parse_head(frames[0].payload))
        if tokens_before:
            content = continued_chunk(content, tokens_before)
        if not content:
            return
        if journey.request.for_engine:
            journey.transcript.add(content)
            self._measure(journey, agent, content)
        await journey.sink.data(content)

    async def _relay_head(self, journey: Journey, head: Head) -> None:
        if journey.sink.relayed and not head.content_type.startswith(EVENT_STREAM):
            raise BackendFailed(f"the engine answered {head.status} to a resumed stream")
        await journey.sink.head(head)

    def _measure(self, journey: Journey, agent: AgentEntry, content: bytes) -> None:
        gap_ms = journey.meter.note(content, self._clock.now_ms())
        if gap_ms is not None:
            self._choice.placer.note_gap(agent, gap_ms)

    async def _settle_verdict(
        self, journey: Journey, agent: AgentEntry, attempt: Attempt, error: BoragetillerError
    ) -> None:
        self._note(
            journey.request,
            "attempt failed",
            agent=agent.name,
            code=error.code,
            verdict=error.verdict.value,
        )
        settled = error.verdict is not Verdict.MAY_HAVE_RUN or attempt.key or attempt.repeatable
        if not settled and error.code in ("agent_lost", "backend_timeout"):
            error.verdict = await self._client.withdraw(agent, attempt)

    async def _prepare_retry(self, journey: Journey, step: RetryRequest) -> None:
        if step.reason == Preempted.code:
            journey.tried.clear()  # the agent did not fail
        self._metrics.increment(f"router.retry.{step.reason}")
        self._note(journey.request, "retry", reason=step.reason, delay_ms=step.delay_ms)
        log_event(
            Event.REQUEST_RETRIED,
            request_id=journey.request.request_id,
            reason=step.reason,
            attempt=journey.progress.attempts,
        )
        await asyncio.sleep(step.delay_ms / 1_000)

    def _note(self, request: RoutedRequest, step: str, **details: object) -> None:
        self._traces.add(request.request_id, step, **details)

    def _note_failure(
        self, request: RoutedRequest, error: BoragetillerError, reason: NoRetryReason
    ) -> None:
        self._metrics.increment(f"router.failed.{error.code}")
        self._metrics.increment(f"router.gave_up.{reason.value}")
        verdict = error.verdict.value
        self._note(request, "failed", code=error.code, verdict=verdict, reason=reason.value)
        log_event(
            Event.REQUEST_FAILED,
            request_id=request.request_id,
            code=error.code,
            verdict=error.verdict.value,
        )


__all__ = ["Relay"]
