"""Carry out one send of a call to one backend server."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.answers import EventSink
from boragetiller.gateway.event_stream import EventSplitter
from boragetiller.gateway.server_client import BROKEN, NEVER_SENT, OutgoingCall
from boragetiller.systems.first_token import stream_sensitivity, uncached_tokens
from boragetiller.systems.patience import stream_patience
from boragetiller.tables.attempts import SendEnd, SendResult, WholeAnswer
from boragetiller.tables.calls import ForwardFacts
from boragetiller.tables.servers import PendingPrompt

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragetiller.clock import Clock
    from boragetiller.gateway.beliefs import Beliefs
    from boragetiller.gateway.call import Call
    from boragetiller.gateway.fleet import Fleet
    from boragetiller.gateway.ports import Dialect
    from boragetiller.gateway.server_client import ServerAnswer
    from boragetiller.systems.first_token import Placement, PlacementCosts
    from boragetiller.tables.attempts import CallProgress
    from boragetiller.tables.calls import AnswerFacts
    from boragetiller.tables.servers import BackendServer

SUCCESS = range(200, 300)
FIRST_SERVER_ERROR = 500


@attrs.define(kw_only=True)
class StreamState:
    """What the caller has of a stream."""

    sink: EventSink
    last_event_id: str | None
    first_event_ms: int | None = None  # monotonic time
    last_event_ms: int = 0  # monotonic time
    longest_pause_ms: int = 0  # between two events
    status: int = 0
    complete: bool = False

    def note_event(self, now_ms: int) -> None:
        """
        Note that an event has come.

        :param now_ms: monotonic time in milliseconds
        """
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms


@attrs.frozen(kw_only=True)
class SilenceLimit:
    """Ends a send whose stream is silent for too long."""

    timer: asyncio.Timeout
    between_events_s: float | None  # None for no limit

    def note_event(self) -> None:
        """Start the time anew."""
        if self.between_events_s is not None:
            self.timer.reschedule(asyncio.get_running_loop().time() + self.between_events_s)


class Sender:
    """Sends calls and keeps account of what is under way where."""

    def __init__(
        self,
        fleet: Fleet,
        beliefs: Beliefs,
        dialect: Dialect,
        costs: PlacementCosts,
        clock: Clock,
    ) -> None:
        """
        Put the parts together.

        :param fleet: backend servers and their clients
        :param beliefs: told of prompts that were read
        :param dialect: words of the platform
        :param costs: figures of placement
        :param clock: monotonic time
        """
        self._fleet = fleet
        self._beliefs = beliefs
        self._costs = costs
        self._dialect = dialect
        self._clock = clock

    async def send(
        self,
        call: Call,
        placement: Placement,
        progress: CallProgress,
        stream: StreamState | None,
    ) -> SendResult:
        """
        Send a call and read its answer to the end.

        :param call: the call
        :param placement: where to, and what is expected there
        :param progress: the call so far; relayed events are counted in it
        :param stream: what the caller has of the stream, None for a whole answer
        :return: how the send ended
        """
        left_ms = call.time_left_ms(self._clock.now_ms())
        silence = self._silence_limit(call, placement)
        with self._accounted(call, placement.server):
            try:
                async with asyncio.timeout(left_ms / 1_000), silence.timer:
                    return await self._exchange(call, placement.server, progress, stream, silence)
            except TimeoutError:
                if silence.timer.expired():
                    return SendResult(SendEnd.SILENT, detail="no event in time")
                return SendResult(SendEnd.SILENT, detail="no whole answer in time")

    def _silence_limit(self, call: Call, placement: Placement) -> SilenceLimit:
        """Only streams that may go on elsewhere are not waited for until their deadline."""
        if not (call.route.streamed and call.route.resumable):
            return SilenceLimit(timer=asyncio.timeout(None), between_events_s=None)
        patience = stream_patience(
            call.route.target_ms, call.route.gap_target_ms, placement.first_event_ms
        )
        return SilenceLimit(
            timer=asyncio.timeout(patience.first_event_ms / 1_000),
            between_events_s=patience.between_events_ms / 1_000,
        )

    async def _exchange(
        self,
        call: Call,
        server: BackendServer,
        progress: CallProgress,
        stream: StreamState | None,
        silence: SilenceLimit,
    ) -> SendResult:
        outgoing = self._outgoing(call, server, stream)
        try:
            answer = await self._fleet.client(server).send(outgoing)
        except NEVER_SENT as error:
            return SendResult(SendEnd.UNREACHABLE, detail=repr(error))
        except BROKEN as error:
            return SendResult(SendEnd.LOST, detail=repr(error))
        try:
            return await self._read(call, server, answer, progress, stream, silence)
        except BROKEN as error:
            return SendResult(SendEnd.LOST, detail=repr(error))
        finally:
            answer.close()

    def _outgoing(
        self, call: Call, server: BackendServer, stream: StreamState | None
    ) -> OutgoingCall:
        facts = ForwardFacts(
            server_name=server.name,
            deadline_ms=call.deadline_left_ms(self._clock.now_ms()),
            customer=call.customer.name if call.customer else None,
            tier=call.tier if call.group.engine else None,
            last_event_id=stream.last_event_id if stream else call.facts.last_event_id,
        )
        headers = self._dialect.forward_headers(call.headers, facts)
        return OutgoingCall(
            method=call.method, raw_path=call.raw_path, headers=headers, body=call.body
        )

    async def _read(
        self,
        call: Call,
        server: BackendServer,
        answer: ServerAnswer,
        progress: CallProgress,
        stream: StreamState | None,
        silence: SilenceLimit,
    ) -> SendResult:
        facts = answer.facts
        if facts.not_run:
            end = SendEnd.MISDIRECTED if facts.status == 421 else SendEnd.FULL
            return SendResult(end, detail=f"status {facts.status}")
        if facts.encoded or (facts.status in SUCCESS and not facts.sealed):
            return SendResult(SendEnd.GARBLED, detail=f"status {facts.status}, no receipt")
        if stream is not None and stream.sink.started and facts.status not in SUCCESS:
            return SendResult(SendEnd.LOST, detail=f"status {facts.status} to a resumed stream")
        if stream is not None and facts.status in SUCCESS:
            return await self._relay(call, server, answer, progress, stream, silence)
        body = await answer.read()
        return _whole_result(facts, self._whole(answer, body))

    async def _relay(
        self,
        call: Call,
        server: BackendServer,
        answer: ServerAnswer,
        progress: CallProgress,
        stream: StreamState,
        silence: SilenceLimit,
    ) -> SendResult:
        splitter = EventSplitter(stream.last_event_id)
        headers = self._dialect.answer_headers(answer.headers)
        async for chunk in answer.chunks():
            events = splitter.feed(chunk)
            if not events.count:
                continue
            silence.note_event()
            stream.note_event(self._clock.now_ms())
            server.pending.pop(call.facts.request_id, None)
            await stream.sink.write(answer.facts.status, headers, events.data)
            progress.relayed_events += events.count
            stream.last_event_id = events.last_id
        if splitter.has_rest:
            return SendResult(SendEnd.GARBLED, detail="the stream ended inside an event")
        stream.status = answer.facts.status
        stream.complete = True
        return SendResult(SendEnd.ANSWERED, self._whole(answer, b""))

    def _whole(self, answer: ServerAnswer, body: bytes) -> WholeAnswer:
        headers = self._dialect.answer_headers(answer.headers)
        return WholeAnswer(status=answer.facts.status, headers=headers, body=body)

    @contextmanager
    def _accounted(self, call: Call, server: BackendServer) -> Iterator[None]:
        request_id, prompt = call.facts.request_id, call.facts.prompt
        sensitivity = stream_sensitivity(call.route.gap_target_ms)
        server.in_flight += 1
        server.sensitivity += sensitivity
        if prompt is not None:
            tokens = int(uncached_tokens(server, prompt, self._costs))
            server.pending[request_id] = PendingPrompt(tokens, call.tier, self._clock.now_ms())
            if call.group.engine is not None:
                self._beliefs.note_prompt(server, prompt, call.group.engine)
        try:
            yield
        finally:
            server.in_flight -= 1
            server.sensitivity -= sensitivity
            server.pending.pop(request_id, None)


def _whole_result(facts: AnswerFacts, answer: WholeAnswer) -> SendResult:
    if facts.status < FIRST_SERVER_ERROR:
        return SendResult(SendEnd.ANSWERED, answer)
    if facts.sealed:
        return SendResult(SendEnd.SERVER_ERROR, answer)
    return SendResult(SendEnd.GARBLED, detail=f"status {facts.status} without a receipt")


__all__ = ["Sender", "StreamState"]
