"""Registry of backend servers with the route configuration in force and the servers' clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import EntryUnreadable
from boragetiller.events import Event, log_event
from boragetiller.gateway.server_clients import ServerClients
from boragetiller.gateway.server_list import ServerList
from boragetiller.gateway.server_notices import ServerNotices
from boragetiller.gateway.server_pauses import ServerPauses
from boragetiller.gateway.store_entries import StoreEntries
from boragetiller.gateway.streams.group_versions import GroupVersions
from boragetiller.store_eras import get_era, get_store_revision
from boragetiller.systems.engine_throughput import EngineThroughput
from boragetiller.systems.failure_history import confirm_crash
from boragetiller.systems.part_quarantine import clear_parts
from boragetiller.systems.server_limits import retain_servers
from boragetiller.systems.windowed_retry_budget import WindowedRetryBudget
from boragetiller.tables.failure_history import FailureHistory
from boragetiller.tables.output_lengths import OutputLengths
from boragetiller.tables.part_uses import PartUseTable
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.server_limits import ServerLimitTable
from boragetiller.tables.server_placement import PlacementCostModel
from boragetiller.tables.server_table import ServerTable
from boragetiller.tables.stream_versions import StreamOriginTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.clock import Clock
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.server_client import ServerClient
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.direct_attempts import ResponseProgress
    from boragetiller.tables.routes import RouteConfig
    from boragetiller.tables.servers import BackendServer
    from boragetiller.tables.store_view import StoredItem

MAX_ROUTERS = 8  # routers that share the fleet's retry slack, including spare ones


class BackendRegistry:
    """The route configuration in force, the backend servers and the clients to them."""

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        """
        Create an empty registry.

        :param settings: settings of the process
        :param dialect: header names and data formats of the platform
        :param clock: monotonic clock
        :param metrics: gauges of the configuration version and the number of servers
        """
        self.metrics = metrics
        self.store_entries = StoreEntries(dialect, clock)
        self._server_list = ServerList(self.store_entries, dialect, metrics)
        self.servers = ServerTable()
        self.peer_loads = PeerLoadTable()
        self.failure_history = FailureHistory()
        self.server_limits = ServerLimitTable()
        self.notices = ServerNotices(self.servers, self.server_limits, clock)
        self.pauses = ServerPauses(self.servers, clock, metrics)
        self.part_uses = PartUseTable()
        self.stream_origins = StreamOriginTable()
        self.group_versions = GroupVersions(self.servers, clock)
        self._throughputs: dict[str, EngineThroughput] = {}
        self.output_lengths = OutputLengths()
        self.config: RouteConfig | None = None
        self.config_applied_ms = 0  # monotonic time since which the configuration is in force
        self.on_server_added: Callable[[BackendServer], None] | None = None
        self.on_servers_changed: Callable[[], None] | None = None
        self.on_crash_recorded: Callable[[], None] | None = None
        self.servers_listed = False  # whether the list of servers was ever received
        self.servers_outdated = False  # whether the newest list is still to be applied
        self.settings = settings
        self.drain_ms = settings.drain_ms
        self.dialect = dialect
        self._clock = clock
        self._default_cost_model = PlacementCostModel()
        self._clients = ServerClients(dialect, self.pauses)
        self._budgets: dict[str, WindowedRetryBudget] = {}

    @property
    def is_ready(self) -> bool:
        """
        Check whether calls can be served.

        :return: whether routes and backend servers are known and the newest list of servers is in
            force; a list in which no entry can be decoded does not count
        """
        return (
            self.config is not None
            and self.servers_listed
            and not self.servers_outdated
            and not self._server_list.is_unreadable
        )

    def get_client(self, server: BackendServer) -> ServerClient:
        """
        Get or create the client of a backend server.

        :param server: the server
        :return: its client
        """
        return self._clients.get(server)

    def get_throughput(self, group: str) -> EngineThroughput:
        """
        Get or create the throughput estimate of a group's engines.

        :param group: name of the backend group
        :return: the estimate
        """
        if group not in self._throughputs:
            self._throughputs[group] = EngineThroughput()
        return self._throughputs[group]

    def get_cost_model(self, group: str, reporting_share: float = 1.0) -> PlacementCostModel:
        """
        Get the placement cost model of a group.

        :param group: name of the backend group
        :param reporting_share: share of the other routers whose load is known
        :return: the default model with the throughput of the group's engines
        """
        throughput = self.get_throughput(group)
        return attrs.evolve(
            self._default_cost_model,
            prefill_tokens_per_ms=throughput.prefill_tokens_per_ms,
            tokens_per_event=throughput.tokens_per_event,
            reporting_share=reporting_share,
        )

    def get_retry_budget(self, group: str) -> WindowedRetryBudget:
        """
        Get or create the retry budget of a group.

        :param group: name of the backend group
        :return: this router's share of the budget
        """
        if group not in self._budgets:
            self._budgets[group] = WindowedRetryBudget(
                ratio=self.settings.retry_ratio,
                slack=self.settings.retry_slack / MAX_ROUTERS,
                window_ms=self.settings.retry_window_ms,
            )
        return self._budgets[group]

    def apply_changes(self, items: Iterable[StoredItem], source: str) -> None:
        """
        Apply changes from a watch or a peer.

        :param items: entries and tombstones
        :param source: origin of the changes, for the log
        """
        self._apply(self.store_entries.apply_changes(list(items), source), source)

    def apply_listing(
        self, prefix: str, items: list[StoredItem], revision: int, source: str
    ) -> None:
        """
        Apply a complete listing of a prefix.

        :param prefix: prefix of the keys
        :param items: entries
        :param revision: extended revision of the store at the time of the listing
        :param source: origin of the listing, for the log
        """
        changed_items = self.store_entries.apply_listing(prefix, items, revision)
        self.servers_listed = self.servers_listed or prefix == self.dialect.servers_prefix
        self._apply(changed_items, source)

    def record_crash(self, server: str) -> None:
        """
        Record a crash for the requests that a server ran when it crashed.

        :param server: name of a server that refuses connections or was removed
        """
        crash = confirm_crash(self.failure_history, server, self._clock.now_ms())
        if crash.failures:
            log_event(
                Event.REQUESTS_STRUCK,
                server=server,
                fingerprints=[failure.fingerprint.hex() for failure in crash.failures],
            )
            if self.on_crash_recorded is not None:
                self.on_crash_recorded()
        if crash.quarantined_parts:
            log_event(Event.PARTS_QUARANTINED, parts=crash.quarantined_parts, source=server)

    def clear_parts(self, prompt: Prompt | None, progress: ResponseProgress) -> None:
        """
        Clear the recorded crashes of the shared parts of a prompt that an engine has answered.

        :param prompt: the prompt, None for a request to a plain service
        :param progress: the response, which is complete or has survived its beginning
        """
        table = self.failure_history.part_crashes
        if prompt is None or progress.started_ms is None:
            return
        parts = [part.part_id for part in prompt.shared_parts]
        cleared = clear_parts(table, parts, progress.started_ms, self._clock.now_ms())
        if cleared:
            log_event(Event.PARTS_CLEARED, parts=cleared)

    async def close(self) -> None:
        """Close all connections."""
        await self._clients.close()

    def _apply(self, changed_items: list[StoredItem], source: str) -> None:
        for item in changed_items:
            if item.key == self.dialect.config_key and item.value is not None:
                self.servers_outdated |= self._apply_config(item, source)
            self.servers_outdated |= item.key.startswith(self.dialect.servers_prefix)
        if self.servers_outdated and self.config is not None:
            self._replace_servers(self.config, source)
            # Not reached after an error, so that the next listing applies the list again.
            self.servers_outdated = False

    def _apply_config(self, item: StoredItem, source: str) -> bool:
        assert item.value is not None
        try:
            config = self.dialect.decode_config(item.value)
        except EntryUnreadable as error:
            log_event(Event.CONFIG_UNREADABLE, reason=str(error))
            return False
        if self.config is not None and config.version <= self.config.version:
            if config.version < self.config.version:
                log_event(
                    Event.CONFIG_VERSION_IGNORED,
                    version=config.version,
                    known_version=self.config.version,
                    revision=get_store_revision(item.revision),
                    source=source,
                )
            return False
        self.config = config
        self._throughputs = {
            name: throughput
            for name, throughput in self._throughputs.items()
            if name in config.groups
        }
        self.output_lengths.retain_routes({route.name for route in config.routes})
        self.config_applied_ms = self._clock.now_ms()
        self.metrics.config_version.set(config.version)
        log_event(
            Event.ROUTES_TAKEN,
            version=config.version,
            era=get_era(item.revision),
            revision=get_store_revision(item.revision),
            source=source,
            bytes=len(item.value),
        )
        for group in config.groups.values():
            if group.scaling_error:
                log_event(Event.SCALING_UNREADABLE, group=group.name, reason=group.scaling_error)
        return True

    def _replace_servers(self, config: RouteConfig, source: str) -> None:
        records = [each for each in self._server_list.read() if each.group in config.groups]
        known = {server.name: server.record for server in self.servers.by_name.values()}
        self.group_versions.observe_all()
        removed = self.servers.replace(records, self._clock.now_ms())
        self.pauses.observe_incarnations()
        for record in records:
            if record.name not in known:
                self._server_list.log_joined(record)
                if self.on_server_added is not None:
                    self.on_server_added(self.servers.by_name[record.name])
            self._server_list.log_state_change(
                known.get(record.name), self.servers.by_name[record.name].record, source
            )
        self.metrics.servers.set(len(records))
        if self.on_servers_changed is not None:
            self.on_servers_changed()
        retain_servers(self.server_limits, self.servers.by_name)
        for server in removed:
            log_event(Event.SERVER_GONE, server=server.name, in_flight=server.in_flight)
            self.record_crash(server.name)
            self._clients.remove(server.name)


__all__ = ["BackendRegistry"]
