"""HTTP routes for operators of a router: status, records and the decisions of a request."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.cli.messages import AgentStatus, ExplainStep, Explanation, NodeStatus
from boragetiller.operator_api import add_record_status_route
from boragetiller.placement_queries import QueryLimiter, respond_to_query
from boragetiller.router.config_status import build_config_status
from boragetiller.router.placement_query import answer_query

if TYPE_CHECKING:
    from boragetiller.router.process import RouterProcess
    from boragetiller.tables.agents import AgentEntry


def add_router_routes(app: web.Application, router: RouterProcess) -> None:
    """
    Add the router's routes to the operator application.

    :param app: application of the operator port
    :param router: the process that the routes describe
    """

    async def show_status(_request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(_build_node_status(router)))

    async def explain(request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        trace = router.traces.get(request_id)
        if trace is None:
            return web.json_response({"code": "not_found"}, status=404)
        steps = tuple(
            ExplainStep(at_ms=step.at_ms, step=step.step, detail=step.detail)
            for step in trace.steps
        )
        explanation = Explanation(request_id=request_id, router=router.settings.name, steps=steps)
        return web.json_response(attrs.asdict(explanation))

    limiter = QueryLimiter()

    async def show_placement(request: web.Request) -> web.Response:
        return await respond_to_query(request, partial(answer_query, router), limiter, router.clock)

    app.router.add_post("/where", show_placement)
    app.router.add_get("/status", show_status)
    add_record_status_route(app, router.sync, router.config, router.settings.name, router.clock)
    app.router.add_get("/explain/{request_id}", explain)


def _build_node_status(router: RouterProcess) -> NodeStatus:
    entries = router.agents.entries
    return NodeStatus(
        name=router.settings.name,
        role=router.settings.role.value,
        failure_domain=router.settings.failure_domain,
        region=router.settings.region,
        draining=router.server.draining,
        config=build_config_status(router.sync, router.config),
        agents=tuple(_build_agent_status(entries[name], router) for name in sorted(entries)),
    )


def _build_agent_status(agent: AgentEntry, router: RouterProcess) -> AgentStatus:
    load = agent.load
    return AgentStatus(
        name=agent.name,
        group=agent.group,
        failure_domain=agent.failure_domain,
        state=_describe_state(agent),
        in_flight=agent.in_flight,
        running=load.running if load else 0,
        max_running=load.max_running if load else 0,
        queued=load.queued if load else (),
        report_age_ms=router.clock.now_ms() - load.received_ms if load else None,
    )


def _describe_state(agent: AgentEntry) -> str:
    if agent.leaving:
        return "leaving"
    if agent.draining:
        return "draining"
    return "suspected" if agent.suspected else "live"


__all__ = ["add_router_routes"]
