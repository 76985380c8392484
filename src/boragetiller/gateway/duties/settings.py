"""Settings of duties."""

from __future__ import annotations

import attrs

from boragetiller.gateway.endpoint import Endpoint
from boragetiller.tables.duties import DutyKind


@attrs.frozen(kw_only=True)
class DutySettings:
    """Which duties there are, and their limits."""

    api: Endpoint  # of the platform, which receives the calls of the duties
    kinds: tuple[DutyKind, ...]
    unknown_kinds: tuple[str, ...] = ()  # ignored
    calls_per_s: float  # limit of the API for all routers together
    lease_ms: int
    thaw_slack_ms: int  # calls that arrive so soon after the end of a freeze are not counted
    window_ms: int  # length of the windows of usage reports
    usage_tolerance: float  # relative error of a count that is accepted
    usage_late_ms: int  # time after the end of a window in which its report must arrive


__all__ = ["DutySettings"]
