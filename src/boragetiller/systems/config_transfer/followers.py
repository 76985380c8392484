"""
Decide which routers follow the configuration in the store themselves.

A watch returns every version of the configuration, each of them whole. On a narrow link a large
one takes a second or more, in which calls and their servers wait for the link, and a series of
changes arrives later and later. Such a router leaves the watch to routers on wider links and gets
the newest version from one of them in compact form. If no link of the fleet is wide enough, a few
routers follow all the same.
"""

from __future__ import annotations

import attrs

from boragetiller.hashing import stable_hash

QUICK_SHARE = 0.1  # of the deadline of a change; a longer transfer counts as slow
MIN_FOLLOWERS = 3  # that a router must know before it leaves the watch to them
FOLLOWER_TTL_MS = 1_500  # a router sends a report at least every 500 ms
MAX_GROWTH = 1.5  # of a configuration by one change; two versions are longer
RESPONSE_BYTES = 4_096  # of a response beside the value
BASE64_RATIO = 4 / 3  # of the bytes in a response of the store to those of the value


@attrs.frozen(kw_only=True)
class _Follower:
    """A peer that follows the configuration."""

    reported_ms: int
    is_quick: bool


@attrs.define
class ConfigFollowers:
    """The routers that follow the configuration, as one router knows them."""

    own_name: str
    deadline_ms: float  # within which a change must be in force
    link_bytes_per_s: float | None  # of this router; None if it is not known
    value_bytes: int = 0  # size of the newest known configuration
    _followers: dict[str, _Follower] = attrs.field(factory=dict)

    def estimate_transfer_ms(self) -> float:
        """:return: milliseconds that a response of the store with the configuration takes"""
        if not self.link_bytes_per_s:
            return 0.0
        return 1_000 * BASE64_RATIO * self.value_bytes / self.link_bytes_per_s

    def estimate_longest_change_bytes(self) -> int:
        """:return: bytes of a response with one new version, which may be larger than the last"""
        return int(MAX_GROWTH * BASE64_RATIO * self.value_bytes) + RESPONSE_BYTES

    @property
    def is_quick(self) -> bool:
        """:return: whether this router can follow without a notable share of its link"""
        return self.estimate_transfer_ms() <= QUICK_SHARE * self.deadline_ms

    def record_peer(self, peer: str, now_ms: int, *, follows: bool, is_quick: bool) -> None:
        """
        Record a report of a peer.

        :param peer: name of the peer
        :param now_ms: monotonic time in milliseconds
        :param follows: whether it follows the configuration, and reaches the store
        :param is_quick: whether a transfer of the configuration takes it little time
        """
        if follows:
            self._followers[peer] = _Follower(reported_ms=now_ms, is_quick=is_quick)
        else:
            self.remove_peer(peer)

    def remove_peer(self, peer: str) -> None:
        """:param peer: name of a router that no longer sends reports"""
        self._followers.pop(peer, None)

    def must_follow(self, now_ms: int) -> bool:
        """
        Decide whether this router follows the configuration in the store itself.

        :param now_ms: monotonic time in milliseconds
        :return: False only if enough routers that rank before it do
        """
        if self.is_quick:
            return True
        own_rank = _rank(self.own_name, is_quick=False)
        preferred = [
            name
            for name, peer in self._followers.items()
            if now_ms - peer.reported_ms < FOLLOWER_TTL_MS
            and _rank(name, is_quick=peer.is_quick) < own_rank
        ]
        return len(preferred) < MIN_FOLLOWERS


def _rank(name: str, *, is_quick: bool) -> tuple[bool, int, str]:
    return not is_quick, stable_hash("config", name), name


__all__ = ["FOLLOWER_TTL_MS", "MIN_FOLLOWERS", "ConfigFollowers"]
