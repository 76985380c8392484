"""Backend servers of a group that accept new requests, with indexes for placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.tables.servers import BackendServer

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKETS = 32  # by a hash of the server name; the search for an owner ranks one bucket's servers


@attrs.frozen(eq=False)
class GroupServers:
    """Servers of a group with their indexes, rebuilt only when the list of servers changes."""

    servers: tuple[BackendServer, ...]
    by_domain: dict[str, tuple[BackendServer, ...]]
    reservation_ranks: dict[str, int]  # by name; the lowest are reserved for sensitive streams
    buckets: tuple[tuple[BackendServer, ...], ...]

    @classmethod
    def build(cls, servers: Iterable[BackendServer]) -> GroupServers:
        """
        Build the indexes of a group.

        :param servers: servers of the group that accept new requests
        :return: the group
        """
        found = tuple(servers)
        domains: dict[str, list[BackendServer]] = {}
        buckets: tuple[list[BackendServer], ...] = tuple([] for _ in range(BUCKETS))
        for server in found:
            domains.setdefault(server.record.failure_domain, []).append(server)
            buckets[server.name_hash % BUCKETS].append(server)
        return cls(
            servers=found,
            by_domain={name: tuple(members) for name, members in domains.items()},
            reservation_ranks=_rank_servers(found),
            buckets=tuple(tuple(bucket) for bucket in buckets),
        )

    def rank_again(self) -> GroupServers:
        """:return: the group with ranks by the present speeds of its servers"""
        return attrs.evolve(self, reservation_ranks=_rank_servers(self.servers))


def _rank_servers(servers: tuple[BackendServer, ...]) -> dict[str, int]:
    """:return: ranks by name; the fastest servers come first, on all routers in the same order"""
    ranked = sorted(servers, key=lambda server: (server.speed.rank_step, server.reservation_hash))
    return {server.name: rank for rank, server in enumerate(ranked)}


__all__ = ["BUCKETS", "GroupServers"]
