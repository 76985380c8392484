"""What this router knows of routes and backend servers, and its connections to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from boragetiller.errors import EntryUnreadable
from boragetiller.events import Event, log_event
from boragetiller.gateway.server_client import ServerClient
from boragetiller.systems.engine_throughput import EngineThroughput
from boragetiller.systems.failure_history import confirm_crash
from boragetiller.systems.windowed_retry_budget import WindowedRetryBudget
from boragetiller.tables.failure_history import FailureHistory
from boragetiller.tables.output_lengths import OutputLengths
from boragetiller.tables.peer_loads import PeerLoadTable
from boragetiller.tables.server_placement import PlacementCostModel
from boragetiller.tables.server_table import ServerTable
from boragetiller.tables.store_view import StoreView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.clock import Clock
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.settings import GatewaySettings
    from boragetiller.tables.routes import RouteConfig
    from boragetiller.tables.servers import BackendServer, ServerRecord
    from boragetiller.tables.store_view import StoredItem

MAX_ROUTERS = (
    8  # the fleet's retry slack is shared by so many routers at most, spare ones among them
)
CLOSE_DELAY_MS = 30_000  # calls on their way at a server that left may still end


class BackendRegistry:
    """The configuration in force, the backend servers and the clients to them."""

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, clock: Clock, metrics: GatewayMetrics
    ) -> None:
        """
        Prepare an empty fleet.

        :param settings: settings of the process
        :param dialect: words of the platform
        :param clock: monotonic time
        :param metrics: gauges of what is known
        """
        self._metrics = metrics
        self.store_view = StoreView()
        self.servers = ServerTable()
        self.peer_loads = PeerLoadTable()
        self.failure_history = FailureHistory()
        self._paces: dict[str, EngineThroughput] = {}
        self.output_lengths = OutputLengths()
        self.config: RouteConfig | None = None
        self.config_applied_ms = 0  # monotonic time since which it is in force
        self.on_server_added: Callable[[BackendServer], None] | None = (
            None  # a server came onto the list
        )
        self.servers_listed = False  # whether the backend servers were ever listed
        self._settings = settings
        self.dialect = dialect
        self._clock = clock
        self._default_costs = PlacementCostModel()
        self._clients: dict[str, ServerClient] = {}
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._unreadable_revisions: dict[str, int] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """:return: whether calls can be served: routes and backend servers are known"""
        return self.config is not None and self.servers_listed

    def client(self, server: BackendServer) -> ServerClient:
        """
        Give the connections to a backend server.

        :param server: the server
        :return: its client
        """
        name = server.name
        if name not in self._clients:
            self._clients[name] = ServerClient(server.record, self.dialect)
        return self._clients[name]

    def pace(self, group: str) -> EngineThroughput:
        """
        Give what was learned of the engines of a group.

        :param group: name of the backend group
        :return: their pace
        """
        if group not in self._paces:
            self._paces[group] = EngineThroughput()
        return self._paces[group]

    def costs(self, group: str, reporting_share: float = 1.0) -> PlacementCostModel:
        """
        Give the figures of placement for a group.

        :param group: name of the backend group
        :param reporting_share: part of the other routers whose work is known
        :return: the figures, with what was learned of its engines
        """
        pace = self.pace(group)
        return attrs.evolve(
            self._default_costs,
            prefill_tokens_per_ms=pace.prefill_tokens_per_ms,
            tokens_per_event=pace.tokens_per_event,
            reporting_share=reporting_share,
        )

    def retry_budget(self, group: str) -> WindowedRetryBudget:
        """
        Give the retry budget of a group.

        :param group: name of the backend group
        :return: this router's part of it
        """
        if group not in self._budgets:
            self._budgets[group] = WindowedRetryBudget(
                ratio=self._settings.retry_ratio,
                slack=self._settings.retry_slack / MAX_ROUTERS,
                window_ms=self._settings.retry_window_ms,
            )
        return self._budgets[group]

    def apply_changes(self, items: Iterable[StoredItem], source: str) -> None:
        """
        Take items from a watch or a peer.

        :param items: entries and marks of removed ones
        :param source: where they come from, for the log
        """
        self._apply(self.store_view.apply(items), source)

    def apply_listing(
        self, prefix: str, items: list[StoredItem], revision: int, source: str
    ) -> None:
        """
        Take a whole listing.

        :param prefix: prefix of its keys
        :param items: entries
        :param revision: revision of the store when it was read
        :param source: where it comes from, for the log
        """
        news = self.store_view.apply_listing(prefix, items, revision)
        self.servers_listed = self.servers_listed or prefix == self.dialect.servers_prefix
        self._apply(news, source)

    def record_crash(self, server: str) -> None:
        """
        Strike the requests that a server ran when it crashed.

        :param server: name of a server that refuses connections or has left the list
        """
        struck = confirm_crash(self.failure_history, server, self._clock.now_ms())
        if struck:
            log_event(
                Event.REQUESTS_STRUCK,
                server=server,
                fingerprints=[failure.fingerprint.hex() for failure in struck],
            )

    async def close(self) -> None:
        """Close all connections."""
        for task in self._close_tasks:
            task.cancel()
        for client in self._clients.values():
            await client.close()
        self._clients.clear()

    def _apply(self, news: list[StoredItem], source: str) -> None:
        if not news:
            return
        changed = False
        for item in news:
            if item.key == self.dialect.config_key and item.value is not None:
                changed |= self._apply_config(item, source)
            changed |= item.key.startswith(self.dialect.servers_prefix)
        if changed:
            self._replace_servers()

    def _apply_config(self, item: StoredItem, source: str) -> bool:
        assert item.value is not None
        try:
            config = self.dialect.decode_config(item.value)
        except EntryUnreadable as error:
            log_event(Event.CONFIG_UNREADABLE, reason=str(error))
            return False
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self._paces = {name: pace for name, pace in self._paces.items() if name in config.groups}
        self.output_lengths.retain_routes({route.name for route in config.routes})
        self.config_applied_ms = self._clock.now_ms()
        self._metrics.config_version.set(config.version)
        log_event(Event.ROUTES_TAKEN, version=config.version, revision=item.revision, source=source)
        return True

    def _replace_servers(self) -> None:
        if self.config is None:
            return
        items = self.store_view.list_entries(self.dialect.servers_prefix)
        records = [record for item in items if (record := self._read_server(item)) is not None]
        known = set(self.servers.by_name)
        gone = self.servers.replace(records, self._clock.now_ms())
        for record in records:
            if record.name not in known:
                log_event(
                    Event.SERVER_JOINED,
                    server=record.name,
                    group=record.group,
                    failure_domain=record.failure_domain,
                )
                if self.on_server_added is not None:
                    self.on_server_added(self.servers.by_name[record.name])
        self._metrics.servers.set(len(records))
        for server in gone:
            log_event(Event.SERVER_GONE, server=server.name, in_flight=server.in_flight)
            self.record_crash(server.name)
            client = self._clients.pop(server.name, None)
            if client is not None:
                self._close_delayed(client)

    def _read_server(self, item: StoredItem) -> ServerRecord | None:
        assert item.value is not None
        assert self.config is not None
        try:
            record = self.dialect.decode_server(item.key, item.value)
        except EntryUnreadable as error:
            if self._unreadable_revisions.get(item.key) != item.revision:
                log_event(Event.SERVER_UNREADABLE, key=item.key, reason=str(error))
            self._unreadable_revisions[item.key] = item.revision
            return None
        return record if record.group in self.config.groups else None

    def _close_delayed(self, client: ServerClient) -> None:
        task = asyncio.create_task(_close_after_delay(client))
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


async def _close_after_delay(client: ServerClient) -> None:
    try:
        await asyncio.sleep(CLOSE_DELAY_MS / 1_000)
    finally:
        await client.close()


__all__ = ["BackendRegistry"]
