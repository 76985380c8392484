"""
Elect the routers that watch the list of backend servers.

Each heartbeat that changes an entry of the list triggers every watch on it, so the load on the
store grows with servers x routers. Therefore only a few routers watch and relay the changes to the
others. Every router derives the watchers from the load reports: the routers with the lowest name
hashes among those that reach the store. A router without peers watches the list itself.
"""

from __future__ import annotations

import attrs

from boragetiller.hashing import stable_hash

# All routers of a small fleet watch. In a large one, losing a third hardly ever takes all watchers.
WATCHERS = 4
STORE_REPORT_TTL_MS = 1_500  # a router sends a report at least every 500 ms


@attrs.define
class WatcherElection:
    """State of the election at one router: the routers that are known to reach the store."""

    own_name: str
    list_ttl_ms: int = 2_000  # longest time between two responses to a router that watches the list
    store_report_ms: dict[str, int] = attrs.field(factory=dict)  # last report, by name of the peer
    own_store_reachable: bool = False
    own_list_ms: int | None = None  # last response of the store to a call for the list

    def record_peer(self, peer: str, now_ms: int, *, reaches_store: bool) -> None:
        """
        Record a report of a peer.

        :param peer: name of the peer
        :param now_ms: monotonic time in milliseconds
        :param reaches_store: whether the store responds to the peer's requests
        """
        if reaches_store:
            self.store_report_ms[peer] = now_ms
        else:
            self.store_report_ms.pop(peer, None)

    def remove_peer(self, peer: str) -> None:
        """:param peer: name of a router that no longer sends reports"""
        self.store_report_ms.pop(peer, None)

    def has_current_list(self, now_ms: int) -> bool:
        """
        Check whether changes of the list of servers reach this router.

        :param now_ms: monotonic time in milliseconds
        :return: whether the store responded lately, or a peer said that it reaches the store
        """
        is_own = self.own_list_ms is not None and now_ms - self.own_list_ms <= self.list_ttl_ms
        return is_own or any(
            now_ms - report_ms < STORE_REPORT_TTL_MS for report_ms in self.store_report_ms.values()
        )

    def is_watcher(self, now_ms: int) -> bool:
        """
        Check whether this router is one of the watchers.

        :param now_ms: monotonic time in milliseconds
        :return: whether fewer than WATCHERS other routers that reach the store rank before it
        """
        own_rank = _rank(self.own_name)
        others = [
            name
            for name, report_ms in self.store_report_ms.items()
            if now_ms - report_ms < STORE_REPORT_TTL_MS
        ]
        return sum(1 for name in others if _rank(name) < own_rank) < WATCHERS


def _rank(name: str) -> tuple[int, str]:
    return stable_hash("watch", name), name


__all__ = ["WATCHERS", "WatcherElection"]
