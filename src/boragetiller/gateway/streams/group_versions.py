"""Software versions that serve each group, or did until lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.stream_versions import VersionHistory

if TYPE_CHECKING:
    from boragetiller.clock import Clock
    from boragetiller.tables.server_table import ServerTable


class GroupVersions:
    """Follows the versions in the table of servers."""

    def __init__(self, servers: ServerTable, clock: Clock) -> None:
        """
        Start without a known version.

        :param servers: registered servers
        :param clock: monotonic clock
        """
        self._servers = servers
        self._clock = clock
        self._history = VersionHistory()

    def list_recent(self, group: str) -> frozenset[str]:
        """
        List the software versions that may have begun a stream which is still resumed.

        :param group: name of the backend group
        :return: versions of the servers that are registered, or were lately
        """
        now_ms = self._clock.now_ms()
        for version in self._servers.find_versions(group):
            self._history.observe(group, version, now_ms)
        return self._history.list_recent(group, now_ms)

    def observe_all(self) -> None:
        """Take note of the versions of all registered servers, before some are removed."""
        for group in {server.record.group for server in self._servers.by_name.values()}:
            self.list_recent(group)

    def observe_stored(self, group: str, version: str) -> None:
        """
        Take note of a version that served a group before this router knew the group.

        :param group: name of the backend group
        :param version: software version
        """
        if not self._history.has_ever_seen(group, version):
            self._history.observe(group, version, self._clock.now_ms())


__all__ = ["GroupVersions"]
