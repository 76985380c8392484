"""Tests of the choice of the routers that exchange load reports."""

from __future__ import annotations

import unittest

from boragetiller.systems.report_peers import MAX_PEERS, are_peers, compute_reporting_share

NAMES = [f"10.0.{number // 200}.{number % 200}:8229" for number in range(400)]


class ReportPeersTest(unittest.TestCase):
    """A fleet of 400 routers, the largest planned size."""

    @classmethod
    def setUpClass(cls) -> None:
        others = len(NAMES) - 1
        cls.peers = {
            own: {other for other in NAMES if other != own and are_peers(own, other, others)}
            for own in NAMES
        }

    def test_all_are_peers_in_a_small_fleet(self) -> None:
        self.assertTrue(all(are_peers("a", name, MAX_PEERS) for name in NAMES))

    def test_peers_are_mutual_and_evenly_distributed(self) -> None:
        for own, peers in self.peers.items():
            self.assertTrue(all(own in self.peers[other] for other in peers))
            self.assertGreater(len(peers), MAX_PEERS // 2)
            self.assertLess(len(peers), 2 * MAX_PEERS)

    def test_relayed_items_reach_all_in_three_hops_when_a_third_of_the_routers_fails(self) -> None:
        failed = set(NAMES[::3])
        remaining = [name for name in NAMES if name not in failed]
        for start in remaining[::40]:
            reached = {start}
            for _ in range(3):
                reached |= {name for known in reached for name in self.peers[known] - failed}
            self.assertEqual(reached, set(remaining))

    def test_reporting_share_is_one_in_a_full_mesh_and_never_zero(self) -> None:
        self.assertEqual(compute_reporting_share(MAX_PEERS, 3), 1.0)
        self.assertAlmostEqual(compute_reporting_share(256, 64), 0.25)
        self.assertGreater(compute_reporting_share(256, 0), 0.0)


if __name__ == "__main__":
    unittest.main()
