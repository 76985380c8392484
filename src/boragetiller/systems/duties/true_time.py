"""
Estimate the true time from the wall clocks of all routers.

All routers must assign a request at a given moment to the same window, also while the wall clocks
of some of them are wrong. Each wall clock is expressed as its distance from this router's clock of
the time since boot, which never jumps, and the median of the distances is used. A clock that jumps
votes with its distance from before the jump until the jump has lasted JUMP_HOLD_MS.

Reports take time to arrive, so the clocks of peers seem to be late. As long as the own clock agrees
with the median, it is used itself, and otherwise the last true time if that agrees.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.usage import CLOCK_SAMPLES, RouterClock

if TYPE_CHECKING:
    from boragetiller.tables.usage import TrueTime

# Above the delay of reports and what the correction of a clock's rate changes between two of them.
TOLERANCE_MS = 100
OWN_STEP_MS = 20  # the own clock is read without delay; its rate is off by far less
JUMP_HOLD_MS = 30_000
PEER_CLOCK_TTL_MS = 30_000  # a peer reports in each window; a clock's rate is off by 2 ms in 30 s


def record_peer_clock(time: TrueTime, peer: str, wall_clock_ms: int, now_ms: int) -> None:
    """
    Record the wall-clock time in a report of a peer.

    :param time: the estimate
    :param peer: name of the peer
    :param wall_clock_ms: its time since the epoch when it built the report
    :param now_ms: time since boot in milliseconds
    """
    clock = time.peers.setdefault(peer, RouterClock())
    clock.samples_ms.append(wall_clock_ms - now_ms)
    clock.heard_ms = now_ms
    if len(clock.samples_ms) < CLOCK_SAMPLES:
        clock.offset_ms = max(clock.samples_ms)  # the first reports of a new router may be late
    else:
        _follow(clock, max(clock.samples_ms[-1], clock.samples_ms[-2]), now_ms, TOLERANCE_MS)


def compute_true_time(time: TrueTime, wall_clock_ms: int, now_ms: int) -> int:
    """
    Compute the true time, and remember it as the reference for clocks without a majority.

    :param time: the estimate
    :param wall_clock_ms: this router's time since the epoch
    :param now_ms: time since boot in milliseconds
    :return: milliseconds since the epoch
    """
    _remove_silent_peers(time, now_ms)
    _follow(time.own, wall_clock_ms - now_ms, now_ms, OWN_STEP_MS)
    offsets = [clock.offset_ms for clock in (time.own, *time.peers.values())]
    known = [offset_ms for offset_ms in offsets if offset_ms is not None]
    median_ms = _choose_median(known, time.offset_ms)
    time.offset_ms = _refine(median_ms, time.own.offset_ms, time.offset_ms)
    return now_ms + time.offset_ms


def _follow(clock: RouterClock, offset_ms: int, now_ms: int, step_ms: int) -> None:
    """Follow a clock, and one that steps further only after a while."""
    if clock.offset_ms is None or abs(offset_ms - clock.offset_ms) <= step_ms:
        clock.offset_ms, clock.jumped_ms = offset_ms, None
        return
    if clock.jumped_ms is None:
        clock.jumped_ms = now_ms
    if now_ms - clock.jumped_ms >= JUMP_HOLD_MS:
        clock.offset_ms, clock.jumped_ms = offset_ms, None


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


def _refine(median_ms: int, own_ms: int | None, last_ms: int | None) -> int:
    """:return: a distance that agrees with the median and has no delay of reports in it"""
    known = [offset_ms for offset_ms in (own_ms, last_ms) if offset_ms is not None]
    offset_ms = min(known, key=lambda each_ms: abs(each_ms - median_ms))
    return offset_ms if abs(offset_ms - median_ms) <= TOLERANCE_MS else median_ms


__all__ = ["compute_true_time", "record_peer_clock"]
