"""What other routers have under way, by router."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.tables.servers import BackendServer, PeerLoad


@attrs.frozen
class IncarnationLoad:
    """A router's load at one incarnation of a backend server."""

    server: BackendServer
    load: PeerLoad


@attrs.define
class PeerLoads:
    """The work of one router, as it told it last."""

    last_report_ms: int  # monotonic time of its last report
    is_counted: bool = True  # whether the servers' sums contain it
    loads: dict[str, IncarnationLoad] = attrs.field(factory=dict)  # by name of the server


@attrs.define
class PeerLoadTable:
    """The work of all routers that were heard, the one silent for longest first."""

    by_peer: OrderedDict[str, PeerLoads] = attrs.field(factory=OrderedDict)

    def oldest_report_ms(self, now_ms: int) -> int:
        """
        Tell the age of the oldest report that counts.

        :param now_ms: monotonic time in milliseconds
        :return: age in milliseconds, 0 without reports
        """
        for work in self.by_peer.values():
            if work.is_counted:
                return now_ms - work.last_report_ms
        return 0


__all__ = ["PeerLoads", "PeerLoadTable", "IncarnationLoad"]
