"""Software versions that serve each group, or did until lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.systems.group_entries import GroupSightings
from boragetiller.systems.new_versions import list_startable
from boragetiller.tables.stream_versions import VersionHistory

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.tables.server_table import ServerTable


class GroupVersions:
    """Follows the versions in the table of servers, and in the entries of the store."""

    def __init__(self, servers: ServerTable, clock: Clock) -> None:
        """
        Start without a known version.

        :param servers: registered servers
        :param clock: monotonic clock
        """
        self._servers = servers
        self._clock = clock
        self._history = VersionHistory()
        self._stored: dict[str, frozenset[str]] = {}  # versions that the entry of each group names

    def list_known(self, group: str) -> frozenset[str]:
        """
        List the software versions that may have begun a stream which is still resumed.

        :param group: name of the backend group
        :return: versions of the servers that are registered, or were lately, and those that the
            store named last
        """
        return self.get_sightings(group).recent | self._stored.get(group, frozenset())

    def list_startable(self, group: str) -> frozenset[str] | None:
        """
        List the software versions at which resumable streams may begin.

        :param group: name of the backend group
        :return: versions of the registered servers, None for all
        """
        if len(self._servers.find_versions(group)) <= 1:
            return None
        appeared_ms = self.get_sightings(group).appeared_ms
        return list_startable(appeared_ms, self._stored.get(group), self._clock.now_ms())

    def get_sightings(self, group: str) -> GroupSightings:
        """
        Take note of the versions that serve a group now.

        :param group: name of the backend group
        :return: the versions that this router has seen in its own list of servers
        """
        now_ms = self._clock.now_ms()
        self._history.observe(group, self._servers.find_versions(group), now_ms)
        return GroupSightings(
            self._history.list_recent(group, now_ms), self._history.get_appearances(group)
        )

    def observe_all(self) -> None:
        """Take note of the versions of all registered servers, before some are removed."""
        listed = {server.record.group for server in self._servers.by_name.values()}
        for group in listed | set(self._history.list_groups()):
            self.get_sightings(group)

    def record_stored(self, group: str, versions: frozenset[str]) -> None:
        """
        Record the versions that the store names.

        :param group: name of the backend group
        :param versions: software versions, also those that this router has not seen
        """
        self._stored[group] = versions


__all__ = ["GroupVersions"]
