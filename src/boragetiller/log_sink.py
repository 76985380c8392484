"""Non-blocking log sink that writes JSON lines, with a rate limit for each event."""

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

ROUTINE_LINES_PER_S = 100  # per routine event; a router serves about ten calls/s at peak
DEFAULT_LINES_PER_S = 500  # per other event; these report failures and state changes
BURST_S = 2  # capacity of a token bucket, in seconds of its rate
ROUTINE_EVENTS = frozenset({"call_placed", "call_answered", "caller_left"})
SUMMARY_INTERVAL_MS = 1_000


@attrs.define
class LineTokenBucket:
    """Token bucket that limits the lines of one event; a line costs one token."""

    lines_per_s: int
    tokens: float
    refilled_ms: int

    def take(self, now_ms: int) -> bool:
        """
        Take a token for one line.

        :param now_ms: monotonic time in milliseconds
        :return: whether the line may be written
        """
        refill = (now_ms - self.refilled_ms) * self.lines_per_s / 1_000
        self.tokens = min(self.lines_per_s * BURST_S, self.tokens + refill)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class LogSink:
    """Sink for loguru that writes JSON lines to a non-blocking file descriptor."""

    def __init__(
        self,
        descriptor: int,
        process: str,
        now_ms: Callable[[], int],
        count_dropped: Callable[[str], None],
    ) -> None:
        """
        Create the sink and make the file descriptor non-blocking.

        :param descriptor: file descriptor to write to
        :param process: name of the process, a field of each line
        :param now_ms: returns monotonic time in milliseconds
        :param count_dropped: called with the name of the event for each dropped line
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._process = process
        self._now_ms = now_ms
        self._count_dropped = count_dropped
        self._buckets: dict[str, LineTokenBucket] = {}
        self._dropped: Counter[str] = Counter()
        self._summary_written_ms = now_ms()
        self._unwritten = b""

    def write(self, message: Message) -> None:
        """
        Write a record, or drop and count it if its event is over the rate limit.

        :param message: record of loguru
        """
        fields = message.record["extra"]
        event = _get_event_name(fields.get("event"))
        now_ms = self._now_ms()
        if not self._get_bucket(event, now_ms).take(now_ms):
            self._drop(event)
            return
        time_ms = int(message.record["time"].timestamp() * 1_000)
        line = {"time_ms": time_ms, "process": self._process, **fields, "event_name": event}
        self._write_line(line, event)
        self._write_summary(time_ms, now_ms)

    def _get_bucket(self, event: str, now_ms: int) -> LineTokenBucket:
        if event not in self._buckets:
            lines_per_s = ROUTINE_LINES_PER_S if event in ROUTINE_EVENTS else DEFAULT_LINES_PER_S
            self._buckets[event] = LineTokenBucket(lines_per_s, lines_per_s * BURST_S, now_ms)
        return self._buckets[event]

    def _write_summary(self, time_ms: int, now_ms: int) -> None:
        if not self._dropped or now_ms - self._summary_written_ms < SUMMARY_INTERVAL_MS:
            return
        self._summary_written_ms = now_ms
        counts, self._dropped = dict(self._dropped), Counter()
        line = {"time_ms": time_ms, "process": self._process, "lines_left_out": counts}
        self._write_line(line, "lines_left_out")

    def _write_line(self, line: dict[str, object], event: str) -> None:
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self._flush():
            self._drop(event)
            return
        self._unwritten = data
        self._flush()

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether all of it was written."""
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self._unwritten = b""  # the reader closed the pipe; drop the line
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _drop(self, event: str) -> None:
        self._dropped[event] += 1
        self._count_dropped(event)


def _get_event_name(number: object) -> str:
    try:
        return Event(number).name.lower()
    except ValueError:
        return "log"


__all__ = ["LogSink"]
