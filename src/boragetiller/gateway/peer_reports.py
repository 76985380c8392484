"""Reports that routers send to each other at intervals, and their Cap'n Proto fields."""

from __future__ import annotations

from typing import Any

import attrs

from boragetiller.store_eras import get_era, get_store_revision
from boragetiller.tables.call_metadata import Prompt
from boragetiller.tables.failure_history import FailureKind, RequestFailure
from boragetiller.tables.part_crashes import PartCrashReport
from boragetiller.tables.report_entries import (
    LatencySummary,
    ServerAnnouncement,
    ServerSpeedReport,
    UsageCounts,
)
from boragetiller.tables.server_limits import LimitReport


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """The sender's load at a backend server."""

    server: str
    in_flight: int  # requests; 0 after the last one has ended
    unread_tokens: tuple[int, ...]  # prompt tokens that wait for prefill, by urgency
    sensitivity: float  # sum over its streams; see systems.server_placement
    committed_tokens: int = 0  # of the server's memory; 0 if the sender does not report it


@attrs.frozen(kw_only=True)
class CachedPrompt:
    """A prompt that the sender sent to a backend server, which now has it in its cache."""

    server: str
    prompt: Prompt


@attrs.frozen(kw_only=True)
class PeerReport:
    """Heartbeat with the changes of the sender's state and the extended revisions that it knows."""

    config_revision: int
    servers_revision: int
    loads: tuple[ReportedLoad, ...] = ()  # only those that changed since the last report
    prompts: tuple[CachedPrompt, ...] = ()
    failures: tuple[RequestFailure, ...] = ()
    part_crashes: tuple[PartCrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    store_reads: int = 0  # number of times that the sender polled the store
    reaches_store: bool = False  # whether its last call to the store succeeded
    watches: bool = False  # whether it watches the list of backend servers in the store itself
    speeds: tuple[ServerSpeedReport, ...] = ()
    usage: tuple[UsageCounts, ...] = ()
    hedges: tuple[LatencySummary, ...] = ()
    announcements: tuple[ServerAnnouncement, ...] = ()
    entries_digest: int = 0  # of the store entries that the sender knows; see StoreView
    config_source: str = ""  # name of the router that is asked for the newest configuration
    follows_config: bool = False  # whether the sender reads the configuration in the store itself
    is_config_quick: bool = False  # whether the link of the sender takes little time for it

    def differs_from(self, last: PeerReport | None) -> bool:
        """
        Check whether the report differs from the last one.

        :param last: the last report that was sent, None if there is none
        :return: whether it has any entries, or another state of the store
        """
        if last is None or count_entries(self):
            return True
        return self._store_state() != last._store_state()  # noqa: SLF001

    def _store_state(self) -> tuple[object, ...]:
        return (
            self.config_revision,
            self.servers_revision,
            self.entries_digest,
            self.store_reads,
            self.reaches_store,
            self.watches,
            self.config_source,
            self.follows_config,
            self.is_config_quick,
        )


def count_entries(report: PeerReport) -> int:
    """
    Count the entries of all lists of a report, nested ones included.

    :param report: the report
    :return: number of entries; an upper bound of its size follows from it
    """
    lists = (
        report.loads,
        report.prompts,
        report.failures,
        report.part_crashes,
        report.limits,
        report.speeds,
        report.usage,
        report.hedges,
        report.announcements,
    )
    nested = sum(len(read.prompt.parts) for read in report.prompts)
    nested += sum(len(crash.companions) for crash in report.part_crashes)
    nested += sum(len(usage.counts) for usage in report.usage)
    return nested + sum(map(len, lists))


def build_report_fields(message: PeerReport) -> dict[str, Any]:
    """
    Build the Cap'n Proto fields of a report.

    :param message: the report
    :return: fields by name
    """
    loads = [
        {
            "server": load.server,
            "inFlight": load.in_flight,
            "unreadTokens": list(load.unread_tokens),
            "sensitivity": load.sensitivity,
            "committedTokens": load.committed_tokens,
        }
        for load in message.loads
    ]
    prompts = [
        {
            "server": read.server,
            "model": read.prompt.model,
            "inputTokens": read.prompt.input_tokens,
            "outputTokens": read.prompt.output_tokens,
            "parts": [{"id": part.part_id, "tokens": part.tokens} for part in read.prompt.parts],
        }
        for read in message.prompts
    ]
    return {
        "configRevision": get_store_revision(message.config_revision),
        "serversRevision": get_store_revision(message.servers_revision),
        "configEra": get_era(message.config_revision),
        "serversEra": get_era(message.servers_revision),
        "loads": loads,
        "prompts": prompts,
        "failures": [
            {
                "fingerprint": failure.fingerprint,
                "server": failure.server,
                "crashed": failure.kind is FailureKind.CRASH,
            }
            for failure in message.failures
        ],
        "partCrashes": [
            {
                "part": crash.part,
                "crashId": crash.crash_id,
                "companions": sorted(crash.companions),
                "weight": crash.weight,
                "ageMs": crash.age_ms,
                "cleared": crash.cleared,
            }
            for crash in message.part_crashes
        ],
        "limits": [
            {
                "server": limit.server,
                "limitPerS": limit.limit_per_s or 0.0,
                "ended": limit.limit_per_s is None,
                "ageMs": limit.age_ms,
            }
            for limit in message.limits
        ],
        "entriesDigest": message.entries_digest,
        "configSource": message.config_source,
        "followsConfig": message.follows_config,
        "isConfigQuick": message.is_config_quick,
        "storeReads": message.store_reads,
        "reachesStore": message.reaches_store,
        "watches": message.watches,
        "speeds": [
            {"server": each.server, "workPercent": each.work_percent, "ageMs": each.age_ms}
            for each in message.speeds
        ],
        "usage": [_build_usage(each) for each in message.usage],
        "hedges": [attrs.asdict(each) for each in message.hedges],
        "announcements": [
            {"server": each.server, "startedMs": each.started_ms, "leaving": each.leaving}
            for each in message.announcements
        ],
    }


def _build_usage(usage: UsageCounts) -> dict[str, Any]:
    return {
        "windowNo": usage.window_no,
        "router": usage.router,
        "incarnation": usage.incarnation,
        "wallClockMs": usage.wall_clock_ms,
        "counts": [attrs.asdict(count) for count in usage.counts],
    }


__all__ = [
    "CachedPrompt",
    "PeerReport",
    "ReportedLoad",
    "build_report_fields",
    "count_entries",
]
