"""Write log lines to a descriptor without ever blocking, within a budget for each event."""

from __future__ import annotations

import json
import os
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from boragetiller.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from loguru import Message

USUAL_LINES_PER_S = 100  # of one event; a router takes some ten calls a second at the peak
KEPT_LINES_PER_S = 500  # of events that tell of a failure or a change of belief
BURST_S = 2  # seconds of budget that may be used at once
USUAL_EVENTS = frozenset({"call_placed", "call_answered", "caller_left"})
SUMMARY_INTERVAL_MS = 1_000


@attrs.define
class LineBudget:
    """Lines that may still be written of one event."""

    lines_per_s: int
    left: float
    filled_ms: int

    def take(self, now_ms: int) -> bool:
        """
        Take one line.

        :param now_ms: monotonic time in milliseconds
        :return: whether it may be written
        """
        earned = (now_ms - self.filled_ms) * self.lines_per_s / 1_000
        self.left = min(self.lines_per_s * BURST_S, self.left + earned)
        self.filled_ms = now_ms
        if self.left < 1:
            return False
        self.left -= 1
        return True


class LogSink:
    """Sink for loguru: JSON lines on a descriptor that is set not to block."""

    def __init__(
        self,
        descriptor: int,
        process: str,
        now_ms: Callable[[], int],
        count_dropped: Callable[[str], None],
    ) -> None:
        """
        Prepare the sink; the descriptor is set not to block.

        :param descriptor: where lines go
        :param process: name of the process, in each line
        :param now_ms: monotonic time in milliseconds
        :param count_dropped: called with the name of the event for each line left out
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._process = process
        self._now_ms = now_ms
        self._count_dropped = count_dropped
        self._budgets: dict[str, LineBudget] = {}
        self._dropped: Counter[str] = Counter()
        self._summed_ms = now_ms()
        self._rest = b""

    def write(self, message: Message) -> None:
        """
        Write a record, or count it as left out.

        :param message: record of loguru
        """
        fields = message.record["extra"]
        event = _event_name(fields.get("event"))
        now_ms = self._now_ms()
        if not self._budget(event, now_ms).take(now_ms):
            self._drop(event)
            return
        time_ms = int(message.record["time"].timestamp() * 1_000)
        line = {"time_ms": time_ms, "process": self._process, **fields, "event_name": event}
        self._write_line(line, event)
        self._sum_up(time_ms, now_ms)

    def _budget(self, event: str, now_ms: int) -> LineBudget:
        if event not in self._budgets:
            lines = USUAL_LINES_PER_S if event in USUAL_EVENTS else KEPT_LINES_PER_S
            self._budgets[event] = LineBudget(lines, lines * BURST_S, now_ms)
        return self._budgets[event]

    def _sum_up(self, time_ms: int, now_ms: int) -> None:
        if not self._dropped or now_ms - self._summed_ms < SUMMARY_INTERVAL_MS:
            return
        self._summed_ms = now_ms
        counts, self._dropped = dict(self._dropped), Counter()
        line = {"time_ms": time_ms, "process": self._process, "lines_left_out": counts}
        self._write_line(line, "lines_left_out")

    def _write_line(self, line: dict[str, object], event: str) -> None:
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self._flush_rest():
            self._drop(event)
            return
        self._rest = data
        self._flush_rest()

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; True when nothing is left."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                self._rest = b""  # the reader is gone for good
                return False
            self._rest = self._rest[written:]
        return True

    def _drop(self, event: str) -> None:
        self._dropped[event] += 1
        self._count_dropped(event)


def _event_name(number: object) -> str:
    try:
        return Event(number).name.lower()
    except ValueError:
        return "log"


__all__ = ["LogSink"]
