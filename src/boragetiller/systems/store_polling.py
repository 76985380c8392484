"""
Schedule the polling of the store and share it between routers.

Watches on the store may stop delivering changes without an error; polling finds the missed
changes. The router that polled relays what it found, so one poll serves all routers that are
connected, and the load on the store does not grow with their number. A router without peers polls
by itself.
"""

from __future__ import annotations

import attrs

POLL_INTERVAL_MS = 2_500  # half of the allowed delay of a change while the store is unstable
POLL_JITTER_MS = 800  # eight report intervals, so that the others learn of the first router's poll


@attrs.define
class StorePollSchedule:
    """Time of the last known poll of the store by any router."""

    own_polls: int = 0  # number of polls of this router
    last_ms: int = 0  # monotonic time of the last known poll of any router
    peer_polls: dict[str, int] = attrs.field(factory=dict)  # number of polls by peer name

    def record_own_poll(self, now_ms: int) -> None:
        """Record a poll of this router; `now_ms` is monotonic time in milliseconds."""
        self.own_polls += 1
        self.last_ms = now_ms

    def record_peer_polls(self, peer: str, count: int, now_ms: int) -> None:
        """
        Record the number of polls that a peer reports.

        A changed number means a new poll; the first report of a peer says nothing about when its
        polls took place.

        :param peer: name of the peer
        :param count: total number of its polls
        :param now_ms: monotonic time in milliseconds
        """
        if peer in self.peer_polls and self.peer_polls[peer] != count:
            self.last_ms = now_ms
        self.peer_polls[peer] = count

    def compute_wait_ms(self, jitter: float, now_ms: int) -> float:
        """
        Compute how long this router waits for a poll by another router before it polls itself.

        :param jitter: 0 to 1, random for each poll
        :param now_ms: monotonic time in milliseconds
        :return: milliseconds until this router polls, 0 or less if the poll is due
        """
        return self.last_ms + POLL_INTERVAL_MS + jitter * POLL_JITTER_MS - now_ms


__all__ = ["StorePollSchedule"]
