"""Where this router would send a request now, without sending it."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import BoragetillerError, Draining, NoBackend, NotFound, RequestTooLarge
from boragetiller.placement_queries import (
    MAX_LISTED_EXCLUSIONS,
    PlacementAnswer,
    PlacementCandidate,
    PlacementExclusion,
    describe_refusal,
)
from boragetiller.router.caller_headers import authenticate, parse_caller_headers
from boragetiller.router.frame_relay import RETRY_AFTER_S
from boragetiller.router.request import parse_engine_request, parse_service_request
from boragetiller.router.server import REQUEST_ID_BITS
from boragetiller.systems import rate_limits
from boragetiller.systems.agent_placement import estimate_first_token_ms

if TYPE_CHECKING:

    from boragetiller.placement_queries import PlacementQuery
    from boragetiller.router.process import RouterProcess
    from boragetiller.router.request import RoutedRequest
    from boragetiller.tables.agents import AgentEntry

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"


def answer_query(router: RouterProcess, query: PlacementQuery) -> PlacementAnswer:
    """
    Answer a query.

    :param router: the process
    :param query: the request in question
    :return: where it would go
    """
    answer = PlacementAnswer(router=router.settings.name, outcome="placed")
    rng = copy.deepcopy(router.rng)
    rng.getrandbits(REQUEST_ID_BITS)  # the request would get its ID first
    try:
        request = _route(router, query)
        answer = attrs.evolve(
            answer,
            route=request.request_class.name,
            group=request.group.name,
            tier=request.request_class.tier,
            customer=request.customer.name,
        )
        _check_limits(router, request)
        selector = router.agent_selector
        isolated = selector.quarantine.needs_isolation(request.fingerprint)
        agent = selector.find_agent(request, set(), isolated=isolated, rng=rng)
        answer = _describe_candidates(router, request, answer, agent)
        if agent is None:
            raise NoBackend(retry_after_s=RETRY_AFTER_S)
    except BoragetillerError as error:
        return attrs.evolve(answer, **describe_refusal(error))
    return attrs.evolve(answer, server=agent.name)


def _route(router: RouterProcess, query: PlacementQuery) -> RoutedRequest:
    if router.server.refusing:
        raise Draining(retry_after_s=1)
    customer = authenticate(query.headers, router.config)
    if len(query.body) > router.settings.limits.max_body_bytes:
        raise RequestTooLarge
    headers = parse_caller_headers(query.headers)
    path = query.path.partition("?")[0]
    if path in ENGINE_PATHS:
        return parse_engine_request("", path, headers, query.body, customer, router.config)
    if not path.startswith(SERVICE_PREFIX):
        raise NotFound(f"no route {path}")
    group, _, rest = query.path.removeprefix(SERVICE_PREFIX).partition("/")
    return parse_service_request(
        "", query.method, group, f"/{rest}", headers, query.body, customer, router.config
    )


def _check_limits(router: RouterProcess, request: RoutedRequest) -> None:
    """:raises RateLimited: the customer exceeds a limit now"""
    table = copy.deepcopy(router.limits.table)
    refusal = rate_limits.admit(
        table, request.customer, router.settings.placement, router.clock.now_ms()
    )
    if refusal is not None:
        raise refusal


def _describe_candidates(
    router: RouterProcess,
    request: RoutedRequest,
    answer: PlacementAnswer,
    chosen: AgentEntry | None,
) -> PlacementAnswer:
    agents = router.load_balancer.list_candidates(request)
    now_ms = router.clock.now_ms()
    excluded = {agent.name: _find_exclusion(agent, now_ms) for agent in agents}
    candidates = [
        _describe_candidate(router, request, agent, now_ms, is_chosen=agent is chosen)
        for agent in agents
        if excluded[agent.name] is None or agent is chosen
    ]
    left_out = [
        PlacementExclusion(server=name, reason=reason)
        for name, reason in excluded.items()
        if reason is not None
    ]
    return attrs.evolve(
        answer,
        candidates=tuple(sorted(candidates, key=lambda each: each.cost_ms)),
        excluded=tuple(left_out[:MAX_LISTED_EXCLUSIONS]),
    )


def _describe_candidate(
    router: RouterProcess,
    request: RoutedRequest,
    agent: AgentEntry,
    now_ms: int,
    *,
    is_chosen: bool,
) -> PlacementCandidate:
    placement_request = router.load_balancer.build_placement_request(request, set())
    settings = router.settings.placement
    first_ms = round(estimate_first_token_ms(agent, placement_request, settings, now_ms), 1)
    return PlacementCandidate(
        server=agent.name,
        failure_domain=agent.failure_domain,
        chosen=is_chosen,
        has_room=agent.accepts_work(),
        cost_ms=first_ms,
        first_event_ms=first_ms,
        in_flight=agent.in_flight,
        slots=agent.load.max_running if agent.load else 0,
        load_age_ms=now_ms - agent.load.received_ms if agent.load else None,
    )


def _find_exclusion(agent: AgentEntry, now_ms: int) -> str | None:
    if not agent.accepts_work():
        return "leaving" if agent.leaving else "draining" if agent.draining else "no_work_accepted"
    return "ejected" if agent.health.is_ejected(now_ms) else None


__all__ = ["answer_query"]
