"""Metrics of streams: attainment of latency targets by class, goodput and wasted tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from boragetiller.metrics import Metrics
    from boragetiller.records.model import RequestClass

GAP_WINDOW_TOKENS = 16
MIN_PAUSE_MS = 50  # of a caller; a shorter one changes a window's mean gap by a few ms at most
TOKEN_EVENT = b"data: {"


@attrs.define(kw_only=True)
class StreamMetrics:
    """Token counts and times of one request over all its attempts, in monotonic milliseconds."""

    arrived_ms: int
    first_token_at_ms: int | None = None
    last_token_at_ms: int = 0
    tokens: int = 0
    window_started_ms: int = 0
    window_tokens: int = 0
    caller_wait_ms: int = 0  # the router waited for the caller
    last_token_wait_ms: int = 0  # caller_wait_ms at the last token

    def start_attempt(self) -> None:
        """Discard the unfinished window; a gap across two agents is a property of neither."""
        self.window_tokens = 0

    def record_chunk(self, chunk: bytes, now_ms: int) -> float | None:
        """
        Count the tokens of a chunk.

        :param chunk: complete events
        :param now_ms: monotonic time in milliseconds
        :return: mean token gap of a window that this chunk closes, in milliseconds, else None
        """
        count = chunk.count(TOKEN_EVENT)
        if count == 0:
            return None
        if self.first_token_at_ms is None:
            self.first_token_at_ms = now_ms
        self.last_token_at_ms, self.last_token_wait_ms = now_ms, self.caller_wait_ms
        self.tokens += count
        if self.window_tokens == 0:
            self.window_started_ms = now_ms
            self.window_tokens = 1  # the window starts with the last token of this chunk
            return None
        self.window_tokens += count
        if self.window_tokens <= GAP_WINDOW_TOKENS:
            return None
        mean_token_gap_ms = (now_ms - self.window_started_ms) / (self.window_tokens - 1)
        self.window_started_ms, self.window_tokens = now_ms, 1
        return mean_token_gap_ms

    def record_caller_wait(self, wait_ms: int) -> None:
        """
        Record that the router waited for the caller, whose pace is that of no agent.

        :param wait_ms: milliseconds until the caller had taken a chunk
        """
        self.caller_wait_ms += wait_ms
        if wait_ms >= MIN_PAUSE_MS:
            self.window_tokens = 0  # what was generated meanwhile arrives at once

    def time_to_first_token_ms(self) -> int | None:
        """:return: time from arrival to the first token in milliseconds, None before it"""
        return None if self.first_token_at_ms is None else self.first_token_at_ms - self.arrived_ms

    def mean_token_gap_ms(self) -> float:
        """:return: mean time between tokens in milliseconds, without waits for the caller"""
        if self.first_token_at_ms is None or self.tokens < 2:
            return 0.0
        took_ms = self.last_token_at_ms - self.first_token_at_ms - self.last_token_wait_ms
        return took_ms / (self.tokens - 1)


def record_complete_response(
    metrics: Metrics, request_class: RequestClass, stream_metrics: StreamMetrics
) -> None:
    """
    Record a complete response of an engine.

    :param metrics: counters and timings
    :param request_class: class with its latency targets
    :param stream_metrics: token counts and times of the request
    """
    name = f"class.{request_class.name}"
    time_to_first_token_ms = stream_metrics.time_to_first_token_ms()
    if time_to_first_token_ms is None:
        return
    metrics.timing(f"{name}.first_token", time_to_first_token_ms)
    metrics.timing(f"{name}.between_tokens", stream_metrics.mean_token_gap_ms())
    meets_first_token_target = time_to_first_token_ms <= request_class.first_token_target_ms
    meets_gap_target = stream_metrics.mean_token_gap_ms() <= request_class.between_tokens_target_ms
    metrics.increment(
        f"{name}.{'attained' if meets_first_token_target and meets_gap_target else 'missed'}"
    )
    metrics.increment(f"{name}.first_token_{'attained' if meets_first_token_target else 'missed'}")
    if meets_first_token_target and meets_gap_target:
        metrics.increment(f"{name}.good_tokens", stream_metrics.tokens)


def record_failed_response(
    metrics: Metrics, request_class: RequestClass, stream_metrics: StreamMetrics
) -> None:
    """
    Record a request that ended without a complete response.

    :param metrics: counters
    :param request_class: class of the request
    :param stream_metrics: token counts of the request, all of them wasted
    """
    metrics.increment(f"class.{request_class.name}.missed")
    if stream_metrics.tokens:
        metrics.increment(f"class.{request_class.name}.wasted_tokens", stream_metrics.tokens)


__all__ = ["StreamMetrics", "record_complete_response", "record_failed_response"]
