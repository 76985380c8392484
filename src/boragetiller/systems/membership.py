"""
Decide which hosts are live, suspected, leaving or gone.

Three sources can disagree: the host list, which lags; heartbeats over the control exchange; and
the operators' records. A host counts as leaving as soon as one source says so. It counts as gone
only when it is absent from the host list and also silent or stopping, or when this node neither
watches it nor is connected to it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from boragetiller.platform_clients.hosts import HostState
from boragetiller.tables.members import Member, MemberState, StateChange

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.platform_clients.hosts import Host
    from boragetiller.settings import ControlSettings
    from boragetiller.tables.members import MemberTable


def apply_host_list(
    table: MemberTable, hosts: Iterable[Host], settings: ControlSettings, now_ms: int
) -> None:
    """
    Apply a reading of the host list.

    A reading that lacks more than a share of the known hosts can add hosts and mark hosts as
    leaving. It removes hosts only after the shortage has lasted for a while.

    :param table: members of this node
    :param hosts: hosts of the reading
    :param settings: share of hosts that may be missing, and how long a shortage has to last
    :param now_ms: monotonic time in milliseconds
    """
    listed = {host.name: host for host in hosts}
    if _is_incomplete(table, listed, settings, now_ms):
        table.hosts = {**table.hosts, **listed}
    else:
        table.incomplete_list_since_ms = None
        table.hosts = listed
    for member in table.members.values():
        host = table.hosts.get(member.host.name)
        member.listed = host is not None
        member.host = host or member.host


def set_watched(table: MemberTable, names: Iterable[str], now_ms: int) -> None:
    """
    Set the listed hosts to which this node keeps a connection.

    :param table: members of this node
    :param names: hosts of the subset and the peers; other members receive no new requests and are
        removed once they are disconnected
    :param now_ms: monotonic time in milliseconds
    """
    wanted = set(names)
    for name in wanted:
        if name not in table.members and name in table.hosts:
            table.members[name] = Member(host=table.hosts[name], last_contact_ms=now_ms)
    for name, member in table.members.items():
        member.watched = name in wanted


def record_connected(table: MemberTable, name: str, incarnation: int, now_ms: int) -> bool:
    """
    Record a new control connection.

    :param table: members of this node
    :param name: name of the peer
    :param incarnation: incarnation of the peer's process
    :param now_ms: monotonic time in milliseconds
    :return: False if the peer is no member or the incarnation is outdated
    """
    member = _record_contact(table, name, incarnation, now_ms)
    if member is None:
        return False
    member.connected = True
    member.connection_lost = False
    return True


def record_heartbeat(
    table: MemberTable, name: str, incarnation: int, now_ms: int, *, draining: bool = False
) -> bool:
    """
    Record a heartbeat.

    :param table: members of this node
    :param name: name of the sender
    :param incarnation: incarnation of the sender's process
    :param now_ms: monotonic time in milliseconds
    :param draining: whether the sender refuses new requests
    :return: False if the sender is no member or the incarnation is outdated; drop the message then
    """
    member = _record_contact(table, name, incarnation, now_ms)
    if member is None:
        return False
    member.draining = draining
    return True


def record_goodbye(table: MemberTable, name: str, incarnation: int) -> None:
    """
    Record that a process announced its stop.

    :param table: members of this node
    :param name: name of the sender
    :param incarnation: incarnation of the sender's process
    """
    member = table.members.get(name)
    if member is not None and member.incarnation == incarnation:
        member.announced_stop = True


def record_disconnected(table: MemberTable, name: str, incarnation: int) -> None:
    """
    Record that a control connection broke.

    :param table: members of this node
    :param name: name of the peer
    :param incarnation: incarnation of the peer's process that was connected
    """
    member = table.members.get(name)
    if member is not None and member.incarnation == incarnation:
        member.connected = False
        member.connection_lost = True


def apply_group_records(table: MemberTable, members_by_group: dict[str, frozenset[str]]) -> None:
    """
    Record which hosts the operators' records name as members of their group.

    :param table: members of this node
    :param members_by_group: host names by backend group
    """
    for member in table.members.values():
        if member.host.group:
            names = members_by_group.get(member.host.group, frozenset())
            member.in_records = member.host.name in names


def update_states(table: MemberTable, settings: ControlSettings, now_ms: int) -> list[StateChange]:
    """
    Update the state of every member, and remove those that are gone.

    :param table: members of this node
    :param settings: timeouts, and the minimum share of candidates
    :param now_ms: monotonic time in milliseconds
    :return: the changed states
    """
    changes = []
    for name, member in list(table.members.items()):
        state = _decide_state(member, settings, now_ms)
        if state is not member.state:
            changes.append(StateChange(name, member.state, state))
            member.state = state
        if state is MemberState.GONE:
            del table.members[name]
    _apply_candidate_floor(table, settings)
    return changes


def has_overdue_heartbeat(table: MemberTable, settings: ControlSettings, now_ms: int) -> bool:
    """
    Check whether a live member has been silent for too long, at less cost than an update.

    :param table: members of this node
    :param settings: timeouts
    :param now_ms: monotonic time in milliseconds
    :return: whether :func:`update_states` would change the state of such a member
    """
    oldest_ms = now_ms - settings.suspect_after_ms
    return any(
        member.last_contact_ms <= oldest_ms and member.state is MemberState.LIVE
        for member in table.members.values()
    )


def _is_incomplete(
    table: MemberTable, listed: dict[str, Host], settings: ControlSettings, now_ms: int
) -> bool:
    missing = sum(1 for name in table.hosts if name not in listed)
    if missing <= settings.list_loss_share * len(table.hosts):
        return False
    if table.incomplete_list_since_ms is None:
        table.incomplete_list_since_ms = now_ms
    return now_ms - table.incomplete_list_since_ms < settings.list_doubt_ms


def _record_contact(table: MemberTable, name: str, incarnation: int, now_ms: int) -> Member | None:
    member = table.members.get(name)
    if member is None or incarnation < member.incarnation:
        return None
    if incarnation > member.incarnation:
        member.incarnation = incarnation
        member.draining = False
        member.announced_stop = False
        member.connection_lost = False
    member.last_contact_ms = now_ms
    return member


def _decide_state(member: Member, settings: ControlSettings, now_ms: int) -> MemberState:
    silent = member.connection_lost or now_ms - member.last_contact_ms >= settings.suspect_after_ms
    if not member.listed and (silent or member.announced_stop):
        return MemberState.GONE
    if not member.watched:
        return MemberState.LEAVING if member.connected else MemberState.GONE
    if member.draining or member.announced_stop or not member.in_records:
        return MemberState.LEAVING
    if member.host.state is HostState.LEAVING:
        return MemberState.LEAVING
    return MemberState.SUSPECTED if silent else MemberState.LIVE


def _apply_candidate_floor(table: MemberTable, settings: ControlSettings) -> None:
    groups: dict[str, list[Member]] = {}
    for member in table.members.values():
        member.kept_by_floor = False
        if member.state in (MemberState.LIVE, MemberState.SUSPECTED):
            groups.setdefault(member.host.group, []).append(member)
    for members in groups.values():
        suspected = [m for m in members if m.state is MemberState.SUSPECTED]
        live = len(members) - len(suspected)
        missing = math.ceil(settings.candidate_floor_share * len(members)) - live
        suspected.sort(key=lambda m: (-m.last_contact_ms, m.host.name))
        for member in suspected[: max(missing, 0)]:
            member.kept_by_floor = True


__all__ = [
    "apply_host_list",
    "has_overdue_heartbeat",
    "record_connected",
    "record_goodbye",
    "record_disconnected",
    "apply_group_records",
    "record_heartbeat",
    "update_states",
    "set_watched",
]
