"""Choose the agents and routers to which a router keeps a control connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.platform_clients.hosts import HostState
from boragetiller.settings import Role
from boragetiller.systems.agent_subsets import HostLocation, choose_subset
from boragetiller.systems.control_peers import choose_control_peers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.platform_clients.hosts import Host
    from boragetiller.settings import Settings


def choose_control_connections(hosts: Iterable[Host], settings: Settings) -> set[str]:
    """
    Choose a subset of the agents of each group, and the router's peers.

    Agents that are leaving are chosen only in groups that have no other agents.

    :param hosts: hosts of the accepted host list
    :param settings: settings of this router
    :return: names of the chosen hosts
    """
    listed = list(hosts)
    routers = [host for host in listed if host.role == Role.ROUTER.value]
    groups: dict[str, list[Host]] = {}
    for host in listed:
        if host.role == Role.AGENT.value:
            groups.setdefault(host.group, []).append(host)
    chosen = choose_control_peers(settings.name, settings.region, routers)
    own = HostLocation(settings.name, settings.failure_domain, settings.region)
    router_locations = [_locate(host) for host in routers]
    for agents in groups.values():
        agent_locations = [_locate(host) for host in _exclude_leaving(agents)]
        chosen.update(choose_subset(own, router_locations, agent_locations, settings.placement))
    return chosen


def _exclude_leaving(agents: list[Host]) -> list[Host]:
    not_leaving = [host for host in agents if host.state is HostState.LIVE]
    return not_leaving or agents


def _locate(host: Host) -> HostLocation:
    return HostLocation(host.name, host.failure_domain, host.region)


__all__ = ["choose_control_connections"]
