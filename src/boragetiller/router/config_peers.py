"""Table of the configuration pages that each peer of a node holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.cli.messages import NodePage
from boragetiller.systems.config_pages import list_missing_pages

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.tables.config import ConfigTable

MAX_PEERS = 256


@attrs.define
class _Peer:
    revisions: dict[int, int]
    complete: bool
    last_contact_ms: int
    changed_ms: dict[int, int] = attrs.Factory(dict)  # when the revision was first reported


class ConfigPeers:
    """Page revisions from the latest report of each connected peer."""

    def __init__(self, clock: Clock) -> None:
        """:param clock: monotonic time"""
        self._clock = clock
        self._peers: dict[str, _Peer] = {}

    def __len__(self) -> int:
        """:return: number of peers"""
        return len(self._peers)

    def record_revisions(self, name: str, revisions: dict[int, int], complete: bool) -> None:
        """
        Replace the recorded revisions of a peer.

        :param name: name of the peer
        :param revisions: store revision of each of its pages, by index
        :param complete: whether the peer is ready and these are all its pages
        """
        known = self._peers.get(name)
        if known is None and len(self._peers) >= MAX_PEERS:
            return
        now_ms = self._clock.now_ms()
        peer = _Peer(dict(revisions), complete, now_ms)
        for index, revision in revisions.items():
            same = known is not None and known.revisions.get(index) == revision
            peer.changed_ms[index] = known.changed_ms[index] if known and same else now_ms
        self._peers[name] = peer

    def record_contact(self, name: str) -> None:
        """Record a heartbeat of a peer whose pages have not changed."""
        if name in self._peers:
            self._peers[name].last_contact_ms = self._clock.now_ms()

    def remove(self, name: str) -> None:
        """Remove a peer."""
        self._peers.pop(name, None)

    def list_page_revisions(self, index: int) -> list[NodePage]:
        """:return: the revision of one page at each peer"""
        now_ms = self._clock.now_ms()
        return [
            NodePage(
                node=name,
                page_revision=peer.revisions.get(index, 0),
                age_ms=now_ms - peer.changed_ms[index] if index in peer.changed_ms else None,
            )
            for name, peer in sorted(self._peers.items())
        ]

    def find_complete_peer(self) -> str | None:
        """:return: name of a peer that has a complete configuration, None if there is none"""
        return next((name for name, peer in self._peers.items() if peer.complete), None)

    def has_recent_contact(self, silence_ms: int) -> bool:
        """:return: whether a peer with a complete configuration sent anything within that time"""
        oldest_ms = self._clock.now_ms() - silence_ms
        return any(
            peer.complete and peer.last_contact_ms >= oldest_ms for peer in self._peers.values()
        )

    def find_matched_peer(self, table: ConfigTable) -> str | None:
        """:return: a peer whose complete configuration the table holds, same pages or newer"""
        for name, peer in self._peers.items():
            if peer.complete and not list_missing_pages(table, peer.revisions):
                return name
        return None


__all__ = ["ConfigPeers"]
