"""Failures of requests and crashes by prompt parts, as peers report them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragetiller.events import Event, log_event
from boragetiller.systems.failure_history import apply_failure
from boragetiller.systems.part_quarantine import apply_report

if TYPE_CHECKING:
    from boragetiller.gateway.peer_messages import PeerReport
    from boragetiller.tables.failure_history import FailureHistory


def apply_failures(history: FailureHistory, report: PeerReport, peer: str, now_ms: int) -> bool:
    """
    Apply the failures and part crashes of a peer's report.

    :param history: failures that this router knows
    :param report: the report
    :param peer: name of the peer
    :param now_ms: monotonic time in milliseconds
    :return: whether a part crash is news, which other peers must know at once
    """
    known = history.part_crashes.recent.count
    for failure in report.failures:
        apply_failure(history, failure, now_ms)
    quarantined = [
        part_crash.part
        for part_crash in report.part_crashes
        if apply_report(history.part_crashes, part_crash, now_ms)
    ]
    if quarantined:
        log_event(Event.PARTS_QUARANTINED, parts=quarantined, source=peer)
    return history.part_crashes.recent.count > known


__all__ = ["apply_failures"]
