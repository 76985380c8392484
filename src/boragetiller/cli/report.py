"""Output of commands as a table or as JSON."""

from __future__ import annotations

import json
import sys
from enum import Enum
from typing import Any

import attrs

from boragetiller.errors import SettingsInvalid


class OutputFormat(Enum):
    """Output format of a command."""

    TABLE = "table"
    JSON = "json"


@attrs.frozen(kw_only=True)
class Report:
    """Result of a command, as a table and as data for JSON."""

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]
    data: Any
    notes: tuple[str, ...] = ()


def parse_output_format(text: str) -> OutputFormat:
    """
    Parse the value of `--output`.

    :raises SettingsInvalid: the value is not a known format; lists the allowed ones
    """
    try:
        return OutputFormat(str(text))
    except ValueError as error:
        allowed = ", ".join(member.value for member in OutputFormat)
        raise SettingsInvalid(f"--output {text}: allowed: {allowed}") from error


def print_report(report: Report, output: OutputFormat) -> None:
    """
    Print a result to standard output, and the notes of a table to standard error.

    :param report: the result
    :param output: output format
    """
    if output is OutputFormat.JSON:
        print(json.dumps(report.data, indent=2, ensure_ascii=False, default=str))
        return
    print(format_table(report.columns, report.rows))
    for note in report.notes:
        print(note, file=sys.stderr)


def format_table(columns: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    """:return: the rows as left-aligned columns with headings"""
    cells = [[heading.upper() for heading in columns]]
    cells += [[format_value(value) for value in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_value(value: Any) -> str:
    """:return: a value as text: `-` for none or empty text, commas between list items"""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "(empty)"
    return str(value)


__all__ = [
    "OutputFormat",
    "Report",
    "format_table",
    "format_value",
    "parse_output_format",
    "print_report",
]
