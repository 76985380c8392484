"""Flooding of crash reports to all nodes, without duplicates."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from boragetiller.control.messages import FINGERPRINT_BYTES, CrashReport, CrashReportList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import CrashReportHandler
    from boragetiller.control.messages import Message

MAX_REPORTS = 2_048
REPORTS_PER_MESSAGE = 128


class CrashReportRelay:
    """Passes new crash reports to this process and forwards them to the other peers."""

    def __init__(
        self,
        handler: CrashReportHandler | None,
        send: Callable[[str, Message], bool],
        peers: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        """
        Start without crash reports.

        :param handler: receives the crash reports of other nodes
        :param send: sends a message to a connected peer
        :param peers: returns the names of the connected peers
        :param clock: monotonic time
        """
        self._handler = handler
        self._send = send
        self._peers = peers
        self._clock = clock
        self._crashed_ms: OrderedDict[tuple[bytes, str], int] = OrderedDict()

    def publish(self, reports: Iterable[CrashReport]) -> None:
        """
        Send crash reports of this process to all peers.

        :param reports: new crash reports
        """
        self._forward([report for report in reports if self._record_if_new(report)], sender="")

    def on_reports(self, peer: str, reports: Iterable[CrashReport]) -> None:
        """
        Handle crash reports of a peer and forward those that are new to the other peers.

        :param peer: the sender
        :param reports: received crash reports
        """
        new_reports = [report for report in reports if self._record_if_new(report)]
        now_ms = self._clock.now_ms()
        for report in new_reports:
            if self._handler is not None:
                self._handler.handle_crash_report(report, now_ms)
        self._forward(new_reports, sender=peer)

    def on_connected(self, peer: str) -> None:
        """
        Send the latest crash reports to a new peer.

        :param peer: name of the peer
        """
        latest = list(self._crashed_ms)[-REPORTS_PER_MESSAGE:]
        if latest:
            self._send(
                peer,
                CrashReportList(crash_reports=tuple(self._build_report(key) for key in latest)),
            )

    def _record_if_new(self, report: CrashReport) -> bool:
        key = (report.fingerprint, report.backend_server)
        if key in self._crashed_ms or len(report.fingerprint) != FINGERPRINT_BYTES:
            return False
        self._crashed_ms[key] = self._clock.now_ms() - report.age_ms
        if len(self._crashed_ms) > MAX_REPORTS:
            self._crashed_ms.popitem(last=False)
        return True

    def _forward(self, reports: list[CrashReport], sender: str) -> None:
        for start in range(0, len(reports), REPORTS_PER_MESSAGE):
            message = CrashReportList(
                crash_reports=tuple(reports[start : start + REPORTS_PER_MESSAGE])
            )
            for name in self._peers():
                if name != sender:
                    self._send(name, message)

    def _build_report(self, key: tuple[bytes, str]) -> CrashReport:
        fingerprint, backend_server = key
        age_ms = self._clock.now_ms() - self._crashed_ms[key]
        return CrashReport(fingerprint=fingerprint, backend_server=backend_server, age_ms=age_ms)


__all__ = ["CrashReportRelay"]
