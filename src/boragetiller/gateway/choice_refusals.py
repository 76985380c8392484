"""Why no server can be chosen for a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.systems.direct_retry_policy import GiveUpReason
from boragetiller.systems.overload.server_pauses import first_pause_left_ms
from boragetiller.systems.server_limits import list_limited_servers

if TYPE_CHECKING:
    from boragetiller.gateway.backend_registry import BackendRegistry
    from boragetiller.gateway.call_state import CallState

NO_ROOM_DETAIL = "no engine can finish the stream in time or has memory for it"


@attrs.frozen
class Refusal:
    """Why no server can be chosen."""

    reason: GiveUpReason
    detail: str
    pause_left_ms: int = 0  # until the first of the servers that pause is free


def find_refusal(registry: BackendRegistry, state: CallState, now_ms: int) -> Refusal:
    """
    Find why no server could be chosen for a call.

    :param registry: backend servers, their limits and pauses
    :param state: the call with its attempts
    :param now_ms: monotonic time in milliseconds
    :return: reason and detail
    """
    call, version = state.call, state.software_version
    accepting = registry.servers.find_accepting(call.group.name).servers
    if not accepting:
        return Refusal(GiveUpReason.FULL, "no server accepts calls")
    versions = None if version is None else frozenset({version})
    eligible = registry.servers.find_accepting(call.group.name, versions).servers
    paused = registry.pauses.list_paused()
    unpaused = [server for server in eligible if server.name not in paused]
    pause_left_ms = first_pause_left_ms(registry.pauses.table, eligible, now_ms)
    if eligible and not unpaused:
        return Refusal(GiveUpReason.PAUSED, "all servers have asked for a pause", pause_left_ms)
    is_bound = len(eligible) < len(accepting)  # to one of several versions
    if is_bound and all(server.name in state.tried_servers for server in eligible):
        detail = f"no other server of version {version} accepts calls"
        return Refusal(GiveUpReason.VERSION_GONE, detail)
    pausing = (
        f"; {len(eligible) - len(unpaused)} servers pause" if len(unpaused) < len(eligible) else ""
    )
    limited = list_limited_servers(registry.server_limits)
    if limited and all(server.name in limited for server in unpaused):
        detail = f"all servers have reached their limits{pausing}"
        return Refusal(GiveUpReason.LIMITED, detail, pause_left_ms)
    if call.group.engine is not None:
        return Refusal(GiveUpReason.NO_ROOM, NO_ROOM_DETAIL + pausing)
    return Refusal(GiveUpReason.FULL, f"no server accepts calls{pausing}")


__all__ = ["Refusal", "find_refusal"]
