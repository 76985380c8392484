"""Reading of JSON log lines of several processes, merged in order of time."""

from __future__ import annotations

import json
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from boragetiller.errors import SettingsInvalid

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STANDARD_INPUT = "-"
KNOWN_FIELDS = frozenset({"time_ms", "process", "event", "event_name", "request_id"})


@attrs.frozen(kw_only=True)
class LogLine:
    """An event logged by a process."""

    time_ms: int  # milliseconds since the epoch, wall clock of the process
    process: str
    event: str  # name, as listed in docs/EVENTS.md
    request_id: str  # empty if the event does not concern a request
    fields: dict[str, Any]  # other fields by name, as listed in docs/EVENTS.md


@attrs.frozen(kw_only=True)
class LogLines:
    """Parsed log lines."""

    lines: list[LogLine]  # in order of time
    unreadable: int  # number of lines that are not events


def read_logs(paths: list[str]) -> LogLines:
    """
    Read log files.

    :param paths: paths of files; `-` is standard input
    :return: lines of all files, in order of time
    :raises SettingsInvalid: a file cannot be read
    """
    with ExitStack() as stack:
        try:
            sources = [
                (
                    sys.stdin
                    if path == STANDARD_INPUT
                    else stack.enter_context(Path(path).open(encoding="utf-8", errors="replace"))
                )
                for path in paths
            ]
            return parse_lines(text for source in sources for text in source)
        except OSError as error:
            raise SettingsInvalid(f"{error.filename}: {error.strerror}") from error


def parse_lines(texts: Iterable[str]) -> LogLines:
    """
    Parse lines of text.

    :param texts: lines that end with a JSON object; text before the first brace is ignored
    :return: lines in order of time
    """
    lines = []
    unreadable = 0
    for text in filter(None, map(str.strip, texts)):
        line = _parse_line(text)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.time_ms)
    return LogLines(lines=lines, unreadable=unreadable)


def select_lines_between(lines: list[LogLine], start_ms: int, end_ms: int) -> Iterator[LogLine]:
    """
    Select the lines in a time range.

    :param lines: all lines
    :param start_ms: start of the range in milliseconds since the epoch
    :param end_ms: end of the range in milliseconds since the epoch, inclusive
    :return: lines in the range
    """
    return (line for line in lines if start_ms <= line.time_ms <= end_ms)


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        data = json.loads(text[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    if not isinstance(data, dict) or not isinstance(data.get("time_ms"), int):
        return None
    return LogLine(
        time_ms=data["time_ms"],
        process=str(data.get("process", "")),
        event=str(data.get("event_name", "")),
        request_id=str(data.get("request_id", "")),
        fields={name: value for name, value in data.items() if name not in KNOWN_FIELDS},
    )


__all__ = [
    "STANDARD_INPUT",
    "LogLine",
    "LogLines",
    "select_lines_between",
    "parse_lines",
    "read_logs",
]
