"""Backend servers of a group that take new work, with what a choice between them needs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import stable_hash
from boragetiller.tables.servers import BackendServer

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKETS = 32  # by a hash of the name; an owner is looked for in one of them


@attrs.frozen(eq=False)
class GroupServers:
    """Made anew when the list of servers changes, and not for each choice."""

    servers: tuple[BackendServer, ...]
    by_domain: dict[str, tuple[BackendServer, ...]]
    reservation_ranks: dict[str, int]  # by name; the first ones are kept for sensitive streams
    buckets: tuple[tuple[BackendServer, ...], ...]

    @classmethod
    def of(cls, servers: Iterable[BackendServer]) -> GroupServers:
        """
        Prepare a group.

        :param servers: those that take new work
        :return: the group
        """
        found = tuple(servers)
        domains: dict[str, list[BackendServer]] = {}
        buckets: tuple[list[BackendServer], ...] = tuple([] for _ in range(BUCKETS))
        for server in found:
            domains.setdefault(server.record.failure_domain, []).append(server)
            buckets[server.name_hash % BUCKETS].append(server)
        ranked = sorted(found, key=lambda server: stable_hash("quiet", server.name))
        return cls(
            servers=found,
            by_domain={name: tuple(members) for name, members in domains.items()},
            reservation_ranks={server.name: rank for rank, server in enumerate(ranked)},
            buckets=tuple(tuple(bucket) for bucket in buckets),
        )


__all__ = ["BUCKETS", "GroupServers"]
