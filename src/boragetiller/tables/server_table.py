"""Table of the registered backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

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
    _groups: dict[str, GroupServers] = attrs.field(factory=dict, init=False)

    def find_accepting(self, group: str) -> GroupServers:
        """
        Return the servers of a group that accept new requests.

        :param group: name of the backend group
        :return: servers that are registered and not draining
        """
        if group not in self._groups:
            servers = self.by_name.values()
            found = [s for s in servers if s.record.group == group and not s.record.draining]
            self._groups[group] = GroupServers.build(found)
        return self._groups[group]

    def update_ranks(self, group: str) -> None:
        """
        Rank the servers of a group again after their speed has changed.

        :param group: name of the backend group
        """
        if group in self._groups:
            self._groups[group] = self._groups[group].rank_again()

    def replace(self, records: Iterable[ServerRecord], now_ms: int) -> list[BackendServer]:
        """
        Replace the list of registered servers.

        :param records: records of all registered servers
        :param now_ms: monotonic time in milliseconds
        :return: removed incarnations, whose state is dropped from the table
        """
        self._groups.clear()
        removed = []
        named = {record.name: record for record in records}
        self.timed_groups &= {record.group for record in named.values()}
        for name, server in list(self.by_name.items()):
            record = named.get(name)
            if record is None or _is_other_incarnation(server.record, record):
                removed.append(self.by_name.pop(name))
        for name, record in named.items():
            known = self.by_name.get(name)
            if known is None:
                self.by_name[name] = BackendServer(record, joined_ms=now_ms)
            else:
                known.record = record
        return removed


def _is_other_incarnation(old: ServerRecord, new: ServerRecord) -> bool:
    return (old.started_ms, old.address, old.group) != (new.started_ms, new.address, new.group)


__all__ = ["ServerTable"]
