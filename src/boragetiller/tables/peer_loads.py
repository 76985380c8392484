"""What other routers have under way, by router."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.tables.servers import BackendServer, PeerLoad


@attrs.frozen
class PlacedLoad:
    """A router's load at one incarnation of a backend server."""

    server: BackendServer
    load: PeerLoad


@attrs.define
class PeerWork:
    """The work of one router, as it told it last."""

    heard_ms: int  # monotonic time of its last report
    counted: bool = True  # whether the servers' sums contain it
    loads: dict[str, PlacedLoad] = attrs.field(factory=dict)  # by name of the server


@attrs.define
class PeerWorkTable:
    """The work of all routers that were heard, the one silent for longest first."""

    by_peer: OrderedDict[str, PeerWork] = attrs.field(factory=OrderedDict)

    def oldest_report_ms(self, now_ms: int) -> int:
        """
        Tell the age of the oldest report that counts.

        :param now_ms: monotonic time in milliseconds
        :return: age in milliseconds, 0 without reports
        """
        for work in self.by_peer.values():
            if work.counted:
                return now_ms - work.heard_ms
        return 0


__all__ = ["PeerWork", "PeerWorkTable", "PlacedLoad"]
