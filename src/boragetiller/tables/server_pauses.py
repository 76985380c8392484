"""Pauses that backend servers ask this router for when they refuse a request."""

from __future__ import annotations

import attrs

from boragetiller.tables.servers import Incarnation


@attrs.define(kw_only=True)
class ServerPause:
    """Pause of one incarnation."""

    group: str
    began_ms: int  # monotonic time of the first response that asked for it
    until_ms: int  # monotonic time
    replaced: bool = False  # whether another incarnation is registered under the name


@attrs.define
class ServerPauseTable:
    """
    Pauses by incarnation.

    A pause stays here when its server leaves the list, because an entry of the same incarnation
    may come back from a peer or a restored store.
    """

    by_incarnation: dict[Incarnation, ServerPause] = attrs.field(factory=dict)


__all__ = ["ServerPause", "ServerPauseTable"]
