"""Log lines of any number of processes, in order of time."""

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
    """One event as a process logged it."""

    time_ms: int  # wall clock of its process, since the epoch
    process: str
    event: str  # name; docs/EVENTS.md is the catalogue
    request_id: str  # empty when the event is about no request
    fields: dict[str, Any]  # further fields by name, as the catalogue lists them


@attrs.frozen(kw_only=True)
class LogLines:
    """All lines that could be read."""

    lines: list[LogLine]  # in order of time
    unreadable: int  # lines that are no event


def read_logs(paths: list[str]) -> LogLines:
    """
    Read log files.

    :param paths: files, or a dash for standard input
    :return: their lines, merged
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

    :param texts: JSON objects, each with any text before it
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


def lines_between(lines: list[LogLine], start_ms: int, end_ms: int) -> Iterator[LogLine]:
    """
    Select a span of time.

    :param lines: all lines
    :param start_ms: first moment
    :param end_ms: last moment
    :return: lines within
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


__all__ = ["STANDARD_INPUT", "LogLine", "LogLines", "lines_between", "parse_lines", "read_logs"]
