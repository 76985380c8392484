"""Tests of the log sink: non-blocking writes and rate limits."""

from __future__ import annotations

import json
import os
import unittest
from collections import Counter
from types import SimpleNamespace

from loguru import logger

from boragetiller.clock import ManualClock
from boragetiller.events import Event, configure_json_logging, log_event
from boragetiller.log_sink import DEFAULT_LINES_PER_S, ROUTINE_LINES_PER_S, LogSink


class LogSinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.clock = ManualClock()
        self.dropped: Counter[str] = Counter()
        self.sink = LogSink(self.write_end, "r1", self.clock.now_ms, self.count_dropped)
        configure_json_logging(self.sink)
        self.addCleanup(logger.remove)

    def count_dropped(self, event: str) -> None:
        self.dropped[event] += 1

    def read_lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.read_end, False)
        data = b""
        try:
            while part := os.read(self.read_end, 65_536):
                data += part
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        return []

    def test_line_has_the_process_the_event_and_its_fields(self) -> None:
        log_event(Event.CALL_HEDGED, request_id="id", server="s")
        (line,) = self.read_lines()
        self.assertEqual((line["process"], line["event"]), ("r1", Event.CALL_HEDGED.value))
        self.assertEqual((line["request_id"], line["server"]), ("id", "s"))

    def test_routine_events_have_a_lower_limit_than_failures(self) -> None:
        written: Counter[object] = Counter()
        for _ in range(DEFAULT_LINES_PER_S * 3):
            log_event(Event.CALL_ANSWERED, request_id="id")
            log_event(Event.CALL_FAILED, request_id="id")
            written.update(line["event_name"] for line in self.read_lines())
        self.assertEqual(written["call_answered"], ROUTINE_LINES_PER_S * 2)
        self.assertEqual(written["call_failed"], DEFAULT_LINES_PER_S * 2)
        self.assertEqual(
            self.dropped["call_answered"], DEFAULT_LINES_PER_S * 3 - written["call_answered"]
        )

    def test_dropped_lines_are_counted_in_a_summary(self) -> None:
        for _ in range(ROUTINE_LINES_PER_S * 3):
            log_event(Event.CALL_ANSWERED, request_id="id")
        self.read_lines()
        self.clock.advance(2_000)
        log_event(Event.CALL_ANSWERED, request_id="id")
        self.assertEqual(
            self.read_lines()[-1]["lines_left_out"], {"call_answered": ROUTINE_LINES_PER_S}
        )

    def test_full_pipe_drops_lines_and_leaves_no_truncated_line(self) -> None:
        message = SimpleNamespace(
            record={"extra": {"event": 0, "text": "y" * 900}, "time": _Time()}
        )
        for _ in range(400):
            self.sink.write(message)
        self.assertGreater(self.dropped["log"], 0)
        self.check_lines()
        self.sink.write(message)
        self.check_lines()

    def check_lines(self) -> None:
        for line in self.read_lines()[:-1]:
            self.assertEqual(line["event_name"], "log")


class _Time:
    def timestamp(self) -> float:
        return 1.0


if __name__ == "__main__":
    unittest.main()
