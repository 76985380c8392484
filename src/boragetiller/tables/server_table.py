"""Table of the registered backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.leaving_servers import LeavingServers
from boragetiller.tables.server_groups import GroupServers
from boragetiller.tables.servers import BackendServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.servers import ServerRecord


@attrs.define(eq=False)
class ServerTable:
    """All registered backend servers."""

    by_name: dict[str, BackendServer] = attrs.field(factory=dict)
    # Groups of which a server has reported a work time; the rules for overload apply to them.
    timed_groups: set[str] = attrs.field(factory=set)
    leaving: LeavingServers = attrs.field(factory=LeavingServers)
    # Groups by name, and by name and software versions.
    _groups: dict[tuple[str, frozenset[str] | None], GroupServers] = attrs.field(
        factory=dict, init=False
    )
    _versions: dict[str, frozenset[str]] = attrs.field(factory=dict, init=False)  # by group

    def find_accepting(self, group: str, versions: frozenset[str] | None = None) -> GroupServers:
        """
        Return the servers of a group that accept new requests.

        :param group: name of the backend group
        :param versions: software versions of the servers, None for all
        :return: servers that are registered, not draining, and have not said that they leave
        """
        if versions is not None and self.find_versions(group) <= versions:
            versions = None  # the usual case; the same servers, built once
        if (group, versions) not in self._groups:
            servers = self.by_name.values()
            found = [
                server
                for server in servers
                if server.record.group == group
                and not server.record.draining
                and server.record not in self.leaving
                and (versions is None or server.record.software_version in versions)
            ]
            self._groups[group, versions] = GroupServers.build(found)
        return self._groups[group, versions]

    def find_versions(self, group: str) -> frozenset[str]:
        """
        Find the software versions of a group.

        :param group: name of the backend group
        :return: versions of all registered servers, also of those that accept no requests
        """
        if group not in self._versions:
            records = [server.record for server in self.by_name.values()]
            self._versions[group] = frozenset(
                record.software_version for record in records if record.group == group
            )
        return self._versions[group]

    def record_leaving(self, name: str, started_ms: int) -> bool:
        """
        Record that an incarnation of a server has said that it leaves; nothing takes this back.

        :param name: name of the server, which need not be registered yet
        :param started_ms: wall-clock time of the start of the incarnation
        :return: whether it is news
        """
        if not started_ms and name not in self.by_name:
            return False  # nothing would tell it from a later incarnation
        is_new = self.leaving.add(name, started_ms)
        if is_new:
            self._groups.clear()
        return is_new

    def update_ranks(self, group: str) -> None:
        """
        Rank the servers of a group again after their speed has changed.

        :param group: name of the backend group
        """
        for key, servers in self._groups.items():
            if key[0] == group:
                self._groups[key] = servers.rank_again()

    def replace(self, records: Iterable[ServerRecord], now_ms: int) -> list[BackendServer]:
        """
        Replace the list of registered servers.

        :param records: records of all registered servers
        :param now_ms: monotonic time in milliseconds
        :return: removed incarnations, whose state is dropped from the table
        """
        self._groups.clear()
        self._versions.clear()
        removed = []
        named = {record.name: record for record in records}
        self.timed_groups &= {record.group for record in named.values()}
        for name, server in list(self.by_name.items()):
            record = named.get(name)
            if record is None or _is_other_incarnation(server.record, record):
                removed.append(self.by_name.pop(name))
                if not server.record.started_ms:  # its successor has the same name and no time
                    self.leaving.remove(server.record)
        for name, record in named.items():
            known = self.by_name.get(name)
            if known is None:
                self.by_name[name] = BackendServer(record, joined_ms=now_ms)
            else:
                known.record = _keep_draining(known.record, record)
        return removed


def _keep_draining(old: ServerRecord, new: ServerRecord) -> ServerRecord:
    """Keep a server draining if the store applied an older entry of its incarnation later."""
    is_older = old.started_ms > 0 and new.sequence <= old.sequence
    if is_older and old.draining and not new.draining:
        return old
    return new


def _is_other_incarnation(old: ServerRecord, new: ServerRecord) -> bool:
    return _get_identity(old) != _get_identity(new)


def _get_identity(record: ServerRecord) -> tuple[int, str, str, str]:
    """:return: what a server changes only by a restart"""
    return record.started_ms, record.address, record.group, record.software_version


__all__ = ["ServerTable"]
