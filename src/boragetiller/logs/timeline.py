"""Timeline of one request: its log lines and the related state changes of its routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.logs.lines import select_lines_between

if TYPE_CHECKING:
    from boragetiller.logs.lines import LogLine

LOOKBACK_MS = 10_000  # state changes in this time before a request may explain its outcome
LOOKAHEAD_MS = 3_000  # a crashed server is removed from the list some seconds later
SERVER_EVENTS = frozenset(
    {"server_gone", "server_joined", "server_ejected", "server_unreadable", "requests_struck"}
)
ROUTER_EVENTS = frozenset(
    {
        "process_not_loaded",
        "process_started",
        "process_stopping",
        "process_stopped",
        "config_store_unreachable",
        "config_store_reached",
        "routes_taken",
        "settings_reloaded",
    }
)


@attrs.frozen(kw_only=True)
class TimelineEntry:
    """A log line of the timeline."""

    at_ms: int  # relative to the first line of the request
    process: str
    event: str
    about_request: bool  # False for a state change of the process or of a server that it uses
    fields: dict[str, Any]


def build_timeline(lines: list[LogLine], request_id: str) -> list[TimelineEntry]:
    """
    Build the timeline of a request.

    Besides the lines of the request, the timeline has the state changes that the same processes
    logged shortly before and after: their own, and those of the servers that the request used.

    :param lines: all lines, in order of time
    :param request_id: ID of the request
    :return: entries in order of time, empty if no line has the request ID
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    first_ms, last_ms = own[0].time_ms, own[-1].time_ms
    processes = {line.process for line in own}
    servers = {line.fields["server"] for line in own if line.fields.get("server")}
    nearby = select_lines_between(lines, first_ms - LOOKBACK_MS, last_ms + LOOKAHEAD_MS)
    selected = [
        line
        for line in nearby
        if line.request_id == request_id
        or (line.process in processes and _is_state_change(line, servers))
    ]
    return [_build_entry(line, request_id, first_ms) for line in selected]


def _is_state_change(line: LogLine, servers: set[Any]) -> bool:
    if line.event in ROUTER_EVENTS:
        return True
    return line.event in SERVER_EVENTS and line.fields.get("server") in servers


def _build_entry(line: LogLine, request_id: str, first_ms: int) -> TimelineEntry:
    return TimelineEntry(
        at_ms=line.time_ms - first_ms,
        process=line.process,
        event=line.event,
        about_request=line.request_id == request_id,
        fields=line.fields,
    )


__all__ = ["TimelineEntry", "build_timeline"]
