"""The story of one request, with what its router believed at each step."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.logs.lines import lines_between

if TYPE_CHECKING:
    from boragetiller.logs.lines import LogLine

BEFORE_MS = 10_000  # a change so long before a request may still explain it
AFTER_MS = 3_000  # a server that crashed leaves the list some seconds later
SERVER_EVENTS = frozenset(
    {"server_gone", "server_joined", "server_ejected", "server_unreadable", "requests_struck"}
)
ROUTER_EVENTS = frozenset(
    {
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
    """One line of the story."""

    at_ms: int  # since the first line about the request
    process: str
    event: str
    about_request: bool  # else it tells what the process believed of a server or of itself
    fields: dict[str, Any]


def build_timeline(lines: list[LogLine], request_id: str) -> list[TimelineEntry]:
    """
    Tell what happened to a request.

    Lines about the request itself come with the changes of belief that its routers logged shortly
    before and after: about the servers that it was sent to, and about the router.

    :param lines: all lines, in order of time
    :param request_id: the request
    :return: steps in order of time, none when no line is about the request
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    first_ms, last_ms = own[0].time_ms, own[-1].time_ms
    processes = {line.process for line in own}
    servers = {line.fields["server"] for line in own if line.fields.get("server")}
    near = lines_between(lines, first_ms - BEFORE_MS, last_ms + AFTER_MS)
    told = [
        line
        for line in near
        if line.request_id == request_id
        or (line.process in processes and _is_belief(line, servers))
    ]
    return [_step(line, request_id, first_ms) for line in told]


def _is_belief(line: LogLine, servers: set[Any]) -> bool:
    if line.event in ROUTER_EVENTS:
        return True
    return line.event in SERVER_EVENTS and line.fields.get("server") in servers


def _step(line: LogLine, request_id: str, first_ms: int) -> TimelineEntry:
    return TimelineEntry(
        at_ms=line.time_ms - first_ms,
        process=line.process,
        event=line.event,
        about_request=line.request_id == request_id,
        fields=line.fields,
    )


__all__ = ["TimelineEntry", "build_timeline"]
