"""Tests of the metrics of streams."""

from __future__ import annotations

import unittest

from boragetiller.metrics import Metrics
from boragetiller.records.model import RequestClass
from boragetiller.router.stream_metrics import (
    StreamMetrics,
    record_complete_response,
    record_failed_response,
)

EVENT = b'data: {"x":1}\n\n'
QUOTE = RequestClass(
    name="quote", group="pool", first_token_target_ms=100, between_tokens_target_ms=20
)


def _build_stream_metrics(first_ms: int, gap_ms: int, tokens: int) -> StreamMetrics:
    stream_metrics = StreamMetrics(arrived_ms=1_000)
    for index in range(tokens):
        stream_metrics.record_chunk(EVENT, 1_000 + first_ms + index * gap_ms)
    return stream_metrics


class StreamMetricsTest(unittest.TestCase):
    """Attainment of targets, good tokens and wasted tokens."""

    def setUp(self) -> None:
        self.metrics = Metrics()

    def test_response_within_targets_is_attained(self) -> None:
        record_complete_response(self.metrics, QUOTE, _build_stream_metrics(100, 20, 5))
        self.assertEqual(self.metrics.counts["class.quote.attained"], 1)
        self.assertEqual(self.metrics.counts["class.quote.good_tokens"], 5)

    def test_late_first_token_is_missed(self) -> None:
        record_complete_response(self.metrics, QUOTE, _build_stream_metrics(101, 20, 5))
        self.assertEqual(self.metrics.counts["class.quote.first_token_missed"], 1)
        self.assertEqual(self.metrics.counts["class.quote.good_tokens"], 0)

    def test_wide_gap_is_missed(self) -> None:
        record_complete_response(self.metrics, QUOTE, _build_stream_metrics(50, 21, 5))
        self.assertEqual(self.metrics.counts["class.quote.missed"], 1)

    def test_failure_counts_wasted_tokens(self) -> None:
        record_failed_response(self.metrics, QUOTE, _build_stream_metrics(50, 10, 7))
        self.assertEqual(self.metrics.counts["class.quote.wasted_tokens"], 7)

    def test_full_window_gives_mean_gap(self) -> None:
        stream_metrics = StreamMetrics(arrived_ms=0)
        gaps = [stream_metrics.record_chunk(EVENT, index * 30) for index in range(18)]
        self.assertEqual([gap for gap in gaps if gap is not None], [30.0])


if __name__ == "__main__":
    unittest.main()
