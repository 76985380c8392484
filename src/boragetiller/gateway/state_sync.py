"""What a router tells its peers, and what it takes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.gateway.peer_messages import CachedPrompt, PeerReport, ReportedLoad
from boragetiller.systems.failure_history import apply_failure
from boragetiller.systems.peer_loads import record_report, remove_load, remove_peer, set_load
from boragetiller.systems.prefix_cache import cache_capacity_tokens, record_prefill
from boragetiller.systems.store_polling import StorePollSchedule
from boragetiller.systems.watcher_election import WatcherElection
from boragetiller.tables.recent_items import RecentItems
from boragetiller.tables.servers import PeerLoad

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.settings import Endpoint
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.routes import EngineProfile
    from boragetiller.tables.server_placement import PlacementCostModel
    from boragetiller.tables.servers import BackendServer
    from boragetiller.tables.store_view import StoredItem

MAX_RECENT_PROMPTS = 512  # a report every 100 ms tells all that were read since the last one


@attrs.frozen
class StoreRevisions:
    """Revisions of the newest known change to the configuration and to the list of servers."""

    config: int
    servers: int

    def is_newer_than(self, other: StoreRevisions) -> bool:
        """:return: whether something is known here that the other lacks"""
        return self.config > other.config or self.servers > other.servers


@attrs.define
class ReportCursor:
    """How much of what happened here a peer has been told on its connection."""

    prompts: int = 0
    failures: int = 0
    loads: dict[str, ReportedLoad] = attrs.field(factory=dict)  # by server, none that is 0


class StateSync:
    """This router's side of the exchange with its peers."""

    def __init__(
        self, name: str, registry: BackendRegistry, costs: PlacementCostModel, clock: Clock
    ) -> None:
        """
        Prepare the beliefs.

        :param name: name of this process
        :param fleet: configuration and backend servers
        :param costs: figures of placement
        :param clock: monotonic time
        """
        self.peer_names: dict[Endpoint, str] = {}
        self.store_polls = StorePollSchedule()
        self.watcher_election = WatcherElection(name)
        self.reporting_share = 1.0  # see systems.report_peers
        self._registry = registry
        self._costs = costs
        self._clock = clock
        self._recent_prompts: RecentItems[CachedPrompt] = RecentItems.with_capacity(
            MAX_RECENT_PROMPTS
        )

    def revisions(self) -> StoreRevisions:
        """:return: how far this router has followed the store"""
        dialect = self._registry.dialect
        view = self._registry.store_view
        return StoreRevisions(
            view.newest_revision(dialect.config_key), view.newest_revision(dialect.servers_prefix)
        )

    def items_newer_than(self, revisions: StoreRevisions) -> list[StoredItem]:
        """
        List what a peer lacks.

        :param revisions: how far the peer has followed the store
        :return: items, oldest first
        """
        dialect = self._registry.dialect
        view = self._registry.store_view
        found = view.newer_than(dialect.config_key, revisions.config)
        found += view.newer_than(dialect.servers_prefix, revisions.servers)
        return found

    def record_prompt(self, server: BackendServer, prompt: Prompt, engine: EngineProfile) -> None:
        """
        Note a prompt that was sent to an engine, to tell the peers.

        :param server: the engine
        :param prompt: the prompt
        :param engine: profile of its group
        """
        self._record_read(server, prompt, engine)
        self._recent_prompts.add(CachedPrompt(server=server.name, prompt=prompt))

    def new_cursor(self) -> ReportCursor:
        """:return: for a new connection, on which only the present and the future are told"""
        return ReportCursor(self._recent_prompts.count, self._registry.failure_history.recent.count)

    def report(self, told: ReportCursor) -> PeerReport:
        """
        Build a report, which has to be sent if it tells news.

        :param told: what the peer has been told; brought up to date
        :return: the report
        """
        revisions = self.revisions()
        failures = self._registry.failure_history.recent
        report = PeerReport(
            config_revision=revisions.config,
            servers_revision=revisions.servers,
            loads=self._changed_loads(told),
            prompts=self._recent_prompts.since(told.prompts),
            failures=failures.since(told.failures),
            store_reads=self.store_polls.own_polls,
            reaches_store=self.watcher_election.own_store_reachable,
            watches=self.watcher_election.own_store_reachable
            and self.watcher_election.is_watcher(self._clock.now_ms()),
        )
        told.prompts, told.failures = self._recent_prompts.count, failures.count
        return report

    def apply_report(self, peer: str, report: PeerReport) -> None:
        """
        Take a peer's work and what engines have read for it.

        :param peer: name of the peer
        :param report: its report; its work at servers that it does not name is as it was
        """
        now_ms = self._clock.now_ms()
        work = record_report(self._registry.peer_loads, peer, now_ms)
        for load in report.loads:
            server = self._registry.servers.by_name.get(load.server)
            if server is None:
                remove_load(work, load.server)
            else:
                set_load(work, server, _to_peer_load(load))
        for prompt in report.prompts:
            self._apply_prompt(prompt)
        for failure in report.failures:
            apply_failure(self._registry.failure_history, failure, now_ms)
        self.store_polls.record_peer_polls(peer, report.store_reads, now_ms)
        self.watcher_election.record_peer(peer, now_ms, reaches_store=report.reaches_store)

    def apply_items(self, items: tuple[StoredItem, ...], peer: str) -> None:
        """
        Take store entries from a peer.

        :param items: entries and marks of removed ones
        :param peer: name of the peer
        """
        self._registry.apply_changes(items, f"peer {peer}")
        self._registry.servers_listed = self._registry.servers_listed or bool(
            self._registry.servers.by_name
        )

    def remove_peer(self, peer: str) -> None:
        """
        Drop the work of a peer that is not heard any more.

        :param peer: its name
        """
        remove_peer(self._registry.peer_loads, peer)
        self.store_polls.peer_polls.pop(peer, None)
        self.watcher_election.remove_peer(peer)

    def _changed_loads(self, told: ReportCursor) -> tuple[ReportedLoad, ...]:
        servers = self._registry.servers.by_name.values()
        loads = {server.name: _to_reported_load(server) for server in servers if server.in_flight}
        ended = [
            attrs.evolve(load, in_flight=0)
            for name, load in told.loads.items()
            if name not in loads
        ]
        changed = [load for name, load in loads.items() if told.loads.get(name) != load]
        told.loads = loads
        return (*changed, *ended)

    def _apply_prompt(self, prompt: CachedPrompt) -> None:
        server = self._registry.servers.by_name.get(prompt.server)
        if server is None or self._registry.config is None:
            return
        group = self._registry.config.groups.get(server.record.group)
        if group is not None and group.engine is not None:
            self._record_read(server, prompt.prompt, group.engine)

    def _record_read(self, server: BackendServer, prompt: Prompt, engine: EngineProfile) -> None:
        cache_tokens = cache_capacity_tokens(engine)
        record_prefill(server, prompt, self._costs, cache_tokens, self._clock.now_ms())


def _to_peer_load(load: ReportedLoad) -> PeerLoad:
    return PeerLoad(
        in_flight=load.in_flight,
        unread_tokens=load.unread_tokens,
        sensitivity=load.sensitivity,
    )


def _to_reported_load(server: BackendServer) -> ReportedLoad:
    return ReportedLoad(
        server=server.name,
        in_flight=server.in_flight,
        unread_tokens=tuple(server.unread_tokens),
        sensitivity=round(server.sensitivity, 2),
    )


__all__ = ["StateSync", "StoreRevisions", "ReportCursor"]
