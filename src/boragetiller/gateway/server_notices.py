"""Notices of backend servers in their responses: a request limit, and that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.systems.server_limits import apply_limit

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.tables.server_limits import ServerLimitTable
    from boragetiller.tables.server_table import ServerTable
    from boragetiller.tables.servers import BackendServer


class ServerNotices:
    """Records notices of responses and of peers."""

    def __init__(self, servers: ServerTable, limits: ServerLimitTable, clock: Clock) -> None:
        """
        Create the recorder.

        :param servers: registered servers
        :param limits: request limits of servers
        :param clock: monotonic clock
        """
        self._servers = servers
        self._limits = limits
        self._clock = clock

    def record_limit(self, server: BackendServer, limit_per_s: float | None) -> None:
        """
        Record the request limit that a server named in a response.

        :param server: the server
        :param limit_per_s: requests per second from all routers together, None for no limit
        """
        now_ms = self._clock.now_ms()
        if apply_limit(self._limits, server.name, limit_per_s, now_ms, now_ms):
            self.log_limit(server.name, "response")

    def log_limit(self, server: str, source: str) -> None:
        """
        Log a limit that has changed, with this router's share of it.

        :param server: name of the server
        :param source: `response`, or the peer that reported it
        """
        limit = self._limits.by_server[server]
        log_event(
            Event.SERVER_LIMIT_CHANGED,
            server=server,
            limit_per_s=limit.limit_per_s,
            share_per_s=round(limit.share_per_s, 3),
            routers=len(self._limits.membership.members),
            source=source,
        )

    def record_leaving(self, name: str, started_ms: int, source: str) -> bool:
        """
        Record that an incarnation of a server has said in a response that it leaves.

        :param name: name of the server
        :param started_ms: wall-clock time of the start of the incarnation
        :param source: `response`, or the peer that reported it
        :return: whether it is news
        """
        is_new = self._servers.record_leaving(name, started_ms)
        if is_new:
            log_event(Event.SERVER_LEAVING, server=name, started_ms=started_ms, source=source)
        return is_new


__all__ = ["ServerNotices"]
