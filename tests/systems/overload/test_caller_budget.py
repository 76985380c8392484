"""Tests of what callers may hold and whose connection ends first."""

from __future__ import annotations

import unittest

from boragetiller.systems.overload.caller_budget import (
    MB,
    choose_connection_to_close,
    choose_holder_to_end,
    derive_limits,
    exceeds_chunk_overhead,
    has_room,
)
from boragetiller.tables.caller_budget import ConnectionPhase, ConnectionUse

MAX_BODY_BYTES = 4_194_304
NOW_MS = 100_000


def build_use(phase: ConnectionPhase = ConnectionPhase.BODY, **fields: object) -> ConnectionUse:
    return ConnectionUse(
        **{"address": "a", "phase": phase, "phase_since_ms": 0, **fields}  # type: ignore[arg-type]
    )


class LimitsTest(unittest.TestCase):
    def test_smallest_host_serves_largest_body_and_hundreds_of_connections(self) -> None:
        """Guards against defaults that a caller inside the stated limits meets."""
        limits = derive_limits(160 * MB, 1_638)
        self.assertTrue(has_room(limits, 0, 0, build_use(), MAX_BODY_BYTES))
        self.assertGreater(limits.large_held_bytes, 2 * MAX_BODY_BYTES)
        self.assertGreater(limits.connections_per_address, 500)

    def test_limits_leave_memory_and_descriptors(self) -> None:
        """Guards against a budget that is larger than the host."""
        for memory_mb, descriptors in ((160, 1_638), (300, 4_100), (552, 10_250)):
            limits = derive_limits(memory_mb * MB, descriptors)
            self.assertLess(2 * limits.held_bytes, (memory_mb - 80) * MB)
            self.assertLess(limits.connections, descriptors - 200)

    def test_large_bodies_leave_room_for_ordinary_ones(self) -> None:
        """Guards against unfinished large bodies that keep ordinary callers out."""
        limits = derive_limits(160 * MB, 1_638)
        held = limits.large_held_bytes
        self.assertFalse(has_room(limits, held, held, build_use(), MAX_BODY_BYTES))
        self.assertTrue(has_room(limits, held, held, build_use(), 100_000))

    def test_chunks_of_tens_of_bytes_are_within_the_overhead(self) -> None:
        """Guards against refusing small chunks, and against one-byte chunks without end."""
        for size in (10, 20, 50):
            raw = len(b"%x\r\n\r\n" % size) + size
            self.assertFalse(exceeds_chunk_overhead(100_000 * raw, 100_000 * size))
        self.assertTrue(exceeds_chunk_overhead(10_000 * 6, 10_000))


class ChoiceTest(unittest.TestCase):
    def test_holder_of_most_for_longest_without_progress_ends_first(self) -> None:
        """Guards against ending a caller that still sends in place of one that stopped."""
        sending = build_use(held_bytes=4 * MB, progress_ms=NOW_MS, recent_bytes=MB)
        stalled = build_use(held_bytes=4 * MB, held_since_ms=90_000, progress_ms=95_000)
        newer = build_use(held_bytes=4 * MB, held_since_ms=94_000, progress_ms=95_000)
        smaller = build_use(held_bytes=MB, held_since_ms=90_000, progress_ms=95_000)
        uses = [sending, newer, stalled, smaller]
        self.assertIs(choose_holder_to_end(uses, NOW_MS, for_ordinary=False), stalled)
        self.assertIsNone(choose_holder_to_end([sending], NOW_MS, for_ordinary=False))
        self.assertIs(choose_holder_to_end([sending], NOW_MS, for_ordinary=True), sending)

    def test_less_urgent_reader_ends_first(self) -> None:
        """Guards against ending the response to an urgent request first."""
        served = ConnectionPhase.SERVED
        fields = {"held_bytes": MB, "unread_bytes": MB}
        urgent = build_use(served, urgency=0, **{**fields, "held_bytes": 8 * MB})
        other = build_use(served, urgency=3, **fields)
        self.assertIs(choose_holder_to_end([urgent, other], NOW_MS, for_ordinary=False), other)

    def test_request_at_a_server_and_waiting_one_are_not_ended(self) -> None:
        """Guards against ending work in progress, or a caller that this process makes wait."""
        running = build_use(ConnectionPhase.SERVED, held_bytes=8 * MB)
        waiting = build_use(held_bytes=200_000, is_waiting=True)
        for for_ordinary in (False, True):
            chosen = choose_holder_to_end([running, waiting], NOW_MS, for_ordinary=for_ordinary)
            self.assertIsNone(chosen)

    def test_unfinished_connections_close_before_idle_ones(self) -> None:
        """Guards against closing reused connections for a crowd that never finishes a head."""
        idle = build_use(ConnectionPhase.IDLE, phase_since_ms=0)
        head = build_use(ConnectionPhase.HEAD, phase_since_ms=90_000)
        older = build_use(ConnectionPhase.HEAD, phase_since_ms=80_000)
        served = build_use(ConnectionPhase.SERVED)
        self.assertIs(choose_connection_to_close([idle, head, older, served]), older)
        self.assertIs(choose_connection_to_close([idle, served]), idle)
        self.assertIsNone(choose_connection_to_close([idle, served], unfinished_only=True))
        self.assertIsNone(choose_connection_to_close([idle], address="b"))


if __name__ == "__main__":
    unittest.main()
