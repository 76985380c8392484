"""Requests that servers failed, and what their next try should know."""

from __future__ import annotations

import unittest

from boragetiller.systems.failure_history import (
    CRASH_CONFIRM_MS,
    ERROR_TTL_MS,
    MAX_REQUESTS,
    apply_failure,
    clear_request_crashes,
    confirm_crash,
    exclude_failed_servers,
    is_quarantined,
    record_connection_loss,
    record_error,
    request_fingerprint,
)
from boragetiller.systems.store_polling import POLL_INTERVAL_MS, StorePollSchedule
from boragetiller.tables.failure_history import FailureHistory, FailureKind, RequestFailure
from boragetiller.tables.servers import BackendServer, ServerRecord

BODY = request_fingerprint("north", "GET", "/stock/1?page=2", b"")
OTHER = request_fingerprint("north", "GET", "/stock/2", b"")


def server(name: str) -> BackendServer:
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


class RequestHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = FailureHistory()
        self.servers = [server("a"), server("b"), server("c")]

    def left(self, fingerprint: bytes, now_ms: int) -> list[str]:
        found = exclude_failed_servers(self.servers, self.history, fingerprint, now_ms)
        return [each.name for each in found]

    def crash(self, name: str, now_ms: int, fingerprint: bytes = BODY) -> None:
        record_connection_loss(self.history, fingerprint, name, now_ms - 50, now_ms)
        confirm_crash(self.history, name, now_ms + 100)

    def test_fingerprint_tells_customer_method_path_and_body_apart(self) -> None:
        calls = [
            ("north", "GET", "/a", b""),
            ("south", "GET", "/a", b""),
            ("north", "PUT", "/a", b""),
            ("north", "GET", "/b", b""),
            ("north", "GET", "/a", b"x"),
        ]
        self.assertEqual(len({request_fingerprint(*call) for call in calls}), len(calls))

    def test_error_keeps_next_try_from_the_server(self) -> None:
        record_error(self.history, BODY, "a", 0)
        record_error(self.history, BODY, "b", 10)
        self.assertEqual(self.left(BODY, 20), ["c"])
        self.assertEqual(self.left(OTHER, 20), ["a", "b", "c"])

    def test_error_of_all_servers_leaves_all(self) -> None:
        for name in "abc":
            record_error(self.history, BODY, name, 0)
        self.assertEqual(self.left(BODY, 1), ["a", "b", "c"])

    def test_error_is_forgotten(self) -> None:
        record_error(self.history, BODY, "a", 0)
        self.assertEqual(self.left(BODY, ERROR_TTL_MS), ["a", "b", "c"])

    def test_memory_of_errors_is_bounded(self) -> None:
        for number in range(MAX_REQUESTS + 5):
            record_error(self.history, number.to_bytes(12, "big"), "a", 0)
        self.assertEqual(len(self.history.errors), MAX_REQUESTS)

    def test_lost_connection_alone_is_no_crash(self) -> None:
        for name in "abc":
            record_connection_loss(self.history, BODY, name, 0, 10)
        self.assertFalse(is_quarantined(self.history, BODY, 20))

    def test_second_crash_quarantines(self) -> None:
        self.crash("a", 100)
        self.assertFalse(is_quarantined(self.history, BODY, 300))
        self.crash("b", 1_000)
        self.assertTrue(is_quarantined(self.history, BODY, 1_200))
        self.assertFalse(is_quarantined(self.history, OTHER, 1_200))

    def test_crash_found_too_late_strikes_nobody(self) -> None:
        record_connection_loss(self.history, BODY, "a", 0, 10)
        self.assertEqual(confirm_crash(self.history, "a", 10 + CRASH_CONFIRM_MS), [])

    def test_bystander_is_cleared_by_an_answer(self) -> None:
        self.crash("a", 100)
        clear_request_crashes(self.history, BODY)
        self.crash("b", 1_000)
        self.assertFalse(is_quarantined(self.history, BODY, 1_200))

    def test_quarantine_ends(self) -> None:
        self.crash("a", 100)
        self.crash("b", 200)
        self.assertFalse(is_quarantined(self.history, BODY, 700_000))

    def test_peer_takes_what_was_told(self) -> None:
        peer = FailureHistory()
        record_error(self.history, OTHER, "a", 0)
        self.crash("a", 100)
        self.crash("b", 1_000)
        for failure in self.history.recent.since(0):
            apply_failure(peer, failure, 1_200)
        self.assertTrue(is_quarantined(peer, BODY, 1_300))
        self.history = peer
        self.assertEqual(self.left(OTHER, 1_300), ["b", "c"])
        self.assertEqual(peer.recent.since(0), ())

    def test_news_begin_where_a_peer_was_told(self) -> None:
        record_error(self.history, BODY, "a", 0)
        told = self.history.recent.count
        record_error(self.history, BODY, "b", 0)
        self.assertEqual(
            self.history.recent.since(told), (RequestFailure(BODY, "b", FailureKind.ERROR),)
        )


class SharedReadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reads = StorePollSchedule()

    def test_router_alone_reads_in_its_interval(self) -> None:
        self.reads.record_own_poll(1_000)
        self.assertEqual(self.reads.wait_ms(0.0, 1_500), POLL_INTERVAL_MS - 500)

    def test_read_of_a_peer_serves_all(self) -> None:
        self.reads.record_own_poll(1_000)
        self.reads.record_peer_polls(
            "router-2", 4, 1_100
        )  # first word of it; its reads are of any age
        self.assertEqual(self.reads.wait_ms(0.0, 1_100), POLL_INTERVAL_MS - 100)
        self.reads.record_peer_polls("router-2", 5, 3_000)
        self.assertEqual(self.reads.wait_ms(0.0, 3_000), POLL_INTERVAL_MS)
        self.reads.record_peer_polls("router-2", 5, 4_000)
        self.assertEqual(self.reads.wait_ms(0.0, 4_000), POLL_INTERVAL_MS - 1_000)


if __name__ == "__main__":
    unittest.main()
