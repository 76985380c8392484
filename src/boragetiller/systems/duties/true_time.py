"""
Estimate the true time from the wall clocks of all routers.

All routers must assign a request at a given moment to the same window, also while the wall clocks
of some of them are wrong. Each wall clock is expressed as its distance from this router's monotonic
clock, and the median of the distances decides which one is right. A jump of a clock thus changes
one of the values at once, and old samples of the others stay valid.

Reports take time to arrive, so the clocks of peers seem to be late. While the own clock agrees with
the median, it is used itself, and after a jump the distance from before it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.usage import PeerClock

if TYPE_CHECKING:
    from boragetiller.tables.usage import TrueTime

# Above the delay of reports and what the correction of a clock's rate changes between two of them.
TOLERANCE_MS = 100
JUMP_HOLD_MS = 30_000  # for which a jump of the only clock is not followed
PEER_CLOCK_TTL_MS = 30_000  # a peer reports in each window; a clock's rate is off by 2 ms in 30 s


def record_peer_clock(time: TrueTime, peer: str, wall_clock_ms: int, now_ms: int) -> None:
    """
    Record the wall-clock time in a report of a peer.

    :param time: the estimate
    :param peer: name of the peer
    :param wall_clock_ms: its time since the epoch when it built the report
    :param now_ms: monotonic time in milliseconds
    """
    clock = time.peers.setdefault(peer, PeerClock())
    clock.samples_ms.append(wall_clock_ms - now_ms)
    clock.heard_ms = now_ms


def compute_true_time(time: TrueTime, wall_clock_ms: int, now_ms: int) -> int:
    """
    Compute the true time, and remember it as the reference for jumps.

    :param time: the estimate
    :param wall_clock_ms: this router's time since the epoch
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds since the epoch
    """
    _remove_silent_peers(time, now_ms)
    own_ms = wall_clock_ms - now_ms
    if time.offset_ms is None and not time.peers:
        time.offset_ms = own_ms
    elif time.peers:
        time.jumped_ms = None
        offsets = [max(clock.samples_ms) for clock in time.peers.values()]
        median_ms = _choose_median([own_ms, *offsets], time.offset_ms)
        time.offset_ms = _refine(median_ms, own_ms, time.offset_ms)
    else:
        time.offset_ms = _follow_own_clock(time, own_ms, now_ms)
    return now_ms + time.offset_ms


def _remove_silent_peers(time: TrueTime, now_ms: int) -> None:
    silent = [
        name for name, clock in time.peers.items() if now_ms - clock.heard_ms > PEER_CLOCK_TTL_MS
    ]
    for name in silent:
        del time.peers[name]


def _choose_median(offsets_ms: list[int], last_ms: int | None) -> int:
    """
    Choose the median; of the middle two of an even number the one that is closer to the last one.

    With two clocks, neither is in the majority; the one that did not jump is then chosen.
    """
    offsets_ms.sort()
    lower, upper = offsets_ms[(len(offsets_ms) - 1) // 2], offsets_ms[len(offsets_ms) // 2]
    if last_ms is None or abs(lower - last_ms) <= abs(upper - last_ms):
        return lower
    return upper


def _refine(median_ms: int, own_ms: int, last_ms: int | None) -> int:
    """:return: a distance that agrees with the median and has no delay of reports in it"""
    for offset_ms in (own_ms, last_ms):
        if offset_ms is not None and abs(offset_ms - median_ms) <= TOLERANCE_MS:
            return offset_ms
    return median_ms


def _follow_own_clock(time: TrueTime, own_ms: int, now_ms: int) -> int:
    assert time.offset_ms is not None
    if abs(own_ms - time.offset_ms) <= TOLERANCE_MS:
        time.jumped_ms = None
        return own_ms
    if time.jumped_ms is None:
        time.jumped_ms = now_ms
    if now_ms - time.jumped_ms < JUMP_HOLD_MS:
        return time.offset_ms
    time.jumped_ms = None
    return own_ms


__all__ = ["compute_true_time", "record_peer_clock"]
