"""
Quarantine of prompt parts that crash the engines which answer requests with them.

The shared parts of the suspects of a crash (systems.crash_suspects) get the crash recorded. A
request with such a part that survives its beginning on another engine clears the part. A part
with enough crashes that are not cleared is quarantined: requests with it are refused.

Routers report recorded and cleared crashes to each other and relay what is new to them. A crash
can only go from recorded to cleared, so the order in which reports arrive does not matter.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.tables.part_crashes import PartCrash, PartCrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.call_metadata import Prompt
    from boragetiller.tables.part_crashes import CrashSuspect, PartCrashTable

QUARANTINE_WEIGHT = 4  # two crashes with strong suspicion
KNOWN_QUARANTINE_WEIGHT = 12  # for a part that engines answered shortly before its first crash
ANSWERED_TTL_MS = 60_000
QUARANTINE_MS = 600_000  # since the last crash; longer than callers retry
CRASH_TTL_MS = 2 * QUARANTINE_MS  # after a quarantine a single crash renews it
MAX_ANSWERED_PARTS = 4_096
MAX_PARTS = 2_048  # bounds memory; a crash has a few suspects with a few parts each
MAX_CRASHES_PER_PART = 16
MAX_SUSPECTED_PARTS = 16  # of one request
MAX_LISTED_REPORTS = 1_024  # fits into one frame


def record_crash(
    table: PartCrashTable, crash_id: str, suspects: Iterable[CrashSuspect], now_ms: int
) -> list[str]:
    """
    Record the crash of an engine for the parts of its suspects.

    :param table: recorded crashes
    :param crash_id: name and start time of the engine
    :param suspects: requests that can have caused it
    :param now_ms: monotonic time in milliseconds
    :return: parts that are quarantined now and were not before
    """
    quarantined = []
    for suspect in suspects:
        # Parts that engines have answered are the least likely cause.
        parts = sorted(suspect.parts, key=lambda part: part in table.answered_ms)
        parts = parts[:MAX_SUSPECTED_PARTS]
        for part in parts:
            report = PartCrashReport(
                part=part,
                crash_id=crash_id,
                companions=frozenset(parts) - {part},
                weight=suspect.weight,
                age_ms=0,
            )
            if apply_report(table, report, now_ms):
                quarantined.append(part)
    return quarantined


def apply_report(table: PartCrashTable, report: PartCrashReport, now_ms: int) -> bool:
    """
    Add a crash that this or another router observed or cleared; a change is relayed to the peers.

    :param table: recorded crashes
    :param report: the report
    :param now_ms: monotonic time in milliseconds
    :return: whether the part is quarantined now and was not before
    """
    was_quarantined = is_part_quarantined(table, report.part, now_ms)
    crashes = table.by_part.setdefault(report.part, {})
    known = crashes.get(report.crash_id)
    if known is None:
        known = crashes[report.crash_id] = PartCrash(
            companions=report.companions,
            weight=report.weight,
            recorded_ms=now_ms - report.age_ms,
            cleared=report.cleared,
        )
        table.by_part.move_to_end(report.part)
        table.parts_by_crash.setdefault(report.crash_id, set()).add(report.part)
        _evict(table, report.part, now_ms)
    elif not _merge(known, report):
        return False
    table.recent.add(_to_report(report.part, report.crash_id, known, now_ms))
    return not was_quarantined and is_part_quarantined(table, report.part, now_ms)


def clear_parts(
    table: PartCrashTable, parts: Iterable[str], began_ms: int, now_ms: int
) -> list[str]:
    """
    Record that a response has survived its beginning, and clear the crashes of its parts.

    :param table: recorded crashes
    :param parts: shared parts of the request
    :param began_ms: monotonic time at which its response began; only earlier crashes are cleared
    :param now_ms: monotonic time in milliseconds
    :return: the parts that had crashes to clear
    """
    cleared = []
    for part in parts:
        table.answered_ms[part] = now_ms
        table.answered_ms.move_to_end(part)
        crashes = {
            crash_id: crash
            for crash_id, crash in table.by_part.get(part, {}).items()
            if not crash.cleared and crash.recorded_ms <= began_ms
        }
        for crash_id, crash in crashes.items():
            crash.cleared = True
            table.recent.add(_to_report(part, crash_id, crash, now_ms))
        if crashes:
            cleared.append(part)
    while len(table.answered_ms) > MAX_ANSWERED_PARTS:
        table.answered_ms.popitem(last=False)
    return cleared


def is_part_quarantined(table: PartCrashTable, part: str, now_ms: int) -> bool:
    """
    Check whether enough crashes are recorded for a part that no other part explains better.

    Requests that happened to begin beside the cause have some of its crashes, the cause has all.

    :param table: recorded crashes
    :param part: ID of the part
    :param now_ms: monotonic time in milliseconds
    :return: whether requests with the part may crash their engines
    """
    crashes = _count_crashes(table, part, now_ms)
    weight = sum(crash.weight for crash in crashes.values())
    if weight < QUARANTINE_WEIGHT:
        return False
    first_ms = min(crash.recorded_ms for crash in crashes.values())
    answered_ms = table.answered_ms.get(part)
    if answered_ms is not None and answered_ms > first_ms - ANSWERED_TTL_MS:
        needed_weight = KNOWN_QUARANTINE_WEIGHT
    else:
        needed_weight = QUARANTINE_WEIGHT
    unexplained_weight = sum(
        crash.weight
        for crash_id, crash in crashes.items()
        if not _has_better_suspect(table, crash_id, part, weight, now_ms)
    )
    if unexplained_weight < needed_weight:
        return False
    return now_ms - max(crash.recorded_ms for crash in crashes.values()) < QUARANTINE_MS


def quarantine_left_ms(table: PartCrashTable, prompt: Prompt | None, now_ms: int) -> int:
    """
    Compute for how long a request is refused because of a quarantined part.

    Two parts that were together in each crash are both quarantined, though only one may be the
    cause. A request with only one of them runs, which shows whether that one is.

    :param table: recorded crashes
    :param prompt: prompt of the request, None for a request to a plain service
    :param now_ms: monotonic time in milliseconds
    :return: milliseconds until the quarantine ends, 0 if the request may run
    """
    if not table.by_part or prompt is None:
        return 0
    shared = frozenset(part.part_id for part in prompt.shared_parts)
    left_ms = 0
    for part in shared & table.by_part.keys():
        if not is_part_quarantined(table, part, now_ms):
            continue
        crashes = _count_crashes(table, part, now_ms).values()
        always_together = frozenset.intersection(*(crash.companions for crash in crashes))
        if all(
            other in shared or not is_part_quarantined(table, other, now_ms)
            for other in always_together
        ):
            last_ms = max(crash.recorded_ms for crash in crashes)
            left_ms = max(left_ms, last_ms + QUARANTINE_MS - now_ms)
    return left_ms


def list_explained_crashes(table: PartCrashTable, now_ms: int) -> set[str]:
    """
    List the engine crashes that a quarantined part explains.

    :param table: recorded crashes
    :param now_ms: monotonic time in milliseconds
    :return: names of the engines
    """
    return {
        crash_id.partition("@")[0]
        for part, crashes in table.by_part.items()
        if is_part_quarantined(table, part, now_ms)
        for crash_id, crash in crashes.items()
        if not crash.cleared
    }


def list_reports(table: PartCrashTable, now_ms: int) -> tuple[PartCrashReport, ...]:
    """
    List the crashes that count, for a peer that may know none of them.

    :param table: recorded crashes
    :param now_ms: monotonic time in milliseconds
    :return: reports of the MAX_LISTED_REPORTS newest, the oldest first
    """
    reports = [
        _to_report(part, crash_id, crash, now_ms)
        for part, crashes in table.by_part.items()
        for crash_id, crash in crashes.items()
        if _is_counted(crash, now_ms)
    ]
    return tuple(reports[-MAX_LISTED_REPORTS:])


def _merge(known: PartCrash, report: PartCrashReport) -> bool:
    """Add what a report says beyond a known crash; return whether that changed it."""
    merged = (
        known.companions & report.companions,
        max(known.weight, report.weight),
        known.cleared or report.cleared,
    )
    if merged == (known.companions, known.weight, known.cleared):
        return False
    known.companions, known.weight, known.cleared = merged
    return True


def _evict(table: PartCrashTable, part: str, now_ms: int) -> None:
    """Bound the table; quarantined parts, which get no new crashes, are kept longest."""
    crashes = table.by_part[part]
    while len(crashes) > MAX_CRASHES_PER_PART:
        _forget(table, part, next(iter(crashes)))
    while len(table.by_part) > MAX_PARTS:
        others = (other for other in table.by_part if not is_part_quarantined(table, other, now_ms))
        oldest = next(others, next(iter(table.by_part)))
        for crash_id in list(table.by_part[oldest]):
            _forget(table, oldest, crash_id)
        del table.by_part[oldest]


def _forget(table: PartCrashTable, part: str, crash_id: str) -> None:
    del table.by_part[part][crash_id]
    parts = table.parts_by_crash[crash_id]
    parts.discard(part)
    if not parts:
        del table.parts_by_crash[crash_id]


def _is_counted(crash: PartCrash, now_ms: int) -> bool:
    return not crash.cleared and now_ms - crash.recorded_ms < CRASH_TTL_MS


def _count_crashes(table: PartCrashTable, part: str, now_ms: int) -> dict[str, PartCrash]:
    """:return: the crashes of a part that count, by crash ID"""
    return {
        crash_id: crash
        for crash_id, crash in table.by_part.get(part, {}).items()
        if _is_counted(crash, now_ms)
    }


def _has_better_suspect(
    table: PartCrashTable, crash_id: str, part: str, weight: int, now_ms: int
) -> bool:
    """:return: whether a part of another request weighs more over all crashes"""
    companions = table.by_part[part][crash_id].companions
    for other in table.parts_by_crash.get(crash_id, set()) - companions - {part}:
        crashes = _count_crashes(table, other, now_ms)
        other_weight = sum(crash.weight for crash in crashes.values())
        if crash_id in crashes and other_weight > weight and other_weight >= QUARANTINE_WEIGHT:
            return True
    return False


def _to_report(part: str, crash_id: str, crash: PartCrash, now_ms: int) -> PartCrashReport:
    return PartCrashReport(
        part=part,
        crash_id=crash_id,
        companions=crash.companions,
        weight=crash.weight,
        age_ms=max(0, now_ms - crash.recorded_ms),
        cleared=crash.cleared,
    )


__all__ = [
    "QUARANTINE_MS",
    "apply_report",
    "clear_parts",
    "is_part_quarantined",
    "list_explained_crashes",
    "list_reports",
    "quarantine_left_ms",
    "record_crash",
]
