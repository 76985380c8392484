"""Operator routes of an agent: its status and the records it has loaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from boragetiller.cli.messages import AgentStatus, NodeStatus
from boragetiller.operator_api import add_record_status_route
from boragetiller.router.config_status import build_config_status

if TYPE_CHECKING:
    from boragetiller.agent.process import AgentProcess


def add_agent_routes(app: web.Application, agent: AgentProcess) -> None:
    """
    Add the agent's routes to an operator application.

    :param app: application of the operator port
    :param agent: the process whose status is shown
    """

    async def show_status(_request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(_build_node_status(agent)))

    app.router.add_get("/status", show_status)
    add_record_status_route(app, agent.sync, agent.config, agent.settings.name, agent.clock)


def _build_node_status(agent: AgentProcess) -> NodeStatus:
    settings = agent.settings
    return NodeStatus(
        name=settings.name,
        role=settings.role.value,
        failure_domain=settings.failure_domain,
        region=settings.region,
        draining=agent.server.draining,
        config=build_config_status(agent.sync, agent.config),
        agents=(_build_agent_status(agent),),
    )


def _build_agent_status(agent: AgentProcess) -> AgentStatus:
    assert agent.settings.backend is not None
    load = agent.state.build_load_report()
    return AgentStatus(
        name=agent.settings.name,
        group=agent.settings.backend.group,
        failure_domain=agent.settings.failure_domain,
        state="draining" if agent.server.draining else "live",
        in_flight=agent.server.in_progress,
        running=load.running,
        max_running=load.max_running,
        queued=load.queued,
        report_age_ms=0,
    )


__all__ = ["add_agent_routes"]
