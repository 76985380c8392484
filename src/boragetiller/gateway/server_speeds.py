"""Work times of backend servers: observations of this router and of its peers, and ranks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.systems.overload.server_speed import (
    MAX_WORK_PERCENT,
    MIN_WORK_PERCENT,
    OBSERVATION_TTL_MS,
    RANK_STEP,
    compute_rank_step,
    record_work_time,
)
from boragetiller.tables.recent_items import RecentItems
from boragetiller.tables.report_entries import ServerSpeedReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.clock import Clock
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.tables.server_table import ServerTable
    from boragetiller.tables.servers import BackendServer

MAX_REPORTED = 64  # entries in a report, the newest ones
MAX_RECENT = 256  # responses in the longest time between two reports
MAX_AGE_MS = (1 << 16) - 1  # largest age that a report can hold
RANK_INTERVAL_MS = 1_000  # bounds how often the servers of a large group are ranked again
MAX_LOGGED_CHANGES = 16  # lines in a RANK_INTERVAL_MS; the metric counts all changes
SLOW_WORK_TIME = 1.5  # lasting work time from which a server counts as slow in the metric


class ServerSpeeds:
    """Records and exchanges the work times that servers state in their responses."""

    def __init__(self, servers: ServerTable, metrics: GatewayMetrics, clock: Clock) -> None:
        """
        Start without observations.

        :param servers: the registered backend servers
        :param metrics: counter of lasting changes, gauge of slow servers
        :param clock: monotonic clock
        """
        self._servers = servers
        self._metrics = metrics
        self._clock = clock
        self._recent: RecentItems[tuple[str, float, int]] = RecentItems.with_capacity(MAX_RECENT)
        self._observed: dict[str, BackendServer] = {}  # by name, those with observations
        self._ranked_ms = clock.now_ms()

    @property
    def count(self) -> int:
        """:return: number of observations that this router ever made, for report cursors"""
        return self._recent.count

    def record_response(self, server: BackendServer, work_time: float) -> None:
        """
        Record the work time that a response states.

        :param server: the server that responded
        :param work_time: work time relative to the usual
        """
        now_ms = self._clock.now_ms()
        record_work_time(server.speed, work_time, now_ms, now_ms)
        if self._servers.by_name.get(server.name) is server:
            self._observed[server.name] = server
            self._servers.timed_groups.add(server.record.group)
            self._recent.add((server.name, work_time, now_ms))
        self.update_ranks()

    def list_reports(self, sent: int) -> tuple[ServerSpeedReport, ...]:
        """
        List this router's own observations for its peers.

        :param sent: value of `count` when they were last sent
        :return: the newest observation of each server, at most MAX_REPORTED
        """
        newest = {name: (work_time, at_ms) for name, work_time, at_ms in self._recent.since(sent)}
        newest_items = sorted(newest.items(), key=lambda item: -item[1][1])[:MAX_REPORTED]
        now_ms = self._clock.now_ms()
        return tuple(
            ServerSpeedReport(
                server=name,
                work_percent=round(100 * work_time),
                age_ms=min(MAX_AGE_MS, now_ms - at_ms),
            )
            for name, (work_time, at_ms) in newest_items
        )

    def apply_reports(self, peer: str, reports: Iterable[ServerSpeedReport]) -> None:
        """
        Apply the observations of a peer.

        Those of unknown servers, and of earlier incarnations, which a report does not tell apart
        by name, are ignored.

        :param peer: name of the peer
        :param reports: its observations
        """
        now_ms = self._clock.now_ms()
        for report in reports:
            server, observed_ms = self._servers.by_name.get(report.server), now_ms - report.age_ms
            if server is None or observed_ms < server.joined_ms:
                continue
            if MIN_WORK_PERCENT <= report.work_percent <= MAX_WORK_PERCENT:
                work_time = report.work_percent / 100
                record_work_time(server.speed, work_time, observed_ms, now_ms, peer)
                self._observed[server.name] = server
                self._servers.timed_groups.add(server.record.group)
        self.update_ranks()

    def update_ranks(self) -> None:
        """Rank the servers of a group again if the rounded work time of one has changed."""
        now_ms = self._clock.now_ms()
        if not self._observed or now_ms - self._ranked_ms < RANK_INTERVAL_MS:
            return
        self._ranked_ms = now_ms
        changed_groups, logged = set(), 0
        for name, server in list(self._observed.items()):
            if self._servers.by_name.get(name) is not server:
                del self._observed[name]
                continue
            step = compute_rank_step(server.speed, now_ms)
            if step != server.speed.rank_step:
                changed_groups.add(server.record.group)
                logged += 1
                self._record_change(server, step, now_ms, is_logged=logged <= MAX_LOGGED_CHANGES)
            if _get_age_ms(server, now_ms) >= OBSERVATION_TTL_MS:
                del self._observed[name]
        for group in changed_groups:
            self._servers.update_ranks(group)
        slow_count = sum(
            server.speed.rank_step * RANK_STEP >= SLOW_WORK_TIME
            for server in self._observed.values()
        )
        self._metrics.slow_servers.set(slow_count)

    def _record_change(
        self, server: BackendServer, step: int, now_ms: int, *, is_logged: bool
    ) -> None:
        before, server.speed.rank_step = server.speed.rank_step, step
        self._metrics.speed_changes.labels(server.record.group).inc()
        if is_logged:
            log_event(
                Event.SERVER_SPEED_CHANGED,
                server=server.name,
                work_time_before=before * RANK_STEP,
                work_time=step * RANK_STEP,
                age_ms=_get_age_ms(server, now_ms),
                source=server.speed.source,
            )


def _get_age_ms(server: BackendServer, now_ms: int) -> int:
    """:return: age of the newest observation of a server that has any"""
    return now_ms - (server.speed.newest_ms or 0)


__all__ = ["ServerSpeeds"]
