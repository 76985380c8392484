"""
Decide which of the requests that an engine ran can have crashed it.

A crash ends every request of an engine. Only a request whose response had just begun can have
caused it: one without a response header was not running yet, and one that has been written for a
while has survived its beginning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.part_crashes import CrashSuspect

if TYPE_CHECKING:
    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.direct_attempts import ResponseProgress

START_MS = 1_000  # a response that has been written for so long has survived its beginning
STRONG_WEIGHT = 2  # no event since the header
WEAK_WEIGHT = 1


def find_suspect(
    prompt: Prompt | None, progress: ResponseProgress, lost_ms: int
) -> CrashSuspect | None:
    """
    Decide whether a request can have crashed the engine on which it was lost.

    :param prompt: its prompt, None for a request to a plain service
    :param progress: how far the engine got with its response
    :param lost_ms: monotonic time at which the connection broke
    :return: the suspect, None if the response had not begun or had survived its beginning
    """
    if prompt is None or not prompt.shared_parts or progress.started_ms is None:
        return None
    is_young = lost_ms - progress.started_ms < START_MS
    if progress.events and not is_young:
        return None
    weight = STRONG_WEIGHT if is_young and not progress.events else WEAK_WEIGHT
    return CrashSuspect(parts=tuple(part.part_id for part in prompt.shared_parts), weight=weight)


def has_survived_start(progress: ResponseProgress, now_ms: int) -> bool:
    """
    Check whether a response that is being written has survived its beginning.

    :param progress: how far the engine got with its response
    :param now_ms: monotonic time in milliseconds
    :return: whether it has events and began at least START_MS ago
    """
    return (
        progress.started_ms is not None
        and progress.events > 0
        and now_ms - progress.started_ms >= START_MS
    )


def build_crash_id(server: str, started_ms: int) -> str:
    """
    Build the ID of a crash, which all routers give to the same one.

    :param server: name of the engine
    :param started_ms: its start time as registered; an engine may restart under its name
    :return: the ID
    """
    return f"{server}@{started_ms}"


__all__ = [
    "START_MS",
    "STRONG_WEIGHT",
    "WEAK_WEIGHT",
    "build_crash_id",
    "find_suspect",
    "has_survived_start",
]
