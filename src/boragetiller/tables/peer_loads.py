"""Load of other routers at the backend servers, by router."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from boragetiller.tables.servers import BackendServer, PeerLoad


@attrs.frozen
class IncarnationLoad:
    """Load of a router at one incarnation of a backend server."""

    server: BackendServer
    load: PeerLoad


@attrs.define
class PeerLoads:
    """Loads of one router as of its last report."""

    last_report_ms: int  # monotonic time
    is_counted: bool = True  # whether the sums at the servers include the loads
    loads: dict[str, IncarnationLoad] = attrs.field(factory=dict)  # by server name


@attrs.define
class PeerLoadTable:
    """Loads of all routers that sent reports, in order of their last report."""

    by_peer: OrderedDict[str, PeerLoads] = attrs.field(factory=OrderedDict)

    def oldest_report_ms(self, now_ms: int) -> int:
        """
        Compute the age of the oldest report that is included in the sums.

        :param now_ms: monotonic time in milliseconds
        :return: age in milliseconds, 0 if none is included
        """
        for peer_loads in self.by_peer.values():
            if peer_loads.is_counted:
                return now_ms - peer_loads.last_report_ms
        return 0


__all__ = ["IncarnationLoad", "PeerLoadTable", "PeerLoads"]
