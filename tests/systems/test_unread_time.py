"""Whether the end of an attempt follows from a caller that does not read."""

from __future__ import annotations

import unittest

from boragetiller.systems.server_health import FAILURES
from boragetiller.systems.slow_callers.unread_time import (
    CAUGHT_UP_MS,
    MIN_UNREAD_MS,
    UnreadTime,
    is_left_unread,
    record_caller_wait,
    record_server_wait,
)
from boragetiller.tables.direct_attempts import DirectAttemptOutcome, DirectAttemptResult
from boragetiller.verdict import Verdict


class UnreadTimeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.unread = UnreadTime()

    def test_loss_long_after_a_pause_is_the_servers(self) -> None:
        # Guards against servers that are never blamed again once a caller was slow.
        record_caller_wait(self.unread, MIN_UNREAD_MS)
        for _ in range(CAUGHT_UP_MS // 50):
            self.assertTrue(is_left_unread(self.unread))
            record_server_wait(self.unread, 50)
        self.assertFalse(is_left_unread(self.unread))

    def test_loss_after_many_short_pauses_is_not_the_servers(self) -> None:
        for _ in range(10):
            self.assertFalse(is_left_unread(self.unread))
            record_server_wait(self.unread, 1)
            record_caller_wait(self.unread, MIN_UNREAD_MS // 10)
        self.assertTrue(is_left_unread(self.unread))

    def test_loss_right_after_a_pause_is_not_the_servers_whatever_was_waited_before(self) -> None:
        # Guards against a stream without framing that is cut off and taken for complete.
        record_server_wait(self.unread, CAUGHT_UP_MS - 1)
        record_caller_wait(self.unread, MIN_UNREAD_MS)
        record_server_wait(self.unread, 1)
        self.assertTrue(is_left_unread(self.unread))

    def test_callers_that_read_at_once_excuse_no_server(self) -> None:
        for _ in range(10_000):
            record_server_wait(self.unread, 20)
            record_caller_wait(self.unread, 1)
            self.assertFalse(is_left_unread(self.unread))

    def test_unread_response_has_run_and_is_no_failure_of_its_server(self) -> None:
        result = DirectAttemptResult(DirectAttemptOutcome.UNREAD)
        self.assertIs(result.verdict, Verdict.RAN)
        self.assertNotIn(result.outcome, FAILURES)

    def test_response_without_room_may_have_run_and_is_no_failure_of_its_server(self) -> None:
        result = DirectAttemptResult(DirectAttemptOutcome.NO_MEMORY)
        self.assertIs(result.verdict, Verdict.MAY_HAVE_RUN)
        self.assertNotIn(result.outcome, FAILURES)


if __name__ == "__main__":
    unittest.main()
