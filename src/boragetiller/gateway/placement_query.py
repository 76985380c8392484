"""Where this router would send a call now, without sending it."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.errors import BoragetillerError, Draining, NotReady, RequestTooLarge
from boragetiller.events import Event, log_event
from boragetiller.gateway.admitted_call import admit_call
from boragetiller.gateway.call_handler import NOT_READY_RETRY_AFTER_S, check_header_size
from boragetiller.gateway.call_state import CallState
from boragetiller.gateway.choice_refusals import Refusal
from boragetiller.gateway.retry_after import RetryAfter
from boragetiller.placement_queries import (
    MAX_LISTED_EXCLUSIONS,
    PlacementAnswer,
    PlacementCandidate,
    PlacementExclusion,
    QueryLimiter,
    describe_refusal,
    respond_to_query,
)
from boragetiller.systems.direct_retry_policy import GiveUpReason
from boragetiller.systems.overload.server_speed import current_work_time
from boragetiller.systems.overload.shared_part_copies import may_copy_part
from boragetiller.systems.peer_loads import silent_peers_excluded
from boragetiller.systems.routing import ROUTE_TIERS
from boragetiller.tables.direct_attempts import CallProgress

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.admitted_call import AdmittedCall
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.call_handler import CallHandler
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_choice import ServerChoice, ServerChooser
    from boragetiller.placement_queries import PlacementQuery
    from boragetiller.tables.server_placement import Placement
    from boragetiller.tables.servers import BackendServer

REFUSAL_STATUS = 503


class PlacementQueries:
    """Answers the queries of operators."""

    def __init__(
        self,
        name: str,
        key: str,
        registry: BackendRegistry,
        chooser: ServerChooser,
        call_handler: CallHandler,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        """
        Create the queries of one process.

        :param name: name of the process
        :param key: bearer key of the operators
        :param registry: backend servers and route configuration
        :param chooser: chooses the servers of calls
        :param call_handler: whether new calls are refused
        :param dialect: header names and data formats of the platform
        :param clock: monotonic clock
        """
        self._name = name
        self._expected = f"Bearer {key}".encode()
        self._registry = registry
        self._chooser = chooser
        self._call_handler = call_handler
        self._dialect = dialect
        self._clock = clock
        self._retry_after = RetryAfter(registry, clock)
        self._limiter = QueryLimiter()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """
        Respond to `POST /where`.

        :param request: the HTTP request
        :return: the answer, or an error with its code
        """
        # aiohttp decodes bytes that are not UTF-8 to lone surrogates
        received = request.headers.get("Authorization", "").encode(errors="surrogateescape")
        if not hmac.compare_digest(received, self._expected):
            return web.json_response({"code": "unauthorized"}, status=401)
        if request.method != "POST":
            return web.json_response({"code": "method_not_allowed"}, status=405)
        return await respond_to_query(request, self.answer, self._limiter, self._clock)

    def answer(self, query: PlacementQuery) -> PlacementAnswer:
        """
        Answer a query.

        :param query: the request in question
        :return: where it would go
        """
        try:
            call = self._admit(query)
        except BoragetillerError as error:
            answer = PlacementAnswer(router=self._name, **describe_refusal(error))
            if error.http_status == REFUSAL_STATUS:
                answer = attrs.evolve(answer, retry_after_s=NOT_READY_RETRY_AFTER_S)
        else:
            with silent_peers_excluded(self._registry.peer_loads, self._clock.now_ms()):
                answer = self._place(call)
        log_event(
            Event.PLACEMENT_QUERIED,
            route=answer.route,
            outcome=answer.outcome,
            server=answer.server,
        )
        return answer

    def _admit(self, query: PlacementQuery) -> AdmittedCall:
        config = self._registry.config
        if config is None:
            raise NotReady
        if self._call_handler.refusing:
            raise Draining
        metadata = self._dialect.parse_call_headers(query.headers)
        raw_headers = [(name.encode(), value.encode()) for name, value in query.headers.items()]
        check_header_size(query.path, raw_headers, config.limits)
        if len(query.body) > config.limits.max_body_bytes:
            raise RequestTooLarge
        now_ms = self._clock.now_ms()
        return admit_call(
            config, metadata, query.method, query.path, query.headers, query.body, now_ms
        )

    def _place(self, call: AdmittedCall) -> PlacementAnswer:
        now_ms = self._clock.now_ms()
        answer = PlacementAnswer(
            router=self._name,
            outcome="placed",
            route=call.route.name,
            group=call.group.name,
            tier=call.urgency // ROUTE_TIERS,
            customer=call.customer.name if call.customer else None,
            config_version=call.config_version,
            config_age_ms=now_ms - self._registry.config_applied_ms,
            oldest_report_ms=self._registry.peer_loads.oldest_report_ms(now_ms),
        )
        choice_state = self._chooser.state.copy()
        if self._retry_after.quarantine_left_ms(call):
            detail = "the request, or a part of its prompt, crashed the servers that ran it"
            refusal = Refusal(GiveUpReason.QUARANTINED, detail)
        else:
            self._chooser.record_arrival(call, choice_state)
            progress = CallProgress(
                repeatable=call.route.repeatable, max_servers=call.route.max_attempts
            )
            state = CallState(call=call, progress=progress, stream=None)
            choice = self._chooser.evaluate(state, choice_state)
            answer = self._describe_choice(answer, call, choice)
            if choice.placement is not None:
                return answer
            refusal = self._chooser.find_refusal(state)
        return attrs.evolve(
            answer,
            outcome="refused",
            code=refusal.reason.value,
            detail=refusal.detail,
            status=REFUSAL_STATUS,
            retry_after_s=round(
                self._retry_after.compute_s(
                    call, refusal.reason, choice_state, refusal.pause_left_ms
                ),
                3,
            ),
        )

    def _describe_choice(
        self, answer: PlacementAnswer, call: AdmittedCall, choice: ServerChoice
    ) -> PlacementAnswer:
        now_ms = self._clock.now_ms()
        best = choice.placement
        candidates = sorted(choice.compared.placements, key=lambda each: each.cost_ms)
        servers = self._registry.servers.by_name.values()
        reasons = {
            server.name: find_exclusion(server, choice, now_ms)
            for server in servers
            if server.record.group == call.group.name
        }
        excluded = [
            PlacementExclusion(server=name, reason=reason)
            for name, reason in reasons.items()
            if reason not in (None, NOT_SAMPLED)
        ]
        return attrs.evolve(
            answer,
            server=best.server.name if best is not None else None,
            candidates=tuple(
                _describe_candidate(each, choice, best, now_ms) for each in candidates
            ),
            excluded=tuple(excluded[:MAX_LISTED_EXCLUSIONS]),
            not_sampled=sum(reason == NOT_SAMPLED for reason in reasons.values()),
        )


NOT_SAMPLED = "not_sampled"


def find_exclusion(server: BackendServer, choice: ServerChoice, now_ms: int) -> str | None:
    """
    Find the step of a choice that left a server out.

    :param server: a server of the group
    :param choice: the choice
    :param now_ms: monotonic time in milliseconds
    :return: the reason, None if the server could have been chosen
    """
    if server.record.draining:
        return "draining"
    if server.name in choice.paused:
        return "paused"
    if server.name in choice.exhausted:
        return "limit_reached"
    if server not in choice.selected:
        return NOT_SAMPLED
    if server not in choice.candidates:
        return "failed_this_request"
    if server.full_until_ms > now_ms:
        return "full"
    placement = next((p for p in choice.compared.placements if p.server is server), None)
    if placement is None:
        return "ejected"
    if not may_copy_part(placement, choice.request.held_part):
        return "shared_part_elsewhere"
    if all(each.server is not server for each in choice.list_fitting()):
        return "no_room"
    return None


def _describe_candidate(
    placement: Placement, choice: ServerChoice, best: Placement | None, now_ms: int
) -> PlacementCandidate:
    server = placement.server
    observed_ms = server.speed.newest_ms
    return PlacementCandidate(
        server=server.name,
        failure_domain=server.record.failure_domain,
        chosen=best is not None and server is best.server,
        has_room=any(each is placement for each in choice.list_fitting()),
        cost_ms=round(placement.cost_ms, 1),
        first_event_ms=round(placement.first_event_ms, 1),
        in_flight=placement.in_flight,
        slots=server.record.slots,
        new_tokens=placement.new_tokens,
        prefill_share=round(placement.prefill_share, 3),
        sensitivity=round(placement.sensitivity, 2),
        work_time=round(current_work_time(server.speed, now_ms), 2),
        work_time_age_ms=None if observed_ms is None else now_ms - observed_ms,
        committed_tokens=server.memory.tokens
        + server.memory.shared_tokens
        + server.peer_load.committed_tokens,
        peers_heard=placement.reporting_peers,
        load_age_ms=server.reported_load_age_ms(now_ms),
    )


__all__ = ["PlacementQueries", "find_exclusion"]
