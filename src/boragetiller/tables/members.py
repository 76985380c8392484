"""What a node knows of the processes that it exchanges control messages with."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.platform.hosts import Host


class MemberState(Enum):
    """What a node believes of a host."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.define(kw_only=True)
class Member:
    """One process in the subset or among the peers; times are monotonic milliseconds."""

    host: Host
    last_contact_ms: int  # last sign of life; when first listed, if there was none yet
    incarnation: int = 0
    connected: bool = False
    connection_lost: bool = False  # the connection broke and was not made again
    listed: bool = True
    draining: bool = False
    announced_stop: bool = False  # this incarnation said goodbye
    in_records: bool = True
    watched: bool = True  # this node wants a connection
    state: MemberState = MemberState.GONE
    kept_by_floor: bool = False  # suspected, and a candidate for lack of better ones

    def is_candidate(self) -> bool:
        """:return: whether new work may be sent there"""
        return self.state is MemberState.LIVE or self.kept_by_floor


@attrs.define
class MemberTable:
    """Watched members by name, and the host list as far as it is believed."""

    members: dict[str, Member] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)
    incomplete_list_since_ms: int | None = None  # the list shrank too much at once to be believed


@attrs.frozen
class StateChange:
    """A member's state changed; a new member was GONE before."""

    name: str
    old: MemberState
    new: MemberState


__all__ = ["Member", "MemberState", "MemberTable", "StateChange"]
