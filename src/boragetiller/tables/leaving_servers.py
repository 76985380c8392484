"""Incarnations of backend servers that have said in their responses that they are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.recent_items import RecentItems
from boragetiller.tables.report_entries import ServerAnnouncement

if TYPE_CHECKING:
    from boragetiller.tables.servers import ServerRecord

MAX_LEAVING_SERVERS = 2_048  # more than all servers of the largest planned fleet


@attrs.define
class LeavingServers:
    """
    The incarnations by name and start time, and the announcements for peers.

    An incarnation stays here after its entry has left the list, because an older entry of it may
    still arrive from a peer or a restored store.
    """

    _announcements: dict[tuple[str, int], ServerAnnouncement] = attrs.field(factory=dict)
    recent: RecentItems[ServerAnnouncement] = attrs.field(
        factory=lambda: RecentItems.with_capacity(MAX_LEAVING_SERVERS)
    )

    def __contains__(self, record: ServerRecord) -> bool:
        """:return: whether the incarnation has said that it leaves"""
        return (record.name, record.started_ms) in self._announcements

    def add(self, name: str, started_ms: int) -> bool:
        """
        Add an incarnation; the one that was added first is dropped if there are too many.

        :param name: name of the server
        :param started_ms: wall-clock time of its start
        :return: whether it was added by this call
        """
        if (name, started_ms) in self._announcements:
            return False
        if len(self._announcements) >= MAX_LEAVING_SERVERS:
            del self._announcements[next(iter(self._announcements))]
        announcement = ServerAnnouncement(server=name, started_ms=started_ms, leaving=True)
        self._announcements[name, started_ms] = announcement
        self.recent.add(announcement)
        return True

    def remove(self, record: ServerRecord) -> None:
        """:param record: an incarnation whose successor cannot be told from it"""
        self._announcements.pop((record.name, record.started_ms), None)

    def list_announcements(self) -> tuple[ServerAnnouncement, ...]:
        """:return: announcements of all incarnations, for a peer that connects"""
        return tuple(self._announcements.values())


__all__ = ["MAX_LEAVING_SERVERS", "LeavingServers"]
