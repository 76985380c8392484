"""State that a router reports to its peers, and the application of theirs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.config_transfer.exchange import ConfigExchange
from boragetiller.gateway.failure_reports import apply_failures
from boragetiller.gateway.load_reports import apply_loads, list_changed_loads
from boragetiller.gateway.peer_messages import PeerReport
from boragetiller.gateway.prompt_reports import PromptReports
from boragetiller.gateway.report_cursor import ReportCursor
from boragetiller.gateway.server_speeds import ServerSpeeds
from boragetiller.gateway.store_revisions import StoreRevisions, is_newer
from boragetiller.store_eras import get_era
from boragetiller.systems.failure_history import list_crashes
from boragetiller.systems.part_quarantine import list_reports
from boragetiller.systems.peer_loads import record_report, remove_peer
from boragetiller.systems.server_limits import apply_report as apply_limit_report
from boragetiller.systems.server_limits import list_limits, set_members
from boragetiller.systems.store_polling import StorePollSchedule
from boragetiller.systems.watcher_election import WatcherElection

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.duties.usage_counter import UsageCounter
    from boragetiller.gateway.latency_exchange import LatencyExchange
    from boragetiller.gateway.settings import Endpoint
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer
    from boragetiller.tables.store_view import StoredItem


class StateSync:
    """Builds this router's reports and applies the reports and store entries of its peers."""

    def __init__(
        self, name: str, registry: BackendRegistry, costs: PlacementCostModel, clock: Clock
    ) -> None:
        """
        Start without any peer.

        :param name: name of this process
        :param registry: backend servers and route configuration
        :param costs: default figures of the placement cost model
        :param clock: monotonic clock
        """
        self.peer_names: dict[Endpoint, str] = {}
        self.store_polls = StorePollSchedule()
        self.watcher_election = WatcherElection(name, registry.drain_ms)
        self.reporting_share = 1.0  # see systems.report_peers
        self.usage: UsageCounter | None = None  # None if usage is not reported
        self.speeds = ServerSpeeds(registry.servers, registry.metrics, clock)
        self.report_due = asyncio.Event()  # set by what peers must know before the next interval
        self.latencies: LatencyExchange | None = None  # None if hedging is not configured
        self.config = ConfigExchange(registry, clock)
        self._registry = registry
        self._registry.on_crash_recorded = self.report_due.set
        self._clock = clock
        self._prompts = PromptReports(registry, costs, clock)

    def get_revisions(self) -> StoreRevisions:
        """:return: revisions up to which this router knows the store"""
        dialect = self._registry.dialect
        view = self._registry.store_entries.view
        return StoreRevisions(
            view.newest_revision(dialect.config_key),
            view.newest_revision(dialect.servers_prefix),
            view.digest,
        )

    def get_eras(self) -> tuple[int, int]:
        """:return: eras of the newest known configuration and list of backend servers"""
        revisions = self.get_revisions()
        return get_era(revisions.config), get_era(revisions.servers)

    def list_items_newer_than(self, revisions: StoreRevisions) -> list[StoredItem]:
        """
        List the store entries that a peer lacks.

        :param revisions: revisions up to which the peer knows the store
        :return: items, oldest first
        """
        dialect = self._registry.dialect
        view = self._registry.store_entries.view
        pairs = (
            (dialect.config_key, revisions.config),
            (dialect.servers_prefix, revisions.servers),
        )
        return [
            item
            for prefix, revision in pairs
            for item in view.newer_than(prefix, 0)
            if is_newer(item.revision, revision)
        ]

    def list_items_lost_in_restore(self) -> list[StoredItem]:
        """:return: items in force that a peer cannot read from the restored store"""
        return self._registry.store_entries.list_lost_in_restore()

    def record_prompt(self, server: BackendServer, prompt: Prompt, engine: EngineProfile) -> None:
        """
        Record a prompt that was sent to an engine, for this router and the next report.

        :param server: the engine
        :param prompt: the prompt
        :param engine: engine profile of its group
        """
        self._prompts.record_own(server, prompt, engine)

    def record_leaving(self, server: BackendServer) -> None:
        """
        Record that a server said in a response to this router that it leaves, and tell the peers.

        :param server: the server
        """
        record = server.record
        if self._registry.notices.record_leaving(record.name, record.started_ms, "response"):
            self.report_due.set()

    def create_cursor(self) -> ReportCursor:
        """:return: cursor of a new connection, which skips earlier prompts and failures"""
        history = self._registry.failure_history
        return ReportCursor(
            self._prompts.recent.count,
            history.recent.count,
            history.part_crashes.recent.count,
            self._registry.server_limits.recent.count,
            self._registry.store_entries.recent_removals.count,
            self._registry.servers.leaving.recent.count,
            self.speeds.count,
            self.latencies.published if self.latencies is not None else 0,
        )

    def build_first_report(self) -> PeerReport:
        """:return: report for a new connection, with all loads, recorded crashes and limits"""
        history, now_ms = self._registry.failure_history, self._clock.now_ms()
        return attrs.evolve(
            self.build_report(self.create_cursor()),
            failures=list_crashes(history),
            part_crashes=list_reports(history.part_crashes, now_ms),
            limits=list_limits(self._registry.server_limits, now_ms),
            announcements=self._registry.servers.leaving.list_announcements(),
        )

    def build_report(self, cursor: ReportCursor) -> PeerReport:
        """
        Build a report of what changed since the cursor.

        :param cursor: what has been reported; it is advanced
        :return: the report
        """
        revisions = self.get_revisions()
        failures = self._registry.failure_history.recent
        part_crashes = self._registry.failure_history.part_crashes.recent
        limits = self._registry.server_limits.recent
        announcements = self._registry.servers.leaving.recent
        reaches_store = self.watcher_election.own_store_reachable
        follows_config = self.config.must_follow() and reaches_store
        report = PeerReport(
            config_revision=revisions.config,
            servers_revision=revisions.servers,
            entries_digest=revisions.digest,
            loads=list_changed_loads(
                self._registry.servers.by_name.values(), cursor.loads, self._clock.now_ms()
            ),
            prompts=self._prompts.recent.since(cursor.prompts),
            failures=failures.since(cursor.failures),
            part_crashes=part_crashes.since(cursor.part_crashes),
            limits=limits.since(cursor.limits),
            announcements=announcements.since(cursor.announcements),
            store_reads=self.store_polls.own_polls,
            reaches_store=reaches_store,
            watches=reaches_store and self.watcher_election.is_watcher(self._clock.now_ms()),
            config_source=self.config.choose_source(revisions.config, follows=follows_config),
            follows_config=follows_config,
            is_config_quick=self.config.followers.is_quick,
            usage=() if self.usage is None else self.usage.build_report_entries(cursor.usage),
            speeds=self.speeds.list_reports(cursor.speeds),
        )
        self.speeds.update_ranks()
        if self.latencies is not None:
            report = attrs.evolve(report, hedges=self.latencies.list_since(cursor.latencies))
            cursor.latencies = self.latencies.published
        cursor.prompts, cursor.failures = self._prompts.recent.count, failures.count
        cursor.part_crashes, cursor.limits = part_crashes.count, limits.count
        cursor.announcements = announcements.count
        cursor.speeds = self.speeds.count
        return report

    def take_removals(self, cursor: ReportCursor) -> tuple[StoredItem, ...]:
        """
        List the removals that this router found after a restore, since the cursor.

        Their revision may be known to peers already, so a peer's own reports do not tell that it
        lacks them.

        :param cursor: what has been sent; it is advanced
        :return: tombstones
        """
        removals = self._registry.store_entries.recent_removals
        found = removals.since(cursor.removals)
        cursor.removals = removals.count
        return found

    def apply_report(self, peer: str, report: PeerReport) -> None:
        """
        Apply a peer's report of its loads, prompts and failures.

        :param peer: name of the peer
        :param report: its report; loads at servers that it does not name are unchanged
        """
        now_ms = self._clock.now_ms()
        peer_loads = record_report(self._registry.peer_loads, peer, now_ms)
        apply_loads(peer_loads, self._registry.servers.by_name, report.loads)
        self.speeds.apply_reports(peer, report.speeds)
        for prompt in report.prompts:
            self._prompts.apply(prompt)
        if apply_failures(self._registry.failure_history, report, peer, now_ms):
            self.report_due.set()
        for limit in report.limits:
            is_known = limit.server in self._registry.servers.by_name
            if is_known and apply_limit_report(self._registry.server_limits, limit, now_ms):
                self._registry.notices.log_limit(limit.server, peer)
        for announcement in report.announcements:
            if announcement.leaving:
                self._registry.notices.record_leaving(
                    announcement.server, announcement.started_ms, f"peer {peer}"
                )
        if self.latencies is not None:
            self.latencies.apply(peer, report.hedges)
        self.config.apply_report(peer, report)
        self.store_polls.record_peer_polls(peer, report.store_reads, now_ms)
        self.watcher_election.record_peer(peer, now_ms, reaches_store=report.reaches_store)
        if self.usage is not None:
            self.usage.apply_entries(peer, report.usage)

    def apply_items(self, items: tuple[StoredItem, ...], peer: str) -> None:
        """
        Apply store entries from a peer.

        :param items: entries and tombstones
        :param peer: name of the peer
        """
        self._registry.apply_changes(items, f"peer {peer}")
        self._registry.servers_listed = self._registry.servers_listed or bool(
            self._registry.servers.by_name
        )

    def set_members(self, own: str, members: frozenset[str]) -> None:
        """
        Replace the routers that share the limits of servers.

        :param own: address of this router
        :param members: addresses of the others
        """
        limits = self._registry.server_limits
        if (own, members | {own}) != (limits.membership.own, limits.membership.members):
            set_members(limits, own, members)

    def remove_peer(self, peer: str) -> None:
        """
        Remove the loads of a disconnected peer.

        :param peer: name of the peer
        """
        remove_peer(self._registry.peer_loads, peer)
        self.store_polls.peer_polls.pop(peer, None)
        self.watcher_election.remove_peer(peer)
        self.config.remove_peer(peer)
        if self.usage is not None:
            self.usage.remove_peer(peer)


__all__ = ["StateSync", "StoreRevisions", "ReportCursor"]
