"""Membership state of the processes with which a node exchanges control messages."""

from __future__ import annotations

from enum import Enum

import attrs

from boragetiller.platform_clients.hosts import Host


class MemberState(Enum):
    """State of a host as decided by this node."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"


@attrs.define(kw_only=True)
class Member:
    """A process in the subset or among the peers; times are monotonic milliseconds."""

    host: Host
    last_contact_ms: int  # last connection or heartbeat; time of the first listing before any
    incarnation: int = 0
    connected: bool = False
    connection_lost: bool = False  # the connection broke and is not re-established
    listed: bool = True
    draining: bool = False
    announced_stop: bool = False  # this incarnation sent a goodbye message
    in_records: bool = True
    watched: bool = True  # this node keeps a connection to it
    state: MemberState = MemberState.GONE
    kept_by_floor: bool = False  # suspected, but still a candidate because too few are live

    def is_candidate(self) -> bool:
        """:return: whether new requests may be sent to this member"""
        return self.state is MemberState.LIVE or self.kept_by_floor


@attrs.define
class MemberTable:
    """Members by name, and the accepted hosts of the host list by name."""

    members: dict[str, Member] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)
    incomplete_list_since_ms: int | None = None  # first reading that lacked too many hosts


@attrs.frozen
class StateChange:
    """A change of a member's state; the old state of a new member is GONE."""

    name: str
    old: MemberState
    new: MemberState


__all__ = ["Member", "MemberState", "MemberTable", "StateChange"]
