"""Run one attempt: claim, wait for admission, send, relay."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING

from boragetiller.agent.claims import KeyedCall, StoredAnswer
from boragetiller.errors import BackendCrashed, BoragetillerError, Preempted, StaleAttempt
from boragetiller.relay.frames import Head
from boragetiller.tables.agent_work import WorkItem
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from boragetiller.agent.attempts import AttemptTable
    from boragetiller.agent.backend import BackendAnswer, BackendClient
    from boragetiller.agent.claims import ClaimKeeper
    from boragetiller.agent.gate import Gate, Ticket
    from boragetiller.agent.stream import FrameStream
    from boragetiller.agent.strike_gate import StrikeGate
    from boragetiller.clock import Clock
    from boragetiller.relay.attempt import Attempt
    from boragetiller.settings import Settings

TOKEN_EVENT = b"data: {"


class AttemptRunner:
    """Takes attempts through claim, admission and the backend server."""

    def __init__(
        self,
        settings: Settings,
        gate: Gate,
        backend: BackendClient,
        claims: ClaimKeeper,
        strikes: StrikeGate,
        attempts: AttemptTable,
        clock: Clock,
    ) -> None:
        """
        Put the parts together.

        :param settings: settings of the process
        :param gate: admission
        :param backend: client to the backend server
        :param claims: decides on keyed calls
        :param strikes: keeps bodies that crashed backend servers apart
        :param attempts: current attempts
        :param clock: monotonic time
        """
        self._settings = settings
        self._gate = gate
        self._backend = backend
        self._claims = claims
        self._strikes = strikes
        self._attempts = attempts
        self._clock = clock
        self._detached: set[asyncio.Task[StoredAnswer]] = set()

    @property
    def detached(self) -> int:
        """:return: keyed calls that run on although no stream waits for them"""
        return len(self._detached)

    async def run(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        """
        Run an attempt and write its answer, without the end marker.

        :param attempt: the attempt
        :param body: request body
        :param stream: where the answer goes
        :raises BoragetillerError: with code and verdict
        """
        self._attempts.begin(attempt.request_id, attempt.number)
        if attempt.key:
            await self._run_keyed(attempt, body, stream)
        else:
            await self._run_plain(attempt, body, stream)

    async def _run_plain(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        async with self._admitted(attempt) as ticket:
            await self._send(attempt, body, stream, ticket)

    async def _run_keyed(self, attempt: Attempt, body: bytes, stream: FrameStream) -> None:
        task = asyncio.create_task(self._run_claimed(attempt, body))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        task.add_done_callback(_consume_error)
        answer = await asyncio.shield(task)  # the caller's leaving must not end a booking
        await stream.head(Head(answer.status, answer.content_type, answer.headers))
        await stream.data(answer.body)

    async def _run_claimed(self, attempt: Attempt, body: bytes) -> StoredAnswer:
        call = _keyed_call(attempt)
        kept = await self._claims.claim(call)
        if kept is not None:
            return kept
        answer: StoredAnswer | None = None
        try:
            async with self._admitted(attempt) as ticket:
                answer = await self._collect(attempt, body, ticket)
        except BoragetillerError as error:
            if error.verdict is Verdict.NOT_RUN:
                await self._claims.abandon(call)
            raise
        finally:
            await self._claims.finish(call, answer)  # of no effect after abandon
        return answer

    @asynccontextmanager
    async def _admitted(self, attempt: Attempt) -> AsyncIterator[Ticket]:
        """Hold a slot of the backend server, apart from other struck bodies if need be."""
        body = attempt.fingerprint
        async with self._strikes.isolate(
            body,
            isolated=attempt.isolated,
            keyed=bool(attempt.key),
            struck=attempt.struck_servers(),
        ) as alone:
            ticket = await self._admit(attempt)
            sent_ms = self._clock.now_ms()
            try:
                self._strikes.check(body, isolated=alone)
                self._mark_sent(attempt)
                yield ticket
            except BackendCrashed:
                self._strikes.note_lost(body, sent_ms)
                raise
            finally:
                self._gate.leave(ticket)
            if alone:
                self._strikes.note_success(body)

    async def _collect(self, attempt: Attempt, body: bytes, ticket: Ticket) -> StoredAnswer:
        async with self._backend.send(attempt, body) as answer:
            parts = [chunk async for chunk in answer.chunks()]
            self._gate.note_tokens(ticket, len(parts))
            return StoredAnswer(
                status=answer.head.status,
                content_type=answer.head.content_type,
                body=b"".join(parts),
                headers=answer.head.headers,
            )

    async def _admit(self, attempt: Attempt) -> Ticket:
        ticket = self._gate.enter(_work_item(attempt, self._clock.now_ms()))
        try:
            await ticket.admitted
        except BaseException:
            self._gate.leave(ticket)
            raise
        return ticket

    async def _send(
        self, attempt: Attempt, body: bytes, stream: FrameStream, ticket: Ticket
    ) -> None:
        async with self._backend.send(attempt, body) as answer:
            await stream.head(answer.head)
            if attempt.resumable:
                await self._relay_preemptible(answer, stream, ticket)
            else:
                await self._relay(answer, stream, ticket)

    def _mark_sent(self, attempt: Attempt) -> None:
        if not self._attempts.is_current(attempt.request_id, attempt.number):
            raise StaleAttempt(verdict=Verdict.NOT_RUN)
        self._attempts.mark_sent(attempt.request_id)

    async def _relay(self, answer: BackendAnswer, stream: FrameStream, ticket: Ticket) -> None:
        async for chunk in answer.chunks():
            await stream.data(chunk)
            self._gate.note_tokens(ticket, chunk.count(TOKEN_EVENT))

    async def _relay_preemptible(
        self, answer: BackendAnswer, stream: FrameStream, ticket: Ticket
    ) -> None:
        relay = asyncio.ensure_future(self._relay(answer, stream, ticket))
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


def _consume_error(task: asyncio.Task[StoredAnswer]) -> None:
    if not task.cancelled():
        task.exception()


def _keyed_call(attempt: Attempt) -> KeyedCall:
    return KeyedCall(
        customer=attempt.customer,
        group=attempt.group,
        key=attempt.key,
        fingerprint=attempt.fingerprint,
        request_id=attempt.request_id,
        attempt=attempt.number,
        arrived_wall_ms=attempt.arrived_wall_ms or None,
    )


def _work_item(attempt: Attempt, now_ms: int) -> WorkItem:
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
