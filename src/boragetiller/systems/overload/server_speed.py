"""
Estimate how long work takes at a backend server now, and how long it takes lastingly.

A server shares its host with other work, which multiplies its work time for half a second at a
time. The newest observation therefore says what the next prefill takes, and the smallest recent
one says what the host itself takes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.tables.server_speed import USUAL_WORK_TIME

if TYPE_CHECKING:
    from boragetiller.tables.server_speed import ServerSpeed

BUCKET_MS = 2_000  # the lasting value covers the current bucket and the one before: 2 to 4 s
CURRENT_MS = 500  # a work time changes after 600 ms
RETURN_MS = 500  # in which the current value returns to the lasting one
OBSERVATION_TTL_MS = 10_000  # without a newer observation the server counts as usual
RANK_STEP = 0.25  # engines differ by a factor of 2.4; smaller differences are noise
MIN_WORK_PERCENT, MAX_WORK_PERCENT = 1, 10_000  # values outside are malformed


def record_work_time(
    speed: ServerSpeed, work_time: float, observed_ms: int, now_ms: int, source: str = "response"
) -> None:
    """
    Record an observation.

    One that is older than the newest does not replace it, but counts for the lasting value, so
    that routers which receive the same observations in different order agree.

    :param speed: observations of the server
    :param work_time: work time relative to the usual
    :param observed_ms: monotonic time of the observation in milliseconds
    :param now_ms: monotonic time in milliseconds
    :param source: `response`, or the peer that reported it
    """
    observed_ms = min(observed_ms, now_ms)
    if now_ms - observed_ms >= OBSERVATION_TTL_MS:
        return
    _add_to_buckets(speed, work_time, observed_ms // BUCKET_MS)
    if speed.newest_ms is None or observed_ms >= speed.newest_ms:
        speed.newest, speed.newest_ms, speed.source = work_time, observed_ms, source


def _add_to_buckets(speed: ServerSpeed, work_time: float, bucket: int) -> None:
    if speed.newest_ms is None or bucket > speed.bucket + 1:
        speed.has_earlier = False
    elif bucket == speed.bucket + 1:
        speed.earlier_min, speed.has_earlier = speed.bucket_min, True
    elif bucket == speed.bucket:
        speed.bucket_min = min(speed.bucket_min, work_time)
        return
    elif bucket == speed.bucket - 1:
        known = speed.earlier_min if speed.has_earlier else work_time
        speed.earlier_min, speed.has_earlier = min(known, work_time), True
        return
    else:
        return
    speed.bucket, speed.bucket_min = bucket, work_time


def lasting_work_time(speed: ServerSpeed, now_ms: int) -> float:
    """
    Estimate the work time that lasts: the smallest one observed in the last 2 to 4 s.

    If there is none in that time, the last bucket with observations counts.

    :param speed: observations of the server
    :param now_ms: monotonic time in milliseconds
    :return: relative to the usual, 1.0 without an observation in OBSERVATION_TTL_MS
    """
    if speed.newest_ms is None or now_ms - speed.newest_ms >= OBSERVATION_TTL_MS:
        return USUAL_WORK_TIME
    if speed.has_earlier and now_ms // BUCKET_MS <= speed.bucket:
        return min(speed.bucket_min, speed.earlier_min)
    return speed.bucket_min


def current_work_time(speed: ServerSpeed, now_ms: int) -> float:
    """
    Estimate the work time of the next prefill and decode steps.

    :param speed: observations of the server
    :param now_ms: monotonic time in milliseconds
    :return: the newest observation for CURRENT_MS; it then returns linearly to the lasting value
    """
    if speed.newest_ms is None:
        return USUAL_WORK_TIME
    age_ms = now_ms - speed.newest_ms
    if age_ms <= CURRENT_MS:
        return speed.newest
    lasting = lasting_work_time(speed, now_ms)
    left_share = max(0.0, 1.0 - (age_ms - CURRENT_MS) / RETURN_MS)
    return lasting + left_share * (speed.newest - lasting)


def compute_rank_step(speed: ServerSpeed, now_ms: int) -> int:
    """
    Round the lasting work time for the ranking of servers.

    :param speed: observations of the server
    :param now_ms: monotonic time in milliseconds
    :return: number of steps of RANK_STEP
    """
    return math.floor(lasting_work_time(speed, now_ms) / RANK_STEP + 0.5)


__all__ = [
    "MAX_WORK_PERCENT",
    "MIN_WORK_PERCENT",
    "OBSERVATION_TTL_MS",
    "RANK_STEP",
    "compute_rank_step",
    "current_work_time",
    "lasting_work_time",
    "record_work_time",
]
