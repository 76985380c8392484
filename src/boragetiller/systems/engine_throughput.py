"""
Estimate the prefill speed of a group's engines and the number of tokens in a stream event.

Engines differ between groups. A router that overestimates prefill speed sends more prompts than
the engines can prefill beside their streams; one that underestimates the size of events does not
expect the pauses that prefills cause in streams.
"""

from __future__ import annotations

import attrs

MIN_PREFILL_TOKENS_PER_MS = 40.0  # a slower first event has causes other than prefill
MAX_PREFILL_TOKENS_PER_MS = 120.0
MAX_EVENT_TOKENS = 64.0
ADJUSTMENT = 0.03  # relative step per stream; the estimate converges to the median
MIN_PROMPT_TOKENS = 1_000  # with shorter prompts decode steps dominate the first-event time


@attrs.define
class EngineThroughput:
    """Estimates for the engines of one backend group."""

    prefill_tokens_per_ms: float = 60.0  # initial value; engines reach 48 to 93
    tokens_per_event: float = 4.0  # initial value; engines send 4 to 8

    def record_first_event(self, new_tokens: int, expected_ms: float, took_ms: float) -> None:
        """
        Adjust the prefill speed after the first event of a stream.

        :param new_tokens: prompt tokens that the engine was expected to prefill
        :param expected_ms: time to the first event in milliseconds, as estimated by placement
        :param took_ms: measured time to the first event in milliseconds
        """
        if new_tokens < MIN_PROMPT_TOKENS:
            return
        factor = 1.0 - ADJUSTMENT if took_ms > expected_ms else 1.0 + ADJUSTMENT
        speed = factor * self.prefill_tokens_per_ms
        self.prefill_tokens_per_ms = min(
            MAX_PREFILL_TOKENS_PER_MS, max(MIN_PREFILL_TOKENS_PER_MS, speed)
        )

    def record_complete_stream(self, expected_tokens: float, events: int) -> None:
        """
        Adjust the tokens per event after a complete stream.

        :param expected_tokens: the caller's estimate of the output length, unbiased at the median
        :param events: number of events of the stream
        """
        if events < 1:
            return
        is_larger = expected_tokens / events > self.tokens_per_event
        size = (1.0 + ADJUSTMENT if is_larger else 1.0 - ADJUSTMENT) * self.tokens_per_event
        self.tokens_per_event = min(MAX_EVENT_TOKENS, max(1.0, size))


__all__ = ["EngineThroughput"]
