"""Pauses that backend servers ask this router for when they refuse a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

if TYPE_CHECKING:
    from boragetiller.tables.servers import ServerRecord


class Incarnation(NamedTuple):
    """What tells an incarnation of a server from others under the same name."""

    name: str
    started_ms: int  # wall-clock time of its start, 0 if not given
    address: str

    @classmethod
    def of(cls, record: ServerRecord) -> Incarnation:
        """
        Build the key of a registration.

        :param record: the registration
        :return: the key of its incarnation
        """
        return cls(record.name, record.started_ms, record.address)


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


__all__ = ["Incarnation", "ServerPause", "ServerPauseTable"]
