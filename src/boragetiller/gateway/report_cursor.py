"""Position of a router in the state that it reports to its peers."""

from __future__ import annotations

import attrs

from boragetiller.gateway.peer_reports import ReportedLoad
from boragetiller.tables.usage import UsageCursor


@attrs.define
class ReportCursor:
    """Position up to which prompts, failures and loads have been reported on a connection."""

    prompts: int = 0
    failures: int = 0
    part_crashes: int = 0
    limits: int = 0
    removals: int = 0
    announcements: int = 0
    speeds: int = 0
    latencies: int = 0
    loads: dict[str, ReportedLoad] = attrs.field(factory=dict)  # by server, without idle ones
    usage: UsageCursor = attrs.field(factory=UsageCursor)


__all__ = ["ReportCursor"]
