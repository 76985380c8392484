"""Fill the agent table from the host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.errors import StoreUnavailable
from boragetiller.platform.hosts import Host, HostState
from boragetiller.tables.agents import AgentEntry, AgentTable

if TYPE_CHECKING:
    from boragetiller.metrics import Metrics
    from boragetiller.platform.hosts import HostList
    from boragetiller.settings import Settings

AGENT_ROLE = "agent"


class Discovery:
    """Polls the host list."""

    def __init__(
        self, settings: Settings, hosts: HostList, agents: AgentTable, metrics: Metrics
    ) -> None:
        """
        Put the parts together.

        :param settings: poll interval
        :param hosts: the platform's list
        :param agents: table to fill
        :param metrics: counters
        """
        self._interval_s = settings.platform.host_list_interval_ms / 1_000
        self._hosts = hosts
        self._agents = agents
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the list once, then go on polling."""
        await self.poll()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def poll(self) -> None:
        """Read the list; an outage leaves the table as it is."""
        try:
            hosts = await self._hosts.hosts()
        except StoreUnavailable:
            self._metrics.increment("router.host_list.unavailable")
            return
        update_agents(self._agents, hosts)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self.poll()


def update_agents(agents: AgentTable, hosts: list[Host]) -> None:
    """
    Bring the agent table in line with the host list.

    :param agents: table to change
    :param hosts: every live and leaving host
    """
    listed = {host.name: host for host in hosts if host.role == AGENT_ROLE}
    for name in [name for name in agents.entries if name not in listed]:
        del agents.entries[name]
    for host in listed.values():
        entry = agents.entries.get(host.name)
        if entry is None or (entry.address, entry.data_port) != (host.address, host.data_port):
            entry = _new_entry(host)
            agents.entries[host.name] = entry
        entry.leaving = host.state is HostState.LEAVING


def _new_entry(host: Host) -> AgentEntry:
    return AgentEntry(
        name=host.name,
        group=host.group,
        address=host.address,
        data_port=host.data_port,
        control_port=host.control_port,
        failure_domain=host.failure_domain,
        region=host.region,
    )


__all__ = ["Discovery", "update_agents"]
