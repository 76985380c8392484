"""Measure streams: attainment of latency targets by class, goodput and wasted tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from boragetiller.metrics import Metrics
    from boragetiller.records.model import RequestClass

STRETCH_TOKENS = 16
TOKEN_EVENT = b"data: {"


@attrs.define(kw_only=True)
class StreamMeter:
    """Tokens of one request over all its attempts; times are monotonic milliseconds."""

    arrived_ms: int
    first_ms: int | None = None
    last_ms: int = 0
    tokens: int = 0
    stretch_began_ms: int = 0
    stretch_tokens: int = 0

    def begin_attempt(self) -> None:
        """Forget the unfinished stretch; a gap across two agents says nothing of either."""
        self.stretch_tokens = 0

    def note(self, chunk: bytes, now_ms: int) -> float | None:
        """
        Count the tokens of a chunk.

        :param chunk: whole events
        :param now_ms: monotonic time in milliseconds
        :return: mean gap of a stretch of tokens that ended now, in milliseconds, or None
        """
        count = chunk.count(TOKEN_EVENT)
        if count == 0:
            return None
        if self.first_ms is None:
            self.first_ms = now_ms
        self.last_ms = now_ms
        self.tokens += count
        if self.stretch_tokens == 0:
            self.stretch_began_ms = now_ms
            self.stretch_tokens = 1  # the stretch begins with the last token of this chunk
            return None
        self.stretch_tokens += count
        if self.stretch_tokens <= STRETCH_TOKENS:
            return None
        gap_ms = (now_ms - self.stretch_began_ms) / (self.stretch_tokens - 1)
        self.stretch_began_ms, self.stretch_tokens = now_ms, 1
        return gap_ms

    def first_token_ms(self) -> int | None:
        """:return: time from arrival to the first token, None before it"""
        return None if self.first_ms is None else self.first_ms - self.arrived_ms

    def gap_ms(self) -> float:
        """:return: mean time between tokens"""
        if self.first_ms is None or self.tokens < 2:
            return 0.0
        return (self.last_ms - self.first_ms) / (self.tokens - 1)


def report_answer(metrics: Metrics, request_class: RequestClass, meter: StreamMeter) -> None:
    """
    Count a whole answer of an engine.

    :param metrics: counters
    :param request_class: class with its targets
    :param meter: tokens of the request
    """
    name = f"class.{request_class.name}"
    first_ms = meter.first_token_ms()
    if first_ms is None:
        return
    metrics.timing(f"{name}.first_token", first_ms)
    metrics.timing(f"{name}.between_tokens", meter.gap_ms())
    on_time = first_ms <= request_class.first_token_target_ms
    steady = meter.gap_ms() <= request_class.between_tokens_target_ms
    metrics.increment(f"{name}.{'attained' if on_time and steady else 'missed'}")
    metrics.increment(f"{name}.first_token_{'attained' if on_time else 'missed'}")
    if on_time and steady:
        metrics.increment(f"{name}.good_tokens", meter.tokens)


def report_failure(metrics: Metrics, request_class: RequestClass, meter: StreamMeter) -> None:
    """
    Count a request that ended without a whole answer.

    :param metrics: counters
    :param request_class: its class
    :param meter: tokens that were relayed in vain
    """
    metrics.increment(f"class.{request_class.name}.missed")
    if meter.tokens:
        metrics.increment(f"class.{request_class.name}.wasted_tokens", meter.tokens)


__all__ = ["StreamMeter", "report_answer", "report_failure"]
