"""Commands that read log files: the timeline of a request, and the summary of an incident."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from boragetiller.cli.exit_codes import ExitCode
from boragetiller.cli.report import Report, print_report
from boragetiller.errors import SettingsInvalid
from boragetiller.logs.incident import summarize_incident
from boragetiller.logs.lines import read_logs
from boragetiller.logs.timeline import build_timeline

if TYPE_CHECKING:
    from boragetiller.cli.report import OutputFormat
    from boragetiller.logs.incident import IncidentSummary
    from boragetiller.logs.lines import LogLines


def parse_log_files(text: str) -> list[str]:
    """
    Parse the value of `--logs`.

    :param text: comma-separated paths; a dash for standard input
    :return: the paths
    :raises SettingsInvalid: the value names no file
    """
    names = [name for name in str(text).split(",") if name]
    if not names:
        raise SettingsInvalid("--logs: name at least one file, or - for standard input")
    return names


async def explain_from_logs(request_id: str, files: list[str], output: OutputFormat) -> ExitCode:
    """
    Print the timeline of a request.

    :param request_id: ID of the request, as the caller received it
    :param files: log files of any number of processes
    :param output: output format
    :return: exit code
    """
    logs = read_logs(files)
    entries = build_timeline(logs.lines, request_id)
    rows = [
        (
            entry.at_ms,
            entry.process,
            entry.event if entry.about_request else f"({entry.event})",
            " ".join(f"{name}={value}" for name, value in entry.fields.items()),
        )
        for entry in entries
    ]
    report = Report(
        columns=("at_ms", "process", "event", "detail"),
        rows=rows,
        data=[attrs.asdict(entry) for entry in entries],
        notes=_build_notes(logs),
    )
    if not entries:
        raise SettingsInvalid(
            f"no line is about {request_id}; check that the logs of every router were given"
        )
    print_report(report, output)
    return ExitCode.DONE


async def show_incident(
    files: list[str], start_ms: int | None, end_ms: int | None, output: OutputFormat
) -> ExitCode:
    """
    Print the summary of an incident: causes of failures, outliers and state changes.

    :param files: log files of any number of processes
    :param start_ms: start in milliseconds since the epoch, None for the first line
    :param end_ms: end in milliseconds since the epoch, None for the last line
    :param output: output format
    :return: exit code
    """
    logs = read_logs(files)
    if not logs.lines:
        raise SettingsInvalid(f"{', '.join(files)}: no log line found")
    first_ms = logs.lines[0].time_ms if start_ms is None else start_ms
    last_ms = logs.lines[-1].time_ms if end_ms is None else end_ms
    if last_ms < first_ms:
        raise SettingsInvalid(f"--end-ms {last_ms}: must not be before --start-ms {first_ms}")
    summary = summarize_incident(logs.lines, first_ms, last_ms)
    report = Report(
        columns=("what", "which", "count", "detail"),
        rows=_build_incident_rows(summary),
        data=attrs.asdict(summary),
        notes=_build_notes(logs),
    )
    print_report(report, output)
    return ExitCode.DONE


def _build_incident_rows(summary: IncidentSummary) -> list[tuple[str, str, int, str]]:
    span_s = (summary.end_ms - summary.start_ms) / 1_000
    rows = [("failed", f"of {summary.calls} calls", summary.failures, f"in {span_s:.0f} s")]
    rows += [("cause", cause, count, "") for cause, count in summary.causes]
    rows += [
        ("stands out", f"{each.kind} {each.name}", each.failures, f"{each.factor:.1f} x its share")
        for each in summary.standouts
    ]
    rows += [
        ("bad second", f"{(start_ms - summary.start_ms) / 1_000:.0f} s", 1, f"from {start_ms}")
        for start_ms in summary.bad_seconds_ms
    ]
    rows += [
        (
            "change",
            f"{each.event} {each.what}",
            each.processes,
            f"at {(each.time_ms - summary.start_ms) / 1_000:.1f} s",
        )
        for each in summary.changes
    ]
    return rows


def _build_notes(logs: LogLines) -> tuple[str, ...]:
    return (f"{logs.unreadable} lines skipped: not log events",) if logs.unreadable else ()


__all__ = ["explain_from_logs", "parse_log_files", "show_incident"]
