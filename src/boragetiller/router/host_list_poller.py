"""Read the host list at intervals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.errors import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.metrics import Metrics
    from boragetiller.platform_clients.hosts import Host, HostList
    from boragetiller.settings import Settings


class HostListPoller:
    """Polls the host list."""

    def __init__(
        self,
        settings: Settings,
        hosts: HostList,
        on_hosts: Callable[[list[Host]], None],
        metrics: Metrics,
    ) -> None:
        """
        Put the parts together.

        :param settings: poll interval
        :param hosts: the platform's list
        :param on_hosts: called with each reading
        :param metrics: counters
        """
        self._interval_s = settings.platform.host_list_interval_ms / 1_000
        self._hosts = hosts
        self._on_hosts = on_hosts
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
        """Read the list; an outage changes nothing."""
        try:
            hosts = await self._hosts.list_hosts()
        except StoreUnavailable:
            self._metrics.increment("router.host_list.unavailable")
            return
        self._on_hosts(hosts)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self.poll()


__all__ = ["HostListPoller"]
