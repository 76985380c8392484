"""Polling of the platform's host list."""

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
    """Reads the host list at a fixed interval."""

    def __init__(
        self,
        settings: Settings,
        hosts: HostList,
        on_hosts: Callable[[list[Host]], None],
        metrics: Metrics,
    ) -> None:
        """
        Build the poller.

        :param settings: poll interval
        :param hosts: client of the platform's host list
        :param on_hosts: called with each list that was read
        :param metrics: counters
        """
        self._interval_s = settings.platform.host_list_interval_ms / 1_000
        self._hosts = hosts
        self._on_hosts = on_hosts
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the list once, then poll it in the background."""
        await self.poll()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def poll(self) -> None:
        """Read the list; if it is unavailable, the last list stays in use."""
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
