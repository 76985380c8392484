"""
Share the watches on the list of backend servers between routers.

Answers many servers before many routers: each heartbeat that changes an entry answers each watch on
the list, so the store's load grows with servers x routers. Some routers watch and send the others
what changed. They are the first by a hash of their names among those that reach the store, so each
router finds them by itself; one that hears nobody watches for itself.
"""

from __future__ import annotations

import attrs

from boragetiller.hashing import stable_hash

WATCHERS = 4  # all of a small fleet; of a large one, more than a cut of a third of it takes at once
STORE_REPORT_TTL_MS = 1_500  # reports come every 500 ms at least


@attrs.define
class WatcherElection:
    """Which routers reach the store, as far as this router knows."""

    own_name: str
    store_report_ms: dict[str, int] = attrs.field(factory=dict)  # of peers that reach it, by name
    own_store_reachable: bool = False

    def record_peer(self, peer: str, now_ms: int, *, reaches_store: bool) -> None:
        """
        Note what a peer reports.

        :param peer: its name
        :param now_ms: monotonic time in milliseconds
        :param reaches_store: whether its calls to the store are answered
        """
        if reaches_store:
            self.store_report_ms[peer] = now_ms
        else:
            self.store_report_ms.pop(peer, None)

    def remove_peer(self, peer: str) -> None:
        """:param peer: name of a router that is not heard any more"""
        self.store_report_ms.pop(peer, None)

    def is_watcher(self, now_ms: int) -> bool:
        """
        Tell whether this router watches the list itself.

        :param now_ms: monotonic time in milliseconds
        :return: whether fewer than WATCHERS others come before it
        """
        own_rank = _rank(self.own_name)
        others = [
            name
            for name, heard in self.store_report_ms.items()
            if now_ms - heard < STORE_REPORT_TTL_MS
        ]
        return sum(1 for name in others if _rank(name) < own_rank) < WATCHERS


def _rank(name: str) -> tuple[int, str]:
    return stable_hash("watch", name), name


__all__ = ["WATCHERS", "WatcherElection"]
