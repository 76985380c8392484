"""Reading of reports from their Cap'n Proto messages."""

from __future__ import annotations

import math
from typing import Any

from boragetiller.gateway.peer_reports import CachedPrompt, PeerReport, ReportedLoad
from boragetiller.store_eras import extend_revision
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.failure_history import FailureKind, RequestFailure
from boragetiller.tables.part_crashes import PartCrashReport
from boragetiller.tables.report_entries import (
    CustomerCount,
    LatencySummary,
    ServerAnnouncement,
    ServerSpeedReport,
    UsageCounts,
)
from boragetiller.tables.server_limits import LimitReport


def _read_finite(value: float) -> float:
    """:raises ValueError: the value is infinite or not a number, which no sum recovers from"""
    if not math.isfinite(value):
        raise ValueError(f"got {value}; must be finite")
    return value


def read_report(report: Any) -> PeerReport:
    """
    Read a report from its Cap'n Proto message.

    :param report: reader of the message
    :return: the report
    :raises ValueError: a number in it is infinite or not a number
    """
    loads = [
        ReportedLoad(
            server=load.server,
            in_flight=load.inFlight,
            unread_tokens=tuple(load.unreadTokens),
            sensitivity=_read_finite(load.sensitivity),
            committed_tokens=load.committedTokens,
        )
        for load in report.loads
    ]
    prompts = [
        CachedPrompt(server=prompt.server, prompt=_read_prompt(prompt)) for prompt in report.prompts
    ]
    return PeerReport(
        config_revision=extend_revision(report.configEra, report.configRevision),
        servers_revision=extend_revision(report.serversEra, report.serversRevision),
        loads=tuple(loads),
        prompts=tuple(prompts),
        failures=tuple(_read_failure(failure) for failure in report.failures),
        part_crashes=tuple(_read_part_crash(crash) for crash in report.partCrashes),
        limits=tuple(_read_limit(limit) for limit in report.limits),
        entries_digest=report.entriesDigest,
        config_source=report.configSource,
        follows_config=report.followsConfig,
        is_config_quick=report.isConfigQuick,
        store_reads=report.storeReads,
        reaches_store=report.reachesStore,
        watches=report.watches,
        speeds=tuple(
            ServerSpeedReport(server=each.server, work_percent=each.workPercent, age_ms=each.ageMs)
            for each in report.speeds
        ),
        usage=tuple(_read_usage(each) for each in report.usage),
        hedges=tuple(
            LatencySummary(route=each.route, sketch=bytes(each.sketch)) for each in report.hedges
        ),
        announcements=tuple(
            ServerAnnouncement(server=each.server, started_ms=each.startedMs, leaving=each.leaving)
            for each in report.announcements
        ),
    )


def _read_failure(failure: Any) -> RequestFailure:
    kind = FailureKind.CRASH if failure.crashed else FailureKind.ERROR
    return RequestFailure(bytes(failure.fingerprint), failure.server, kind)


def _read_limit(limit: Any) -> LimitReport:
    limit_per_s = None if limit.ended else _read_finite(limit.limitPerS)
    return LimitReport(server=limit.server, limit_per_s=limit_per_s, age_ms=limit.ageMs)


def _read_part_crash(crash: Any) -> PartCrashReport:
    return PartCrashReport(
        part=crash.part,
        crash_id=crash.crashId,
        companions=frozenset(crash.companions),
        weight=crash.weight,
        age_ms=crash.ageMs,
        cleared=crash.cleared,
    )


def _read_prompt(prompt: Any) -> Prompt:
    return Prompt(
        model=prompt.model,
        input_tokens=prompt.inputTokens,
        output_tokens=prompt.outputTokens,
        parts=tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
    )


def _read_usage(usage: Any) -> UsageCounts:
    return UsageCounts(
        window_no=usage.windowNo,
        router=usage.router,
        incarnation=usage.incarnation,
        wall_clock_ms=usage.wallClockMs,
        counts=tuple(CustomerCount(each.customer, each.requests) for each in usage.counts),
    )


__all__ = ["read_report"]
