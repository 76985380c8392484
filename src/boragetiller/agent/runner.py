"""Run an attempt: claim its key, wait for admission, send it, relay the response."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from boragetiller.agent.claims import KeyedCall, StoredResponse
from boragetiller.agent_protocol.frames import ResponseHead
from boragetiller.errors import BackendCrashed, BoragetillerError, Preempted, StaleAttempt
from boragetiller.tables.agent_work import WorkItem
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.agent.admission import AdmissionQueue, AdmissionTicket
    from boragetiller.agent.attempts import AttemptTable
    from boragetiller.agent.backend import BackendClient, BackendResponse
    from boragetiller.agent.claims import ClaimRegistry
    from boragetiller.agent.crash_isolation import CrashIsolation
    from boragetiller.agent.stream import FrameStream
    from boragetiller.agent_protocol.attempt import Attempt
    from boragetiller.clock import Clock
    from boragetiller.settings import Settings

TOKEN_EVENT_PREFIX = b"data: {"


class AttemptRunner:
    """Runs the attempts that routers send to this agent."""

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionQueue,
        backend: BackendClient,
        claims: ClaimRegistry,
        crash_isolation: CrashIsolation,
        attempts: AttemptTable,
        clock: Clock,
    ) -> None:
        """
        Create a runner from its components.

        :param settings: settings of the process
        :param admission: admission queue
        :param backend: client of the backend server
        :param claims: claims of idempotency keys
        :param crash_isolation: isolates bodies that crashed backend servers
        :param attempts: current attempts
        :param clock: monotonic time
        """
        self._settings = settings
        self._admission = admission
        self._backend = backend
        self._claims = claims
        self._crash_isolation = crash_isolation
        self._attempts = attempts
        self._clock = clock
        self._detached: set[asyncio.Task[StoredResponse]] = set()

    @property
    def detached(self) -> int:
        """:return: number of keyed calls that run, also after their streams ended"""
        return len(self._detached)

    async def run(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        """
        Run an attempt and write its response to a stream, without the end marker.

        :param attempt: the attempt
        :param body: request body
        :param stream: stream to the router
        :raises BoragetillerError: with code and verdict
        """
        self._attempts.begin(attempt.request_id, attempt.number)
        if attempt.key:
            await self._run_keyed(attempt, body, stream)
        else:
            await self._run_unkeyed(attempt, body, stream)

    async def _run_unkeyed(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        async with self._admitted(attempt) as ticket:
            await self._send(attempt, body, stream, ticket)

    async def _run_keyed(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        task = asyncio.create_task(self._run_claimed(attempt, body))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        task.add_done_callback(_consume_error)
        response = await asyncio.shield(task)  # a disconnected caller must not cancel a keyed call
        await stream.send_head(
            ResponseHead(response.status, response.content_type, response.headers)
        )
        await stream.send_data(response.body)

    async def _run_claimed(self, attempt: Attempt, body: bytes) -> StoredResponse:
        call = _build_keyed_call(attempt)
        stored = await self._claims.claim(call)
        if stored is not None:
            return stored
        response: StoredResponse | None = None
        try:
            async with self._admitted(attempt) as ticket:
                response = await self._read_response(attempt, body, ticket)
        except BoragetillerError as error:
            if error.verdict is Verdict.NOT_RUN:
                await self._claims.abandon(call)
            raise
        finally:
            await self._claims.finish(call, response)  # has no effect after abandon
        return response

    @asynccontextmanager
    async def _admitted(self, attempt: Attempt) -> AsyncIterator[AdmissionTicket]:
        """Hold a slot of the backend server, and the isolation lock if the body needs it."""
        body = attempt.fingerprint
        async with self._crash_isolation.isolate(
            body,
            isolated=attempt.isolated,
            keyed=bool(attempt.key),
            crashed_servers=attempt.crashed_servers(),
        ) as in_isolation:
            ticket = await self._admit(attempt)
            sent_ms = self._clock.now_ms()
            try:
                self._crash_isolation.check(body, isolated=in_isolation)
                self._mark_sent(attempt)
                yield ticket
            except BackendCrashed:
                self._crash_isolation.record_crash(body, sent_ms)
                raise
            finally:
                self._admission.finish(ticket)
            if in_isolation:
                self._crash_isolation.record_success(body)

    async def _read_response(
        self, attempt: Attempt, body: bytes, ticket: AdmissionTicket
    ) -> StoredResponse:
        async with self._backend.send(attempt, body) as response:
            parts = [chunk async for chunk in response.iter_chunks()]
            self._admission.record_tokens(ticket, len(parts))
            return StoredResponse(
                status=response.head.status,
                content_type=response.head.content_type,
                body=b"".join(parts),
                headers=response.head.headers,
            )

    async def _admit(self, attempt: Attempt) -> AdmissionTicket:
        ticket = self._admission.submit(_build_work_item(attempt, self._clock.now_ms()))
        try:
            await ticket.admitted
        except BaseException:
            self._admission.finish(ticket)
            raise
        return ticket

    async def _send(
        self, attempt: Attempt, body: bytes, stream: FrameStream, ticket: AdmissionTicket
    ) -> None:
        async with self._backend.send(attempt, body) as response:
            await stream.send_head(response.head)
            if attempt.resumable:
                await self._relay_preemptible(response, stream, ticket)
            else:
                await self._relay(response, stream, ticket)

    def _mark_sent(self, attempt: Attempt) -> None:
        if not self._attempts.is_current(attempt.request_id, attempt.number):
            raise StaleAttempt(verdict=Verdict.NOT_RUN)
        self._attempts.mark_sent(attempt.request_id)

    async def _relay(
        self, response: BackendResponse, stream: FrameStream, ticket: AdmissionTicket
    ) -> None:
        async for chunk in response.iter_chunks():
            self._admission.record_tokens(ticket, chunk.count(TOKEN_EVENT_PREFIX))
            await stream.send_data(chunk)
            self._admission.record_taken(ticket)

    async def _relay_preemptible(
        self, response: BackendResponse, stream: FrameStream, ticket: AdmissionTicket
    ) -> None:
        relay = asyncio.ensure_future(self._relay(response, stream, ticket))
        preempt = asyncio.ensure_future(ticket.preempted.wait())
        try:
            await asyncio.wait({relay, preempt}, return_when=asyncio.FIRST_COMPLETED)
            if not relay.done():
                raise Preempted
            await relay
        finally:
            preempt.cancel()
            relay.cancel()
            with suppress(asyncio.CancelledError, BoragetillerError, OSError):
                await relay


def _consume_error(task: asyncio.Task[StoredResponse]) -> None:
    if not task.cancelled():
        task.exception()


def _build_keyed_call(attempt: Attempt) -> KeyedCall:
    return KeyedCall(
        customer=attempt.customer,
        group=attempt.group,
        key=attempt.key,
        fingerprint=attempt.fingerprint,
        request_id=attempt.request_id,
        attempt=attempt.number,
        arrived_wall_ms=attempt.arrived_wall_ms or None,
    )


def _build_work_item(attempt: Attempt, now_ms: int) -> WorkItem:
    return WorkItem(
        request_id=f"{attempt.request_id}#{attempt.number}",
        attempt=attempt.number,
        customer=attempt.customer,
        class_name=attempt.class_name,
        tier=attempt.tier,
        protected=attempt.protected,
        preemptible=attempt.resumable,
        customer_weight=attempt.customer_weight,
        class_weight=attempt.class_weight,
        prompt_tokens=attempt.prompt_tokens,
        resumed_tokens=attempt.resumed_tokens,
        first_token_target_ms=attempt.first_token_target_ms,
        between_tokens_target_ms=attempt.between_tokens_target_ms,
        fingerprint=attempt.fingerprint,
        arrived_ms=now_ms,
        deadline_ms=now_ms + attempt.deadline_in_ms,
    )


__all__ = ["AttemptRunner"]
