"""
Choose the peer that a router asks for a configuration that it lacks.

A router asks one peer at a time. If each peer that knows a change sent it unasked, a large
configuration would arrive once for each peer, and occupy a narrow link for minutes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.hashing import stable_hash

if TYPE_CHECKING:
    from collections.abc import Collection

OWN_WATCH_MS = 300  # a router that follows the store itself asks only after this lag
RESPONSE_MS = 700  # report to the peer, its next interval and the way back, in a large fleet


@attrs.define
class ConfigRequests:
    """The request of one router, and since when it has lacked a change."""

    own_name: str
    asked: str | None = None  # name of the peer
    _behind_since_ms: int | None = None
    _asked_ms: int = 0
    _known_revision: int = 0
    _tries: int = 0

    def choose_peer(
        self,
        peers: Collection[str],
        revision: int,
        now_ms: int,
        *,
        follows: bool,
        transfer_ms: float,
    ) -> str | None:
        """
        Choose the peer to ask.

        :param peers: names of the peers that know a newer configuration
        :param revision: revision of the newest one that this router knows
        :param now_ms: monotonic time in milliseconds
        :param follows: whether this router follows the configuration in the store itself
        :param transfer_ms: time that a transfer over its link may take
        :return: name of the peer, None if no one is to be asked now
        """
        if not peers:
            self.asked = self._behind_since_ms = None
            self._tries = 0
            return None
        if revision != self._known_revision:  # an answer, or a change by another way
            self._known_revision, self.asked = revision, None
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if follows and now_ms - self._behind_since_ms < OWN_WATCH_MS:
            return None
        is_late = now_ms - self._asked_ms >= RESPONSE_MS + transfer_ms
        if self.asked not in peers or is_late:
            self.asked = self._pick(peers)
            self._asked_ms = now_ms
        return self.asked

    def _pick(self, peers: Collection[str]) -> str:
        """:return: a peer, another one at each try and for each router"""
        self._tries += 1
        others = [name for name in peers if name != self.asked] or list(peers)
        return min(
            others, key=lambda name: stable_hash("ask", self.own_name, name, str(self._tries))
        )


__all__ = ["OWN_WATCH_MS", "RESPONSE_MS", "ConfigRequests"]
