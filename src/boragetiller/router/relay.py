"""Take one request through placement, attempts and retries to its answer."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING

import attrs

from boragetiller.clock import WallClock
from boragetiller.errors import BoragetillerError, NoBackend, NotOwner
from boragetiller.events import Event, log_event
from boragetiller.relay.attempt import Attempt
from boragetiller.relay.frames import Frame, FrameKind, parse_head
from boragetiller.router.answers import EngineTranscript, ResumePoint, continued_chunk, engine_body
from boragetiller.router.measures import StreamMeter, report_answer, report_failure
from boragetiller.systems.outcomes import (
    Answered,
    AttemptFailed,
    AttemptFinished,
    GiveUp,
    GiveUpReason,
    Outcome,
    RequestProgress,
    Retry,
    decide_next,
)
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from aiohttp import web

    from boragetiller.clock import Clock
    from boragetiller.metrics import Metrics
    from boragetiller.router.agent_client import AgentClient
    from boragetiller.router.placer import Placer
    from boragetiller.router.quarantine import Quarantine
    from boragetiller.router.request import RoutedRequest
    from boragetiller.router.shard_owners import ShardOwners
    from boragetiller.router.sinks import AnswerSink
    from boragetiller.router.traces import TraceTable
    from boragetiller.settings import Settings
    from boragetiller.tables.agents import AgentEntry


@attrs.define(kw_only=True)
class Journey:
    """One request on its way, over all its attempts."""

    request: RoutedRequest
    sink: AnswerSink
    transcript: EngineTranscript
    progress: RequestProgress
    arrived_ms: int
    arrived_wall_ms: int
    meter: StreamMeter
    tried: set[str] = attrs.Factory(set)


class Relay:
    """Runs requests against the agents."""

    def __init__(
        self,
        settings: Settings,
        placer: Placer,
        owners: ShardOwners,
        quarantine: Quarantine,
        client: AgentClient,
        traces: TraceTable,
        clock: Clock,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """
        Put the parts together.

        :param settings: settings of the process
        :param placer: chooses agents
        :param owners: which agent decides on which key
        :param quarantine: bodies that crashed backend servers
        :param client: sends attempts
        :param traces: decisions by request
        :param clock: monotonic time
        :param metrics: counters
        :param rng: seeded generator
        """
        self._settings = settings
        self._placer = placer
        self._owners = owners
        self._quarantine = quarantine
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
            step = decide_next(outcome, journey.progress, self._settings.placement, self._rng)
            match step:
                case Answered():
                    report_answer(self._metrics, request.request_class, journey.meter)
                    self._metrics.increment("router.answered")
                    self._note(request, "answered", attempts=journey.progress.attempts)
                    return await sink.end()
                case Retry():
                    await self._prepare_retry(journey, step)
                case GiveUp(error=error, reason=reason):
                    report_failure(self._metrics, request.request_class, journey.meter)
                    self._note_failure(request, error, reason)
                    return await sink.fail(error)

    def _begin(
        self, request: RoutedRequest, sink: AnswerSink, transcript: EngineTranscript
    ) -> Journey:
        progress = RequestProgress(
            repeatable=request.repeatable,
            keyed=bool(request.key),
            protected=request.request_class.protected,
            resumable=request.for_engine and request.repeatable,
            deadline_ms=request.request_class.deadline_ms,
            budget=self._placer.begin(request.group.name),
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

    async def _try_once(self, journey: Journey) -> Outcome:
        journey.progress.attempts += 1
        try:
            isolated = self._quarantine.needs_isolation(journey.request.fingerprint)
        except BoragetillerError as error:
            return AttemptFailed(error, journey.sink.relayed)
        agent = self._place(journey, isolated=isolated)
        if agent is None:
            return AttemptFailed(NoBackend(retry_after_s=1), journey.sink.relayed)
        resume = journey.transcript.resume_point() if journey.transcript.events else None
        attempt = attrs.evolve(self._attempt(journey, resume), isolated=isolated)
        if attempt.resumed_tokens:
            request_id = journey.request.request_id
            log_event(Event.REQUEST_RESUMED, request_id=request_id, agent=agent.name)
        self._note(journey.request, "placed", agent=agent.name, attempt=attempt.number)
        return await self._run_attempt(journey, agent, attempt, resume)

    async def _run_attempt(
        self, journey: Journey, agent: AgentEntry, attempt: Attempt, resume: ResumePoint | None
    ) -> Outcome:
        body = journey.request.fingerprint
        sent_ms = self._clock.now_ms()
        agent.begin(attempt.tier)
        self._quarantine.begin(body, agent.name)
        try:
            await self._relay_attempt(journey, agent, attempt, resume)
        except BoragetillerError as error:
            self._quarantine.note_error(body, agent.name, error, sent_ms)
            self._placer.note_failure(journey.request, agent, error)
            self._note_owner(journey, error)
            await self._settle_verdict(journey, agent, attempt, error)
            return AttemptFailed(error, journey.sink.relayed)
        finally:
            agent.end(attempt.tier)
            self._quarantine.end(body, agent.name)
        self._placer.note_success(agent)
        if attempt.isolated:
            self._quarantine.note_success(body)
        return AttemptFinished()

    def _place(self, journey: Journey, *, isolated: bool) -> AgentEntry | None:
        owner = self._owner(journey)
        if owner is not None:
            return owner
        request = journey.request
        agent = self._agent_for_copies(journey, isolated=isolated)
        agent = agent or self._placer.choose(request, journey.tried)
        if agent is not None:
            journey.tried.add(agent.name)
        return agent

    def _agent_for_copies(self, journey: Journey, *, isolated: bool) -> AgentEntry | None:
        """Keep copies of one body on one agent, so that it can crash few servers."""
        request = journey.request
        members = self._placer.candidates(request)
        body = request.fingerprint
        if isolated:
            key = request.prefix_hash or int(body[:16], 16)
            return self._quarantine.isolated_agent(body, key, members, journey.tried)
        name = self._quarantine.agent_in_use(body)
        usable = (a for a in members if a.name == name and a.accepts_work())
        return next((a for a in usable if a.name not in journey.tried), None)

    def _owner(self, journey: Journey) -> AgentEntry | None:
        request = journey.request
        if not request.key:
            return None
        name = self._owners.owner_of(
            request.group.name, request.group.shards, request.customer.name, request.key
        )
        return self._placer.find_owner(request, name) if name is not None else None

    def _note_owner(self, journey: Journey, error: BoragetillerError) -> None:
        request = journey.request
        if request.key and isinstance(error, NotOwner):
            self._owners.note_refusal(
                request.group.name,
                request.group.shards,
                request.customer.name,
                request.key,
                error.owner,
            )

    def _attempt(self, journey: Journey, resume: ResumePoint | None) -> Attempt:
        request = journey.request
        request_class = request.request_class
        elapsed_ms = self._clock.now_ms() - journey.arrived_ms
        return Attempt(
            request_id=request.request_id,
            number=journey.progress.attempts,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            customer=request.customer.name,
            class_name=request_class.name,
            group=request.group.name,
            tier=request_class.tier,
            protected=request_class.protected,
            repeatable=request.repeatable,
            resumable=journey.progress.resumable,
            customer_weight=request.customer.weight,
            class_weight=request_class.weight,
            prompt_tokens=request.prompt_tokens,
            first_token_target_ms=request_class.first_token_target_ms,
            between_tokens_target_ms=request_class.between_tokens_target_ms,
            deadline_in_ms=max(0, request_class.deadline_ms - elapsed_ms),
            fingerprint=request.fingerprint,
            key=request.key,
            resumed_tokens=resume.tokens if resume else 0,
            headers=request.headers,
            arrived_wall_ms=journey.arrived_wall_ms,
            struck=",".join(self._quarantine.struck_servers(request.fingerprint)),
        )

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
            await journey.sink.head(parse_head(frames[0].payload))
        if tokens_before:
            content = continued_chunk(content, tokens_before)
        if not content:
            return
        if journey.request.for_engine:
            journey.transcript.add(content)
            self._measure(journey, agent, content)
        await journey.sink.data(content)

    def _measure(self, journey: Journey, agent: AgentEntry, content: bytes) -> None:
        gap_ms = journey.meter.note(content, self._clock.now_ms())
        if gap_ms is not None:
            self._placer.note_gap(agent, gap_ms)

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

    async def _prepare_retry(self, journey: Journey, step: Retry) -> None:
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
        self, request: RoutedRequest, error: BoragetillerError, reason: GiveUpReason
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


__all__ = ["Journey", "Relay"]
