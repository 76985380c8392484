"""Tests that docs/METRICS.md matches the metrics in the code."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from boragetiller.gateway.duties.metrics import DutyMetrics, ServerOrderMetrics, UsageMetrics
from boragetiller.gateway.metrics import GatewayMetrics

PAGE = Path(__file__).resolve().parent.parent / "docs" / "METRICS.md"
ROW = re.compile(r"^\| (boragetiller_\w+) \| (\w+) \| ([\w, ]*?) ?\|", re.MULTILINE)


class MetricsPageTest(unittest.TestCase):
    def test_page_lists_each_metric_with_its_kind_and_label(self) -> None:
        rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
        metrics = GatewayMetrics()
        kinds = (DutyMetrics, ServerOrderMetrics, UsageMetrics)
        parts = [metrics, *(kind(metrics.registry) for kind in kinds)]
        registered = {(family.name, family.type) for family in metrics.registry.collect()}
        self.assertEqual({(name, kind) for name, kind, _ in rows}, registered)
        self.assertEqual(len(rows), len(registered))
        labels = {
            metric._name: ", ".join(metric._labelnames)
            for part in parts
            for metric in vars(part).values()
            if hasattr(metric, "_labelnames")
        }
        self.assertEqual({name: label for name, _, label in rows}, labels)


if __name__ == "__main__":
    unittest.main()
