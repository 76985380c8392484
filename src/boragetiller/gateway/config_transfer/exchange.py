"""What a router and its peers tell each other of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.gateway.store_revisions import is_newer
from boragetiller.store_eras import get_era, get_store_revision
from boragetiller.systems.config_transfer.followers import ConfigFollowers
from boragetiller.systems.config_transfer.requests import ConfigRequests

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.peer_reports import PeerReport
    from boragetiller.tables.store_view import StoredItem


class ConfigExchange:
    """Decides for one router from where it gets the configuration."""

    def __init__(self, registry: BackendRegistry, clock: Clock) -> None:
        """
        Start without peers.

        :param registry: holds the configuration in force, and the settings of the process
        :param clock: monotonic clock
        """
        settings = registry.settings
        self.followers = ConfigFollowers(
            settings.name, settings.config_apply_ms, settings.link_bytes_per_s
        )
        self._requests = ConfigRequests(settings.name)
        self._revisions: dict[str, int] = {}  # that the peers know, by name
        self._follows = True
        self._registry = registry
        self._clock = clock

    def must_follow(self) -> bool:
        """:return: whether this router watches and polls the configuration in the store"""
        self._update_size()
        newest = self._registry.store_entries.view.items.get(self._registry.dialect.config_key)
        if self._registry.config is None or newest is None:
            return True
        # After a restore of the store, of which a peer knows, each router lists it.
        era = get_era(newest.revision)
        if any(get_era(revision) > era for revision in self._revisions.values()):
            return True
        follows = self.followers.must_follow(self._clock.now_ms())
        if follows != self._follows:
            self._follows = follows
            log_event(
                Event.CONFIG_FOLLOWED,
                follows=follows,
                bytes=self.followers.value_bytes,
                transfer_ms=round(self.followers.estimate_transfer_ms()),
            )
        return follows

    @property
    def longest_change_bytes(self) -> int | None:
        """
        Get the longest response of a watch that is worth its transfer.

        A watch returns each version of a series whole; a listing returns the newest.

        :return: bytes, more than one version has; None if a transfer takes little time
        """
        self._update_size()
        return None if self.followers.is_quick else self.followers.estimate_longest_change_bytes()

    def _update_size(self) -> None:
        view = self._registry.store_entries.view
        item = view.get_in_force(self._registry.dialect.config_key)
        self.followers.value_bytes = len(item.value or b"") if item else 0

    def list_items_newer_than(self, revision: int) -> list[StoredItem]:
        """
        List the entries of the configuration that a peer lacks.

        :param revision: extended revision up to which the peer knows them
        :return: items, oldest first
        """
        items = self._registry.store_entries.view.newer_than(self._registry.dialect.config_key, 0)
        return [item for item in items if is_newer(item.revision, revision)]

    def choose_source(self, own_revision: int, *, follows: bool) -> str:
        """
        Choose the peer that the next report asks for the configuration.

        :param own_revision: extended revision of the newest one that this router knows
        :param follows: whether this router follows the configuration, and reaches the store
        :return: name of the peer, empty if no one is to be asked now
        """
        newer = [name for name, each in self._revisions.items() if is_newer(each, own_revision)]
        asked_before = self._requests.asked
        asked = self._requests.choose_peer(
            newer,
            own_revision,
            self._clock.now_ms(),
            follows=follows,
            transfer_ms=self.followers.estimate_transfer_ms(),
        )
        if asked is not None and asked != asked_before:
            log_event(
                Event.CONFIG_REQUESTED,
                peer=asked,
                revision=get_store_revision(own_revision),
                bytes=self.followers.value_bytes,
            )
            self._registry.metrics.config_requests.inc()
        return asked or ""

    def apply_report(self, peer: str, report: PeerReport) -> None:
        """
        Apply a report.

        :param peer: name of the peer
        :param report: its report
        """
        self._revisions[peer] = report.config_revision
        self.followers.record_peer(
            peer,
            self._clock.now_ms(),
            follows=report.follows_config,
            is_quick=report.is_config_quick,
        )

    def remove_peer(self, peer: str) -> None:
        """:param peer: name of a router that no longer sends reports"""
        self._revisions.pop(peer, None)
        self.followers.remove_peer(peer)


__all__ = ["ConfigExchange"]
