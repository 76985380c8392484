"""
Send counts of requests to the candidates of the duty, if not all routers are peers.

In a large fleet a router reports to some of the others only, so the candidates would lack the
counts of most routers. Each router then has a connection of its own to each candidate.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from boragetiller.clock import new_incarnation
from boragetiller.gateway.backend_connections import enable_keepalive
from boragetiller.gateway.peer_messages import PeerHello, PeerReport, encode_frame
from boragetiller.gateway.supervisor import run_supervised
from boragetiller.systems.report_peers import MAX_PEERS
from boragetiller.tables.usage import UsageCursor
from boragetiller.timeouts import wait_with_timeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragetiller.gateway.duties.usage_counter import UsageCounter
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.settings import Endpoint

UPDATE_INTERVAL_MS = 500  # until a new candidate gets the counts
SEND_INTERVAL_MS = 50  # between checks for changed counts; below LAST_REPORT_MS of the counter
KEEPALIVE_INTERVAL_MS = 1_000  # a third of the time after which the receiver disconnects
CONNECT_TIMEOUT_MS = 1_000
MAX_BUFFER_BYTES = 1_000_000  # of unsent data, after which a slow candidate is disconnected


class UsageLinks:
    """Connections to the candidates of the duty."""

    def __init__(
        self,
        name: str,
        counter: UsageCounter,
        list_routers: Callable[[], set[Endpoint]],
        list_candidates: Callable[[], tuple[str, ...]],
        metrics: GatewayMetrics,
    ) -> None:
        """
        Create the links; they are inactive until started.

        :param name: name of this router
        :param counter: counts of this router
        :param list_routers: returns the addresses of all other known routers
        :param list_candidates: returns the addresses of the candidates as texts
        :param metrics: counter of failures of tasks
        """
        self._name = name
        self._counter = counter
        self._list_routers = list_routers
        self._list_candidates = list_candidates
        self._metrics = metrics
        self._incarnation = new_incarnation()
        self._links: dict[Endpoint, asyncio.Task[None]] = {}
        self._update_task: asyncio.Task[None] | None = None

    async def start(self, own: Endpoint) -> None:
        """
        Start to follow the candidates.

        :param own: address of this router for other routers
        """
        self._update_task = asyncio.create_task(
            run_supervised("usage links", lambda: self._follow_candidates(own), self._metrics)
        )

    async def close(self) -> None:
        """Close all connections."""
        tasks = list(self._links.values())
        if self._update_task is not None:
            tasks.append(self._update_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_candidates(self, own: Endpoint) -> None:
        while True:
            self._update_links(own)
            await asyncio.sleep(UPDATE_INTERVAL_MS / 1_000)

    def _update_links(self, own: Endpoint) -> None:
        routers = self._list_routers()
        self._counter.has_links = len(routers) > MAX_PEERS
        candidates = self._list_candidates() if self._counter.has_links else ()
        wanted = {endpoint for endpoint in routers if str(endpoint) in candidates}
        for candidate in wanted - self._links.keys():
            self._links[candidate] = asyncio.create_task(
                run_supervised(
                    "usage link",
                    lambda candidate=candidate: self._report(own, candidate),  # type: ignore[misc]
                    self._metrics,
                )
            )
        for candidate in self._links.keys() - wanted:
            self._links.pop(candidate).cancel()

    async def _report(self, own: Endpoint, candidate: Endpoint) -> None:
        """Report to a candidate until the connection ends."""
        hello = PeerHello(
            name=self._name,
            incarnation=self._incarnation,
            address=own.address,
            port=own.port,
            usage_only=True,
        )
        with suppress(OSError, TimeoutError):
            _, writer = await wait_with_timeout(
                CONNECT_TIMEOUT_MS / 1_000,
                asyncio.open_connection(candidate.address, candidate.port),
            )
            try:
                enable_keepalive(writer.get_extra_info("socket"))
                writer.write(encode_frame(hello))
                await self._send_counts(writer)
            finally:
                writer.transport.abort()

    async def _send_counts(self, writer: asyncio.StreamWriter) -> None:
        cursor = UsageCursor()
        silent_ms = KEEPALIVE_INTERVAL_MS
        while not writer.transport.is_closing():
            entries = self._counter.build_entries(cursor)
            silent_ms += SEND_INTERVAL_MS
            if entries or silent_ms >= KEEPALIVE_INTERVAL_MS:
                silent_ms = 0
                report = PeerReport(config_revision=0, servers_revision=0, usage=entries)
                writer.write(encode_frame(report))
            if writer.transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
                return
            await asyncio.sleep(SEND_INTERVAL_MS / 1_000)


__all__ = ["UsageLinks"]
