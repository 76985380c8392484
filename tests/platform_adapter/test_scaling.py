"""Decoding of the limits on the number of servers of a service."""

from __future__ import annotations

import copy
import json
import unittest

import tests.platform_path  # noqa: F401
from boragetiller.tables.routes import BackendGroup, ScalingPolicy
from documents import decode_config
from tests.platform_adapter.messages import CONFIG

SCALING = {"min-replicas": 2, "max-replicas": 9, "boot-time-s": 12.5}


class ScalingTest(unittest.TestCase):
    def decode(self, scaling: object) -> ScalingPolicy | None:
        group = self.decode_group(scaling)
        self.assertEqual(group.scaling_error, "")
        return group.scaling

    def decode_group(self, scaling: object) -> BackendGroup:
        document = copy.deepcopy(CONFIG)
        document["services"][1]["scaling"] = scaling
        return decode_config(json.dumps(document).encode()).groups["wuno96b"]

    def test_limits_are_decoded(self) -> None:
        expected = ScalingPolicy(min_servers=2, max_servers=9, boot_ms=12_500.0)
        self.assertEqual(self.decode(SCALING), expected)

    def test_service_without_scaling(self) -> None:
        self.assertIsNone(self.decode(None))

    def test_unusable_limits_leave_the_number_of_servers_alone_and_the_routes_in_force(
        self,
    ) -> None:
        # Guards against orders of a negative number of servers, or of none that is allowed, and
        # against a confirmed configuration that is not in force for the limits of one service.
        wrong: list[dict[str, object]] = [
            {"min-replicas": 10},
            {"min-replicas": -1},
            {"max-replicas": None},
            {"max-replicas": "9"},
            {"boot-time-s": -1},
            {"boot-time-s": float("nan")},
        ]
        for fields in wrong:
            with self.subTest(fields):
                group = self.decode_group(SCALING | fields)
                self.assertIsNone(group.scaling)
                self.assertIn(next(iter(fields)), group.scaling_error)
        for scaling in ("9", [], 7):
            with self.subTest(scaling):
                self.assertIn("scaling", self.decode_group(scaling).scaling_error)


if __name__ == "__main__":
    unittest.main()
