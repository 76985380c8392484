"""Tests of the failure history of requests and of the polling of the store."""

from __future__ import annotations

import unittest

from boragetiller.systems.failure_history import (
    CRASH_CONFIRM_MS,
    ERROR_TTL_MS,
    MAX_REQUESTS,
    ConfirmedCrash,
    apply_failure,
    clear_request_crashes,
    compute_fingerprint,
    confirm_crash,
    exclude_failed_servers,
    is_quarantined,
    list_crashes,
    record_connection_loss,
    record_error,
)
from boragetiller.systems.store_polling import POLL_INTERVAL_MS, StorePollSchedule
from boragetiller.tables.failure_history import (
    FailureHistory,
    FailureKind,
    LostAttempt,
    RequestFailure,
)
from boragetiller.tables.part_crashes import CrashSuspect
from boragetiller.tables.servers import BackendServer, ServerRecord

BODY = compute_fingerprint("north", "GET", "/stock/1?page=2", b"")
OTHER = compute_fingerprint("north", "GET", "/stock/2", b"")


def make_server(name: str) -> BackendServer:
    return BackendServer(
        ServerRecord(
            name=name,
            group="shop",
            address="10.0.0.1:80",
            failure_domain="a",
            slots=6,
            draining=False,
            started_ms=0,
            warm_up_left_ms=0.0,
        )
    )


class FailureHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = FailureHistory()
        self.servers = [make_server("a"), make_server("b"), make_server("c")]

    def list_remaining(self, fingerprint: bytes, now_ms: int) -> list[str]:
        found = exclude_failed_servers(self.servers, self.history, fingerprint, now_ms)
        return [each.name for each in found]

    def crash(self, name: str, now_ms: int, fingerprint: bytes = BODY) -> None:
        attempt = LostAttempt(fingerprint, sent_ms=now_ms - 50, lost_ms=now_ms)
        record_connection_loss(self.history, name, attempt)
        confirm_crash(self.history, name, now_ms + 100)

    def test_fingerprint_depends_on_customer_method_path_and_body(self) -> None:
        calls = [
            ("north", "GET", "/a", b""),
            ("south", "GET", "/a", b""),
            ("north", "PUT", "/a", b""),
            ("north", "GET", "/b", b""),
            ("north", "GET", "/a", b"x"),
        ]
        self.assertEqual(len({compute_fingerprint(*call) for call in calls}), len(calls))

    def test_retry_avoids_servers_that_returned_an_error(self) -> None:
        record_error(self.history, BODY, "a", 0)
        record_error(self.history, BODY, "b", 10)
        self.assertEqual(self.list_remaining(BODY, 20), ["c"])
        self.assertEqual(self.list_remaining(OTHER, 20), ["a", "b", "c"])

    def test_all_servers_remain_after_errors_of_all(self) -> None:
        for name in "abc":
            record_error(self.history, BODY, name, 0)
        self.assertEqual(self.list_remaining(BODY, 1), ["a", "b", "c"])

    def test_error_expires(self) -> None:
        record_error(self.history, BODY, "a", 0)
        self.assertEqual(self.list_remaining(BODY, ERROR_TTL_MS), ["a", "b", "c"])

    def test_number_of_errors_is_bounded(self) -> None:
        for number in range(MAX_REQUESTS + 5):
            record_error(self.history, number.to_bytes(12, "big"), "a", 0)
        self.assertEqual(len(self.history.errors), MAX_REQUESTS)

    def test_lost_connection_alone_does_not_count_as_a_crash(self) -> None:
        for name in "abc":
            record_connection_loss(self.history, name, LostAttempt(BODY, sent_ms=0, lost_ms=10))
        self.assertFalse(is_quarantined(self.history, BODY, 20))

    def test_second_crash_quarantines(self) -> None:
        self.crash("a", 100)
        self.assertFalse(is_quarantined(self.history, BODY, 300))
        self.crash("b", 1_000)
        self.assertTrue(is_quarantined(self.history, BODY, 1_200))
        self.assertFalse(is_quarantined(self.history, OTHER, 1_200))

    def test_crash_confirmed_too_late_is_not_recorded(self) -> None:
        record_connection_loss(self.history, "a", LostAttempt(BODY, sent_ms=0, lost_ms=10))
        crash = confirm_crash(self.history, "a", 10 + CRASH_CONFIRM_MS)
        self.assertEqual(crash, ConfirmedCrash())

    def test_request_beside_a_quarantined_part_is_not_blamed(self) -> None:
        for number, server in enumerate("ab"):
            suspect = CrashSuspect(parts=("poison",), weight=2)
            beside = LostAttempt(BODY, sent_ms=0, lost_ms=10)
            cause = LostAttempt(OTHER, 0, 10, crash_id=f"{server}@0", suspect=suspect)
            record_connection_loss(self.history, server, beside)
            record_connection_loss(self.history, server, cause)
            confirm_crash(self.history, server, 20 + number)
        self.assertFalse(is_quarantined(self.history, BODY, 30))

    def test_number_of_crashed_requests_is_bounded(self) -> None:
        for number in range(MAX_REQUESTS + 5):
            self.crash("a", number, number.to_bytes(12, "big"))
        self.assertEqual(len(self.history.crashes.by_fingerprint), MAX_REQUESTS)

    def test_new_peer_is_told_of_recorded_crashes(self) -> None:
        self.crash("a", 100)
        self.crash("b", 200)
        told = {(each.fingerprint, each.server) for each in list_crashes(self.history)}
        self.assertEqual(told, {(BODY, "a"), (BODY, "b")})

    def test_answered_request_is_cleared_of_a_crash(self) -> None:
        self.crash("a", 100)
        clear_request_crashes(self.history, BODY)
        self.crash("b", 1_000)
        self.assertFalse(is_quarantined(self.history, BODY, 1_200))

    def test_quarantine_expires(self) -> None:
        self.crash("a", 100)
        self.crash("b", 200)
        self.assertFalse(is_quarantined(self.history, BODY, 700_000))

    def test_peer_applies_reported_failures(self) -> None:
        peer = FailureHistory()
        record_error(self.history, OTHER, "a", 0)
        self.crash("a", 100)
        self.crash("b", 1_000)
        for failure in self.history.recent.since(0):
            apply_failure(peer, failure, 1_200)
        self.assertTrue(is_quarantined(peer, BODY, 1_300))
        self.history = peer
        self.assertEqual(self.list_remaining(OTHER, 1_300), ["b", "c"])
        self.assertEqual(peer.recent.since(0), ())

    def test_since_returns_only_items_not_sent_yet(self) -> None:
        record_error(self.history, BODY, "a", 0)
        sent = self.history.recent.count
        record_error(self.history, BODY, "b", 0)
        self.assertEqual(
            self.history.recent.since(sent), (RequestFailure(BODY, "b", FailureKind.ERROR),)
        )


class StorePollScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.schedule = StorePollSchedule()

    def test_single_router_polls_at_its_interval(self) -> None:
        self.schedule.record_own_poll(1_000)
        self.assertEqual(self.schedule.compute_wait_ms(0.0, 1_500), POLL_INTERVAL_MS - 500)

    def test_poll_of_a_peer_delays_the_own_poll(self) -> None:
        self.schedule.record_own_poll(1_000)
        self.schedule.record_peer_polls("router-2", 4, 1_100)  # first report; age of polls unknown
        self.assertEqual(self.schedule.compute_wait_ms(0.0, 1_100), POLL_INTERVAL_MS - 100)
        self.schedule.record_peer_polls("router-2", 5, 3_000)
        self.assertEqual(self.schedule.compute_wait_ms(0.0, 3_000), POLL_INTERVAL_MS)
        self.schedule.record_peer_polls("router-2", 5, 4_000)
        self.assertEqual(self.schedule.compute_wait_ms(0.0, 4_000), POLL_INTERVAL_MS - 1_000)


if __name__ == "__main__":
    unittest.main()
