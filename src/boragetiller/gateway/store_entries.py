"""The entries of the platform's store at this router, also over restores of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.errors import EntryUnreadable
from boragetiller.events import Event, log_event
from boragetiller.store_eras import get_era, get_store_revision
from boragetiller.systems.store_restores import RestoreGrace
from boragetiller.tables.recent_items import RecentItems
from boragetiller.tables.store_view import StoredItem, StoreView

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.platform_interface import Dialect
    from boragetiller.tables.store_view import EntryVersion

MAX_RECENT_REMOVALS = 512
MAX_LOGGED_KEYS = 20


class StoreEntries:
    """Applies listings and changes, and decides what a restored store has lost."""

    def __init__(self, dialect: Dialect, clock: Clock) -> None:
        """
        Start without entries.

        :param dialect: keys and versions of entries
        :param clock: monotonic clock
        """
        self.view = StoreView(self._read_version)
        self.restore_grace = RestoreGrace()
        # Removals that a listing after a restore has shown, for peers that do not list themselves.
        self.recent_removals: RecentItems[StoredItem] = RecentItems.with_capacity(
            MAX_RECENT_REMOVALS
        )
        self._dialect = dialect
        self._clock = clock

    def apply_changes(self, items: list[StoredItem], source: str) -> list[StoredItem]:
        """
        Apply changes from a watch or a peer.

        :param items: entries and tombstones
        :param source: origin of the changes, for the log
        :return: items that came into force
        """
        changed_items = self.view.apply(items)
        self._log_ignored_config(items, source)
        return changed_items

    def apply_listing(
        self, prefix: str, items: list[StoredItem], revision: int
    ) -> list[StoredItem]:
        """
        Apply a complete listing of a prefix.

        :param prefix: prefix of the keys
        :param items: entries
        :param revision: extended revision of the store at the time of the listing
        :return: items that came into force
        """
        if prefix == self._dialect.servers_prefix:
            return self._apply_server_listing(items, revision)
        return self.view.apply_listing(prefix, items, revision, keep_earlier_eras=True)

    def list_lost_in_restore(self) -> list[StoredItem]:
        """:return: items in force that the restored store lacks or has in an older version"""
        prefixes = (self._dialect.config_key, self._dialect.servers_prefix)
        return [item for prefix in prefixes for item in self.view.list_from_earlier_eras(prefix)]

    def _apply_server_listing(self, items: list[StoredItem], revision: int) -> list[StoredItem]:
        prefix, now_ms = self._dialect.servers_prefix, self._clock.now_ms()
        self.restore_grace.record_listing(revision, now_ms)
        known = dict(self.view.items)
        changed_items = self.view.apply_listing(
            prefix, items, revision, keep_earlier_eras=not self.restore_grace.is_over(now_ms)
        )
        for item in changed_items:
            lost = known.get(item.key)
            if item.value is None and lost and get_era(lost.revision) < get_era(revision):
                self.recent_removals.add(item)
        if self.restore_grace.is_retention_over(now_ms):
            changed_items += self.view.release_retained(prefix)
        retained = [item.key for item in self.view.list_from_earlier_eras(prefix)]
        if retained and changed_items:
            log_event(Event.STORE_ENTRIES_RETAINED, keys=retained[:MAX_LOGGED_KEYS])
        return changed_items

    def _read_version(self, key: str, value: bytes) -> EntryVersion | None:
        try:
            return self._dialect.decode_entry_version(key, value)
        except EntryUnreadable:
            return None

    def _log_ignored_config(self, items: list[StoredItem], source: str) -> None:
        """Log a configuration that is not newer than the one in force."""
        known = self.view.get_in_force(self._dialect.config_key)
        for item in items:
            if known is not None and item.key == known.key and item.value != known.value:
                log_event(
                    Event.CONFIG_IGNORED,
                    era=get_era(item.revision),
                    revision=get_store_revision(item.revision),
                    known_era=get_era(known.revision),
                    known_revision=get_store_revision(known.revision),
                    source=source,
                )


__all__ = ["StoreEntries"]
