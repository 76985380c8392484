"""
Learn how fast the engines of a group read prompts, and how many tokens an event holds.

Answers groups whose engines differ from the usual figures: a router that takes them for faster
sends more prompts than they can read beside their streams, and one that takes their events for
smaller expects no stream to suffer from it.
"""

from __future__ import annotations

import attrs

SLOWEST_TOKENS_PER_MS = 40.0  # a first event later than that tells of something else
FASTEST_TOKENS_PER_MS = 120.0
LARGEST_EVENT_TOKENS = 64.0
ADJUSTMENT = 0.03  # of a figure for each stream; leads to the median of what was seen
MIN_TOKENS = 1_000  # a shorter prompt tells more of the steps than of the reading


@attrs.define
class EngineThroughput:
    """What was learned of the engines of one group."""

    prefill_tokens_per_ms: float = 60.0  # engines of today read 48 to 93
    tokens_per_event: float = 4.0  # today 4 to 8

    def record_first_event(self, new_tokens: int, expected_ms: float, took_ms: float) -> None:
        """
        Note when the first event of a stream came.

        :param new_tokens: of its prompt, that the engine was expected to read
        :param expected_ms: time to the first event that placement expected
        :param took_ms: time that it took
        """
        if new_tokens < MIN_TOKENS:
            return
        factor = 1.0 - ADJUSTMENT if took_ms > expected_ms else 1.0 + ADJUSTMENT
        speed = factor * self.prefill_tokens_per_ms
        self.prefill_tokens_per_ms = min(FASTEST_TOKENS_PER_MS, max(SLOWEST_TOKENS_PER_MS, speed))

    def record_complete_stream(self, expected_tokens: float, events: int) -> None:
        """
        Note that a stream has ended whole.

        :param expected_tokens: its caller's estimate of its length, right at the median
        :param events: that it had
        """
        if events < 1:
            return
        is_larger = expected_tokens / events > self.tokens_per_event
        size = (1.0 + ADJUSTMENT if is_larger else 1.0 - ADJUSTMENT) * self.tokens_per_event
        self.tokens_per_event = min(LARGEST_EVENT_TOKENS, max(1.0, size))


__all__ = ["EngineThroughput"]
