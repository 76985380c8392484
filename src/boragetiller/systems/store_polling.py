"""
Share the plain reads of the store between routers.

Answers a store whose watches hear nothing: a plain read finds what they missed, and the router that
made it tells the others. So one read serves all routers that hear each other, and the store's load
does not grow with their number. A router that hears nobody reads for itself.
"""

from __future__ import annotations

import attrs

POLL_INTERVAL_MS = 2_500  # a missed change is found within half of the bound for an unstable store
POLL_JITTER_MS = (
    800  # eight report intervals, so that the first router to read keeps the others from it
)


@attrs.define
class StorePollSchedule:
    """When the store was last read, as far as this router knows."""

    own_polls: int = 0  # plain reads of this router
    last_ms: int = 0  # monotonic time of the last one of any router
    peer_polls: dict[str, int] = attrs.field(factory=dict)

    def record_own_poll(self, now_ms: int) -> None:
        """Note a read of this router; `now_ms` is monotonic."""
        self.own_polls += 1
        self.last_ms = now_ms

    def record_peer_polls(self, peer: str, count: int, now_ms: int) -> None:
        """
        Note how many reads a peer has made.

        :param peer: its name
        :param count: as its report tells
        :param now_ms: monotonic time in milliseconds
        """
        if peer in self.peer_polls and self.peer_polls[peer] != count:
            self.last_ms = now_ms
        self.peer_polls[peer] = count

    def wait_ms(self, jitter: float, now_ms: int) -> float:
        """
        Tell how long this router leaves the next read to others.

        :param jitter: 0 to 1, drawn anew for each read
        :param now_ms: monotonic time in milliseconds
        :return: time until it reads itself, 0 or less when it should read now
        """
        return self.last_ms + POLL_INTERVAL_MS + jitter * POLL_JITTER_MS - now_ms


__all__ = ["StorePollSchedule"]
