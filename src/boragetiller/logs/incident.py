"""Incident summary of a time range: causes of failures, outliers and preceding state changes."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from boragetiller.logs.lines import select_lines_between

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.logs.lines import LogLine

WINDOW_MS = 1_000
LOOKBACK_MS = 5_000  # state changes in this time before a bad second may be its cause
BAD_SECOND_FACTOR = 2.0  # a bad second has twice the mean of failures, and MIN_FAILURES or more
MIN_FAILURES = 3
OUTLIER_FACTOR = 1.5  # minimum ratio of the share of failures to the share of calls
MAX_ROWS = 12
MAX_SUBJECT_CHARS = 60
CALL_FAILED = "call_failed"
CALL_ANSWERED = "call_answered"
CALL_REFUSED = "call_refused"
MIN_SERVER_ERROR_STATUS = 500
STATE_CHANGE_EVENTS = frozenset(
    {
        "process_not_loaded",
        "process_started",
        "process_stopping",
        "config_store_unreachable",
        "config_store_reached",
        "routes_taken",
        "server_gone",
        "server_joined",
        "server_ejected",
        "requests_struck",
        "peer_lost",
        "settings_reloaded",
        "settings_refused",
    }
)
GROUPINGS = ("server", "route", "process")


@attrs.frozen(kw_only=True)
class Outlier:
    """A server, route or process whose share of the failures exceeds its share of the calls."""

    kind: str
    name: str
    calls: int
    failures: int
    factor: float  # share of the failures divided by share of the calls


@attrs.frozen(kw_only=True)
class StateChange:
    """A state change that one or more processes logged."""

    time_ms: int  # when the first process logged it
    event: str
    what: str  # server, version, peer, reason or name
    processes: int  # number of processes that logged it


@attrs.frozen(kw_only=True)
class IncidentSummary:
    """Failures and state changes in a time range."""

    start_ms: int
    end_ms: int
    calls: int
    failures: int
    causes: tuple[tuple[str, int], ...]  # cause and number of calls, most frequent first
    bad_seconds_ms: tuple[int, ...]  # start times of the seconds with many failures
    standouts: tuple[Outlier, ...]
    changes: tuple[StateChange, ...]  # during the bad seconds and shortly before


def summarize_incident(lines: list[LogLine], start_ms: int, end_ms: int) -> IncidentSummary:
    """
    Summarize the failures in a time range.

    :param lines: all lines, in order of time
    :param start_ms: start of the range in milliseconds since the epoch
    :param end_ms: end of the range in milliseconds since the epoch, inclusive
    :return: the summary
    """
    span = list(select_lines_between(lines, start_ms, end_ms))
    ended = [line for line in span if line.event in {CALL_FAILED, CALL_ANSWERED}]
    failed = [line for line in ended if _is_failure(line)]
    bad = _find_bad_seconds(failed, start_ms, end_ms)
    return IncidentSummary(
        start_ms=start_ms,
        end_ms=end_ms,
        calls=len(ended),
        failures=len(failed),
        causes=tuple(_count_causes(span).most_common(MAX_ROWS)),
        bad_seconds_ms=bad,
        standouts=_find_outliers(ended, failed),
        changes=_find_changes(lines, bad),
    )


def _is_failure(line: LogLine) -> bool:
    return line.event == CALL_FAILED or line.fields.get("status", 0) >= MIN_SERVER_ERROR_STATUS


def _count_causes(span: Iterable[LogLine]) -> Counter[str]:
    causes: Counter[str] = Counter()
    for line in span:
        fields = line.fields
        if line.event == CALL_FAILED:
            causes[f"{fields.get('reason')} after {fields.get('end')}"] += 1
        elif line.event == CALL_REFUSED:
            causes[f"refused: {fields.get('code')}"] += 1
        elif line.event == CALL_ANSWERED and _is_failure(line):
            causes[f"status {fields['status']} of the server"] += 1
    return causes


def _find_bad_seconds(failed: list[LogLine], start_ms: int, end_ms: int) -> tuple[int, ...]:
    counts = Counter((line.time_ms - start_ms) // WINDOW_MS for line in failed)
    seconds = max(1, (end_ms - start_ms) // WINDOW_MS)
    limit = max(MIN_FAILURES, BAD_SECOND_FACTOR * len(failed) / seconds)
    return tuple(start_ms + n * WINDOW_MS for n in sorted(counts) if counts[n] >= limit)


def _find_outliers(ended: list[LogLine], failed: list[LogLine]) -> tuple[Outlier, ...]:
    outliers = []
    for kind in GROUPINGS:
        calls, failures = _count_by(ended, kind), _count_by(failed, kind)
        for name, count in failures.items():
            factor = (count / len(failed)) / (calls[name] / len(ended))
            if count >= MIN_FAILURES and factor >= OUTLIER_FACTOR:
                outliers.append(
                    Outlier(kind=kind, name=name, calls=calls[name], failures=count, factor=factor)
                )
    return tuple(sorted(outliers, key=lambda outlier: -outlier.failures)[:MAX_ROWS])


def _count_by(lines: list[LogLine], kind: str) -> Counter[str]:
    names = (line.process if kind == "process" else line.fields.get(kind) for line in lines)
    return Counter(str(name) for name in names if name)


def _find_changes(lines: list[LogLine], bad_ms: tuple[int, ...]) -> tuple[StateChange, ...]:
    if not bad_ms:
        return ()
    spans = [(start_ms - LOOKBACK_MS, start_ms + WINDOW_MS) for start_ms in bad_ms]
    merged: dict[tuple[str, str], list[LogLine]] = {}
    for line in select_lines_between(lines, spans[0][0], spans[-1][1]):
        is_near = any(start_ms <= line.time_ms < end_ms for start_ms, end_ms in spans)
        if is_near and line.event in STATE_CHANGE_EVENTS:
            merged.setdefault((line.event, _find_subject(line)), []).append(line)
    return tuple(
        StateChange(
            time_ms=logged[0].time_ms,
            event=event,
            what=what,
            processes=len({line.process for line in logged}),
        )
        for (event, what), logged in merged.items()
    )


def _find_subject(line: LogLine) -> str:
    for name in ("server", "version", "peer", "reason", "name"):
        if name in line.fields:
            return str(line.fields[name])[:MAX_SUBJECT_CHARS]
    return ""


__all__ = ["IncidentSummary", "Outlier", "StateChange", "summarize_incident"]
