"""Condense the logs of a span: what failed, who stands out, and what changed just before."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from boragetiller.logs.lines import lines_between

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.logs.lines import LogLine

WINDOW_MS = 1_000
BEFORE_MS = 5_000  # a change so long before the first bad second may be its cause
BAD_FACTOR = 2.0  # a second is bad with twice the mean of failures, and with MIN_FAILURES
MIN_FAILURES = 3
STANDING_OUT = 1.5  # times the share of all calls that it has
MAX_ROWS = 12
SUBJECT_CHARS = 60
FAILED = "call_failed"
ANSWERED = "call_answered"
REFUSED = "call_refused"
FIRST_SERVER_ERROR = 500
CHANGES = frozenset(
    {
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
    """A server, route or process with more failures than its share of calls."""

    kind: str
    name: str
    calls: int
    failures: int
    factor: float  # its share of the failures over its share of the calls


@attrs.frozen(kw_only=True)
class Change:
    """A change of belief, merged over the processes that logged it."""

    time_ms: int  # of the first that logged it
    event: str
    what: str  # server, version or reason
    processes: int


@attrs.frozen(kw_only=True)
class IncidentSummary:
    """What a span of logs tells."""

    start_ms: int
    end_ms: int
    calls: int
    failures: int
    causes: tuple[tuple[str, int], ...]  # reason and end of failed calls, most first
    bad_seconds_ms: tuple[int, ...]  # starts of seconds with many failures
    standouts: tuple[Outlier, ...]
    changes: tuple[Change, ...]  # shortly before and in the bad seconds


def summarize_incident(lines: list[LogLine], start_ms: int, end_ms: int) -> IncidentSummary:
    """
    Condense a span.

    :param lines: all lines, in order of time
    :param start_ms: first moment, since the epoch
    :param end_ms: last moment
    :return: the summary
    """
    span = list(lines_between(lines, start_ms, end_ms))
    ended = [line for line in span if line.event in {FAILED, ANSWERED}]
    failed = [line for line in ended if _is_failure(line)]
    bad = _bad_seconds(failed, start_ms, end_ms)
    return IncidentSummary(
        start_ms=start_ms,
        end_ms=end_ms,
        calls=len(ended),
        failures=len(failed),
        causes=tuple(_causes(span).most_common(MAX_ROWS)),
        bad_seconds_ms=bad,
        standouts=_standouts(ended, failed),
        changes=_changes(lines, bad),
    )


def _is_failure(line: LogLine) -> bool:
    return line.event == FAILED or line.fields.get("status", 0) >= FIRST_SERVER_ERROR


def _causes(span: Iterable[LogLine]) -> Counter[str]:
    causes: Counter[str] = Counter()
    for line in span:
        fields = line.fields
        if line.event == FAILED:
            causes[f"{fields.get('reason')} after {fields.get('end')}"] += 1
        elif line.event == REFUSED:
            causes[f"refused: {fields.get('code')}"] += 1
        elif line.event == ANSWERED and _is_failure(line):
            causes[f"status {fields['status']} of the server"] += 1
    return causes


def _bad_seconds(failed: list[LogLine], start_ms: int, end_ms: int) -> tuple[int, ...]:
    counts = Counter((line.time_ms - start_ms) // WINDOW_MS for line in failed)
    seconds = max(1, (end_ms - start_ms) // WINDOW_MS)
    limit = max(MIN_FAILURES, BAD_FACTOR * len(failed) / seconds)
    return tuple(start_ms + n * WINDOW_MS for n in sorted(counts) if counts[n] >= limit)


def _standouts(ended: list[LogLine], failed: list[LogLine]) -> tuple[Outlier, ...]:
    found = []
    for kind in GROUPINGS:
        calls, failures = _count(ended, kind), _count(failed, kind)
        for name, count in failures.items():
            factor = (count / len(failed)) / (calls[name] / len(ended))
            if count >= MIN_FAILURES and factor >= STANDING_OUT:
                found.append(
                    Outlier(kind=kind, name=name, calls=calls[name], failures=count, factor=factor)
                )
    return tuple(sorted(found, key=lambda each: -each.failures)[:MAX_ROWS])


def _count(lines: list[LogLine], kind: str) -> Counter[str]:
    names = (line.process if kind == "process" else line.fields.get(kind) for line in lines)
    return Counter(str(name) for name in names if name)


def _changes(lines: list[LogLine], bad_ms: tuple[int, ...]) -> tuple[Change, ...]:
    if not bad_ms:
        return ()
    spans = [(start_ms - BEFORE_MS, start_ms + WINDOW_MS) for start_ms in bad_ms]
    merged: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines_between(lines, spans[0][0], spans[-1][1]):
        is_near = any(start_ms <= line.time_ms < end_ms for start_ms, end_ms in spans)
        if is_near and line.event in CHANGES:
            merged.setdefault((line.event, _subject(line)), []).append(line)
    return tuple(
        Change(
            time_ms=found[0].time_ms,
            event=event,
            what=what,
            processes=len({line.process for line in found}),
        )
        for (event, what), found in merged.items()
    )


def _subject(line: LogLine) -> str:
    for name in ("server", "version", "peer", "reason", "name"):
        if name in line.fields:
            return str(line.fields[name])[:SUBJECT_CHARS]
    return ""


__all__ = ["Change", "IncidentSummary", "Outlier", "summarize_incident"]
