"""The list of backend servers in the store: its decoding, and the log of its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import EntryUnreadable
from boragetiller.events import Event, log_event
from boragetiller.store_eras import get_store_revision

if TYPE_CHECKING:
    from boragetiller.gateway.metrics import GatewayMetrics
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.gateway.store_entries import StoreEntries
    from boragetiller.tables.servers import ServerRecord
    from boragetiller.tables.store_view import StoredItem


class ServerList:
    """Decodes the entries of backend servers apart from each other."""

    def __init__(self, entries: StoreEntries, dialect: Dialect, metrics: GatewayMetrics) -> None:
        """
        Create the reader of the list.

        :param entries: entries of the store that are in force
        :param dialect: keys and formats of entries
        :param metrics: gauge of unreadable entries
        """
        self._entries = entries
        self._dialect = dialect
        self._metrics = metrics
        self._unreadable_revisions: dict[str, int] = {}
        self.is_unreadable = False  # whether the list has entries and none can be decoded

    def read(self) -> list[ServerRecord]:
        """:return: records of the entries that can be decoded"""
        items = self._entries.view.list_entries(self._dialect.servers_prefix)
        readable = [record for item in items if (record := self._read_server(item)) is not None]
        self._metrics.unreadable_servers.set(len(items) - len(readable))
        self.is_unreadable = bool(items) and not readable
        listed = {item.key for item in items}
        for key in self._unreadable_revisions.keys() - listed:
            del self._unreadable_revisions[key]
        return readable

    def log_joined(self, record: ServerRecord) -> None:
        """:param record: a server that was not in the list before"""
        log_event(
            Event.SERVER_JOINED,
            server=record.name,
            group=record.group,
            failure_domain=record.failure_domain,
            software_version=record.software_version,
        )

    def log_state_change(
        self, before: ServerRecord | None, record: ServerRecord, source: str
    ) -> None:
        """
        Log that a server began to drain, or accepts requests again.

        :param before: its record before, None if it is new
        :param record: its record now
        :param source: origin of the change
        """
        was_draining = before is not None and before.draining
        if record.draining == was_draining:
            return
        item = self._entries.view.get_in_force(self._dialect.servers_prefix + record.name)
        fields = {
            "server": record.name,
            "started_ms": record.started_ms,
            "revision": get_store_revision(item.revision) if item is not None else None,
            "source": source,
        }
        if record.draining:
            log_event(Event.SERVER_DRAINING, **fields)
        else:
            log_event(Event.SERVER_ACCEPTING, **fields)

    def _read_server(self, item: StoredItem) -> ServerRecord | None:
        assert item.value is not None
        try:
            return self._dialect.decode_server(item.key, item.value)
        except EntryUnreadable as error:
            if self._unreadable_revisions.get(item.key) != item.revision:
                log_event(Event.SERVER_UNREADABLE, key=item.key, reason=str(error))
            self._unreadable_revisions[item.key] = item.revision
            return None


__all__ = ["ServerList"]
