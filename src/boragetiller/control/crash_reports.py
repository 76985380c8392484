"""Flood strikes to every node, each once."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from boragetiller.control.messages import FINGERPRINT_BYTES, CrashReport, CrashReportList

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragetiller.clock import Clock
    from boragetiller.control.interfaces import CrashReportHandler
    from boragetiller.control.messages import Message

MAX_STRIKES = 2_048
STRIKES_PER_MESSAGE = 128


class CrashReportRelay:
    """Hands new strikes to this process and to the other peers."""

    def __init__(
        self,
        sink: CrashReportHandler | None,
        send: Callable[[str, Message], bool],
        peers: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        """
        Prepare the relay.

        :param sink: learns of strikes from elsewhere
        :param send: sends a message to a connected peer
        :param peers: names the connected peers
        :param clock: monotonic time
        """
        self._sink = sink
        self._send = send
        self._peers = peers
        self._clock = clock
        self._struck_ms: OrderedDict[tuple[bytes, str], int] = OrderedDict()

    def publish(self, reports: Iterable[CrashReport]) -> None:
        """
        Spread strikes that this process saw itself.

        :param strikes: new strikes
        """
        self._forward([report for report in reports if self._remember(report)], sender="")

    def on_reports(self, peer: str, reports: Iterable[CrashReport]) -> None:
        """
        Take strikes from a peer; those that are new go on to the others.

        :param peer: the sender
        :param strikes: what it sent
        """
        new = [report for report in reports if self._remember(report)]
        now_ms = self._clock.now_ms()
        for report in new:
            if self._sink is not None:
                self._sink.handle_crash_report(report, now_ms)
        self._forward(new, sender=peer)

    def on_connected(self, peer: str) -> None:
        """
        Tell a new peer the latest strikes.

        :param peer: its name
        """
        latest = list(self._struck_ms)[-STRIKES_PER_MESSAGE:]
        if latest:
            self._send(
                peer, CrashReportList(crash_reports=tuple(self._to_strike(key) for key in latest))
            )

    def _remember(self, report: CrashReport) -> bool:
        key = (report.fingerprint, report.backend_server)
        if key in self._struck_ms or len(report.fingerprint) != FINGERPRINT_BYTES:
            return False
        self._struck_ms[key] = self._clock.now_ms() - report.age_ms
        if len(self._struck_ms) > MAX_STRIKES:
            self._struck_ms.popitem(last=False)
        return True

    def _forward(self, reports: list[CrashReport], sender: str) -> None:
        for start in range(0, len(reports), STRIKES_PER_MESSAGE):
            message = CrashReportList(
                crash_reports=tuple(reports[start : start + STRIKES_PER_MESSAGE])
            )
            for name in self._peers():
                if name != sender:
                    self._send(name, message)

    def _to_strike(self, key: tuple[bytes, str]) -> CrashReport:
        fingerprint, backend_server = key
        age_ms = self._clock.now_ms() - self._struck_ms[key]
        return CrashReport(fingerprint=fingerprint, backend_server=backend_server, age_ms=age_ms)


__all__ = ["CrashReportRelay"]
