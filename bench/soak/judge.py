"""Judge a soak by its records alone."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from bench.soak.records import Arrival, Attempt, Impairment, Ledger, StreamEvent

PAUSE_SLACK_S = 0.5  # requests that were under way when a server asked for a pause
MAX_IN_PAUSE = 2
NOT_FOUND = 404
PROMISES = frozenset({408, 421, 429, 503})
NON_IDEMPOTENT = "reserve"
STREAM = "gauges"


@attrs.frozen(order=True)
class Violation:
    """A broken rule."""

    rule: str
    detail: str


def judge(ledger: Ledger, last_event: int) -> list[Violation]:
    """
    Find all broken rules.

    :param ledger: records of the run
    :param last_event: number of the last event of each stream
    :return: violations
    """
    return [
        *find_joined_streams(ledger.attempts, last_event),
        *find_ignored_pauses(ledger),
        *find_repeated_runs(ledger),
        *find_mixed_responses(ledger.attempts),
        *find_late_configs(ledger),
    ]


def find_joined_streams(attempts: list[Attempt], last_event: int) -> list[Violation]:
    """Find streams whose events are not those of one version, each once and in order (ORDER)."""
    violations = []
    for operation, tries in _group_streams(attempts).items():
        events = [event for each in tries for event in each.events]
        if len({event.version for event in events}) > 1:
            violations.append(Violation("ORDER", f"{operation}: versions {_describe(tries)}"))
        numbers = [event.number for event in events]
        if numbers != list(range(1, len(numbers) + 1)):
            violations.append(Violation("ORDER", f"{operation}: numbers {_describe(tries)}"))
        ends_early = any(_is_complete(each) for each in tries) and len(numbers) < last_event
        if ends_early:
            violations.append(Violation("ORDER", f"{operation}: early end {_describe(tries)}"))
    return violations


def find_ignored_pauses(ledger: Ledger) -> list[Violation]:
    """
    Find servers that a router kept using in the time for which they told it to wait (BUDGET).

    A router that was restarted, frozen or cut off in that time is excused.
    """
    router_by_id = {each.request_id: each.router for each in ledger.attempts}
    arrivals: defaultdict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in sorted(ledger.arrivals, key=lambda each: each.at_s):
        if (router := router_by_id.get(arrival.request_id)) is not None:
            arrivals[arrival.server, router].append(arrival)
    violations = []
    for (server, router), received in arrivals.items():
        times_s = [each.at_s for each in received]
        worst = 0
        for refusal in received:
            if refusal.status != 503 or refusal.retry_after_s is None:
                continue
            end_s = refusal.at_s + refusal.retry_after_s
            if _is_impaired(ledger.impairments, router, refusal.at_s, end_s):
                continue
            start_s = refusal.at_s + PAUSE_SLACK_S
            worst = max(worst, bisect_left(times_s, end_s) - bisect_right(times_s, start_s))
        if worst > MAX_IN_PAUSE:
            violations.append(
                Violation("BUDGET", f"{worst} requests in a pause of {server} from {router}")
            )
    return violations


def find_repeated_runs(ledger: Ledger) -> list[Violation]:
    """Find requests that ran twice (TWICE) or after a promise that they did not (REFUSED)."""
    runs = Counter(arrival.request_id for arrival in ledger.arrivals if arrival.ran)
    violations = []
    for attempt in ledger.attempts:
        if attempt.route != NON_IDEMPOTENT:
            continue
        count = runs[attempt.request_id]
        if count > 1:
            violations.append(Violation("TWICE", f"{attempt.request_id} ran {count} times"))
        if count and attempt.status in PROMISES:
            violations.append(
                Violation("REFUSED", f"{attempt.request_id} ran and was told {attempt.status}")
            )
    return violations


def find_mixed_responses(attempts: list[Attempt]) -> list[Violation]:
    """Find responses that are not the server's, or look complete and are not (MIXED)."""
    violations = []
    for attempt in attempts:
        if not 200 <= attempt.status < 300:
            continue
        name = f"{attempt.request_id} from {attempt.router}"
        if not attempt.sealed:
            violations.append(Violation("MIXED", f"{name}: without a seal"))
        if attempt.whole and not attempt.body_matches:
            violations.append(Violation("MIXED", f"{name}: with another body"))
    return violations


def find_late_configs(ledger: Ledger) -> list[Violation]:
    """
    Find versions of the configuration that a router had not in time (CONFIG).

    A router that was restarted, frozen or cut off since the change is excused.
    """
    confirmed_s = {change.version: change.at_s for change in ledger.changes}
    late = Counter(
        (probe.router, probe.version)
        for probe in ledger.probes
        if probe.status == NOT_FOUND
        and not _is_impaired(
            ledger.impairments, probe.router, confirmed_s[probe.version], probe.sent_s
        )
    )
    return [
        Violation("CONFIG", f"{router} lacked version {version} at {count} requests")
        for (router, version), count in late.items()
    ]


def count_taken_up(attempts: list[Attempt]) -> tuple[int, int]:
    """:return: number of streams that callers took up again, and how many of them were completed"""
    streams = _group_streams(attempts).values()
    taken_up = [tries for tries in streams if any(each.resumes is not None for each in tries)]
    return len(taken_up), sum(any(_is_complete(each) for each in tries) for tries in taken_up)


def _group_streams(attempts: list[Attempt]) -> dict[str, list[Attempt]]:
    streams: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(attempts, key=lambda each: each.sent_s):
        if attempt.route == STREAM:
            streams[attempt.operation].append(attempt)
    return dict(streams)


def _is_complete(attempt: Attempt) -> bool:
    return attempt.status == 200 and attempt.whole


def _is_impaired(impairments: list[Impairment], router: str, start_s: float, end_s: float) -> bool:
    return any(
        each.router == router and each.start_s < end_s and each.end_s > start_s
        for each in impairments
    )


def _describe(tries: list[Attempt]) -> str:
    """:return: for each request its ID, router, and runs with their events"""
    return "; ".join(
        f"{each.request_id}@{each.router} {', '.join(_describe_runs(each.events)) or each.status}"
        for each in tries
    )


def _describe_runs(events: list[StreamEvent]) -> list[str]:
    runs: list[list[StreamEvent]] = []
    for event in events:
        if not runs or runs[-1][-1].run != event.run:
            runs.append([])
        runs[-1].append(event)
    return [f"{run[0].number}-{run[-1].number} {run[0].run}/{run[0].version}" for run in runs]


__all__ = [
    "Violation",
    "count_taken_up",
    "find_ignored_pauses",
    "find_joined_streams",
    "find_late_configs",
    "find_mixed_responses",
    "find_repeated_runs",
    "judge",
]
