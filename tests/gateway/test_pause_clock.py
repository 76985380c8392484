"""Pauses at a clock that counts whole milliseconds."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import MagicMock

from boragetiller.clock import ManualClock
from boragetiller.gateway.server_pauses import ServerPaused, ServerPauses
from boragetiller.tables.server_table import ServerTable
from tests.systems.test_server_placement import make_server


class PauseClockTest(unittest.TestCase):
    def test_request_is_sent_up_to_a_millisecond_before_the_end_of_a_pause(self) -> None:
        for asked_ms in (1_000.0, 999.6, 999.2):
            with self.subTest(asked_ms=asked_ms):
                clock, record = ManualClock(100), make_server("a").record  # it may be 100.9 ms
                pauses = ServerPauses(ServerTable(), clock, MagicMock())
                metadata: Any = MagicMock(instance="a", invalid_pause=None, pause_ms=asked_ms)
                pauses.record_head(record, metadata)
                clock.advance(1_000)
                with self.assertRaises(ServerPaused):
                    pauses.check(record)
                clock.advance(1)
                pauses.check(record)


if __name__ == "__main__":
    unittest.main()
