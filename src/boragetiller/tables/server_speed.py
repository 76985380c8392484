"""How long work takes at a backend server, relative to the usual."""

from __future__ import annotations

import attrs

USUAL_WORK_TIME = 1.0


@attrs.define(eq=False)
class ServerSpeed:
    """Observed work times of one incarnation of a backend server; 1.0 is the usual work time."""

    newest: float = USUAL_WORK_TIME
    newest_ms: int | None = None  # monotonic time of the newest observation, None without any
    source: str = ""  # of the newest observation: `response`, or the peer that reported it
    bucket: int = 0  # number of the bucket of time that contains the newest observation
    bucket_min: float = USUAL_WORK_TIME  # smallest value observed in that bucket
    earlier_min: float = USUAL_WORK_TIME  # smallest value of the bucket before, if it has any
    has_earlier: bool = False
    rank_step: int = 4  # lasting work time in steps of RANK_STEP, as last ranked; 4 is 1.0


__all__ = ["USUAL_WORK_TIME", "ServerSpeed"]
