"""Take a call through placement, sends and repeats to its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.gateway.answers import EventSink, OwnAnswer, own_response, whole_response
from boragetiller.gateway.hedging import ServerResult, send_hedged
from boragetiller.gateway.sender import Sender, StreamState
from boragetiller.systems.direct_outcomes import (
    GiveUpReason,
    PassOn,
    Refuse,
    SendAgain,
    decide_next,
    note_send,
)
from boragetiller.systems.first_token import (
    PlacementRequest,
    choose_server,
    stream_sensitivity,
)
from boragetiller.systems.patience import hedge_after_ms
from boragetiller.systems.server_health import note_failure, note_success
from boragetiller.tables.attempts import CallProgress, SendEnd
from boragetiller.verdict import Verdict

if TYPE_CHECKING:
    from random import Random

    from aiohttp import web

    from boragetiller.clock import Clock
    from boragetiller.gateway.beliefs import Beliefs
    from boragetiller.gateway.call import Call
    from boragetiller.gateway.fleet import Fleet
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.ports import Dialect
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.systems.first_token import PlacementCosts
    from boragetiller.tables.attempts import SendResult
    from boragetiller.tables.servers import BackendServer

FULL_PAUSE_MS = 50  # a server that refused for lack of places gets nothing new for so long
RETRY_AFTER_S = (0.1, 0.4)  # spreads returns over the time in which places come free
FAILURES = frozenset(
    {
        SendEnd.UNREACHABLE,
        SendEnd.LOST,
        SendEnd.GARBLED,
        SendEnd.SERVER_ERROR,
        SendEnd.SILENT,
    }
)


class CallRunner:
    """Runs calls against the backend servers."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        beliefs: Beliefs,
        dialect: Dialect,
        costs: PlacementCosts,
        clock: Clock,
        metrics: GatewayMetrics,
        rng: Random,
    ) -> None:
        """
        Put the parts together.

        :param settings: settings of the process
        :param fleet: configuration and backend servers
        :param beliefs: told of prompts that were read
        :param dialect: words of the platform
        :param costs: figures of placement
        :param clock: monotonic time
        :param metrics: counters
        :param rng: seeded generator
        """
        self._settings = settings
        self._fleet = fleet
        self._dialect = dialect
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._costs = costs
        self._sender = Sender(fleet, beliefs, dialect, self._costs, clock)

    async def run(self, call: Call, request: web.BaseRequest) -> web.StreamResponse:
        """
        Serve a call.

        :param call: the call
        :param request: where the answer goes
        :return: the response
        """
        route = call.route
        progress = CallProgress(repeatable=route.repeatable, max_servers=route.max_attempts)
        stream = _new_stream(call, request) if route.streamed else None
        self._fleet.budget(call.group.name).note_request(self._clock.now_ms())
        tried: set[str] = set()
        while True:
            server = self._choose(call, tried)
            if server is None:
                end = Refuse(GiveUpReason.FULL, SendEnd.FULL, progress.verdict)
                return self._give_up(call, end, stream)
            for ended in await self._send(call, server, progress, stream, tried):
                server, result = ended.server, ended.result
                note_send(progress, server.name, result)
                self._note_health(call, server, result)
            step = self._decide(call, result, progress)
            match step:
                case PassOn(answer=answer):
                    self._log_answer(call, server, progress, stream, answer.status)
                    if stream is not None and stream.complete:
                        return await stream.sink.end(answer.status, answer.headers)
                    return whole_response(answer)
                case SendAgain(reason=reason):
                    self._log_repeat(call, server, result, reason)
                case Refuse():
                    self._log_failure(call, server, result, step)
                    return self._give_up(call, step, stream)

    async def _send(
        self,
        call: Call,
        server: BackendServer,
        progress: CallProgress,
        stream: StreamState | None,
        tried: set[str],
    ) -> list[ServerResult]:
        """Send to a server, or to a second one too; the result that counts comes last."""
        tried.add(server.name)
        if stream is not None or not call.route.repeatable:
            return [ServerResult(server, await self._sender.send(call, server, progress, stream))]

        def choose_second() -> BackendServer | None:
            return self._choose_hedge(call, progress, tried)

        return await send_hedged(
            server,
            lambda chosen: self._sender.send(call, chosen, progress, None),
            choose_second,
            hedge_after_ms(call.route.target_ms),
        )

    def _choose_hedge(
        self, call: Call, progress: CallProgress, tried: set[str]
    ) -> BackendServer | None:
        now_ms = self._clock.now_ms()
        budget = self._fleet.budget(call.group.name)
        if len(progress.ran_on) + 1 >= progress.max_servers or not budget.allows(now_ms):
            return None
        server = self._choose(call, tried)
        if server is not None:
            tried.add(server.name)
            budget.note_repeat(now_ms)
            self._metrics.repeats.labels("hedge").inc()
            log_event(Event.CALL_HEDGED, request_id=call.facts.request_id, server=server.name)
        return server

    def _choose(self, call: Call, tried: set[str]) -> BackendServer | None:
        servers = self._fleet.servers.accepting(call.group.name)
        servers = [server for server in servers if server.name not in tried]
        placed = PlacementRequest(
            prompt=call.facts.prompt if call.group.engine else None,
            tier=call.tier,
            target_ms=max(1.0, call.route.target_ms),
            sensitivity=stream_sensitivity(call.route.gap_target_ms),
            failure_domain=self._settings.failure_domain,
        )
        return choose_server(servers, placed, self._costs, self._clock.now_ms())

    def _decide(
        self, call: Call, result: SendResult, progress: CallProgress
    ) -> PassOn | SendAgain | Refuse:
        now_ms = self._clock.now_ms()
        budget = self._fleet.budget(call.group.name)
        step = decide_next(
            result,
            progress,
            call.time_left_ms(now_ms),
            call.route.target_ms,
            budget_left=budget.allows(now_ms),
        )
        if isinstance(step, SendAgain) and result.end is not SendEnd.UNREACHABLE:
            budget.note_repeat(now_ms)
        return step

    def _note_health(self, call: Call, server: BackendServer, result: SendResult) -> None:
        self._metrics.sends.labels(result.end.value).inc()
        now_ms = self._clock.now_ms()
        if result.end is SendEnd.FULL:
            server.full_until_ms = now_ms + FULL_PAUSE_MS
        if result.end is SendEnd.ANSWERED:
            note_success(server)
        elif result.end in FAILURES:
            group = self._fleet.servers.accepting(call.group.name)
            if note_failure(server, group, now_ms):
                self._metrics.ejected.labels(call.group.name).inc()
                log_event(Event.SERVER_EJECTED, server=server.name, end=result.end.value)

    def _give_up(self, call: Call, step: Refuse, stream: StreamState | None) -> web.StreamResponse:
        self._metrics.failed.labels(step.reason.value).inc()
        if stream is not None and stream.sink.started:
            return stream.sink.break_off()
        answer = self._own_answer(step)
        return own_response(answer, call.facts.request_id, self._dialect)

    def _own_answer(self, step: Refuse) -> OwnAnswer:
        if step.verdict is Verdict.NOT_RUN:
            retry_after_s = self._rng.uniform(*RETRY_AFTER_S)
            return OwnAnswer(status=503, code=step.reason.value, retry_after_s=retry_after_s)
        status = 504 if step.end is SendEnd.SILENT else 502
        return OwnAnswer(status=status, code=step.end.value)

    def _log_answer(
        self,
        call: Call,
        server: BackendServer,
        progress: CallProgress,
        stream: StreamState | None,
        status: int,
    ) -> None:
        elapsed_ms = self._clock.now_ms() - call.arrived_ms
        route = call.route.name
        self._metrics.answered.labels(route).inc()
        self._metrics.whole_s.labels(route).observe(elapsed_ms / 1_000)
        first_ms = elapsed_ms
        if stream is not None and stream.first_event_ms is not None:
            first_ms = stream.first_event_ms - call.arrived_ms
        self._metrics.first_event_s.labels(route).observe(first_ms / 1_000)
        log_event(
            Event.CALL_ANSWERED,
            request_id=call.facts.request_id,
            route=route,
            server=server.name,
            status=status,
            sends=progress.sends,
            first_event_ms=first_ms,
            elapsed_ms=elapsed_ms,
            config_version=call.config_version,
        )

    def _log_repeat(
        self, call: Call, server: BackendServer, result: SendResult, reason: SendEnd
    ) -> None:
        self._metrics.repeats.labels(reason.value).inc()
        log_event(
            Event.CALL_REPEATED,
            request_id=call.facts.request_id,
            server=server.name,
            end=result.end.value,
            detail=result.detail,
        )

    def _log_failure(
        self, call: Call, server: BackendServer, result: SendResult, step: Refuse
    ) -> None:
        log_event(
            Event.CALL_FAILED,
            request_id=call.facts.request_id,
            route=call.route.name,
            server=server.name,
            end=result.end.value,
            detail=result.detail,
            reason=step.reason.value,
            verdict=step.verdict.value,
            elapsed_ms=self._clock.now_ms() - call.arrived_ms,
            config_version=call.config_version,
        )


def _new_stream(call: Call, request: web.BaseRequest) -> StreamState:
    return StreamState(sink=EventSink(request), last_event_id=call.facts.last_event_id)


__all__ = ["CallRunner"]
