"""Tests of the relay of configuration pages between peers."""

from __future__ import annotations

import unittest
from functools import partial
from random import Random

from boragetiller.clock import ManualClock
from boragetiller.control.config_page_relay import PAGES_PER_REQUEST, ConfigPageRelay
from boragetiller.control.messages import Message, PageRequest, PageResponse, PageVersions
from boragetiller.settings import ControlSettings
from tests.control.fakes import FakeConfig, Page

SETTINGS = ControlSettings(key="k")


class Network:
    """Simulated network that delivers the messages between relays in order and records them."""

    def __init__(self, edges: list[tuple[int, int]], count: int) -> None:
        self.clock = ManualClock()
        self.configs = [FakeConfig() for _ in range(count)]
        self.queue: list[tuple[str, str, Message]] = []
        self.sent_messages: list[Message] = []
        self.unreachable: set[str] = set()
        self.relays = [
            ConfigPageRelay(config, SETTINGS, partial(self._send, str(i)), self.clock)
            for i, config in enumerate(self.configs)
        ]
        self.edges = edges

    def connect(self) -> None:
        for a, b in self.edges:
            self.relays[a].on_connected(str(b))
            self.relays[b].on_connected(str(a))
        self.run()

    def run(self) -> None:
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            if not {sender, receiver} & self.unreachable:
                self._deliver(self.relays[int(receiver)], sender, message)

    def announce_all(self) -> None:
        for relay in self.relays:
            relay.announce_changes()
        self.run()

    def exchange_heartbeats(self) -> None:
        self.clock.advance(SETTINGS.heartbeat_ms)
        for a, b in self.edges:
            self.relays[a].on_digest(str(b), self.relays[b].digest)
            self.relays[b].on_digest(str(a), self.relays[a].digest)
        for relay in self.relays:
            relay.retry_overdue_requests()
        self.run()

    def _send(self, sender: str, receiver: str, message: Message) -> bool:
        self.queue.append((sender, receiver, message))
        self.sent_messages.append(message)
        return True

    def _deliver(self, relay: ConfigPageRelay, sender: str, message: Message) -> None:
        if isinstance(message, PageVersions):
            relay.on_page_versions(sender, message)
        elif isinstance(message, PageRequest):
            relay.on_page_request(sender, message)
        elif isinstance(message, PageResponse):
            relay.on_page_response(sender, message)


class ConfigPageRelayTest(unittest.TestCase):
    """Relays in a line, in a full mesh and in random graphs."""

    def _connect_line(self, count: int = 4) -> Network:
        network = Network([(i, i + 1) for i in range(count - 1)], count)
        network.connect()
        return network

    def test_page_advances_one_hop_per_announcement(self) -> None:
        network = self._connect_line()
        network.configs[0].put(5, 7)
        for _ in range(3):
            network.announce_all()
        for config in network.configs:
            self.assertEqual(config.get_page_revisions(), {5: 7})

    def test_each_node_fetches_a_page_once_in_a_full_mesh(self) -> None:
        network = Network([(a, b) for a in range(6) for b in range(a)], 6)
        network.connect()
        network.configs[0].put(5, 7)
        for _ in range(3):
            network.announce_all()
        responses = [
            message for message in network.sent_messages if isinstance(message, PageResponse)
        ]
        self.assertEqual(len(responses), 5)

    def test_new_peer_gets_everything_in_bounded_requests(self) -> None:
        network = Network([(0, 1)], 2)
        for index in range(64):
            network.configs[0].put(index, index + 1)
        network.configs[0].ready = True
        network.connect()
        self.assertEqual(
            network.configs[1].get_page_revisions(), network.configs[0].get_page_revisions()
        )
        self.assertTrue(network.configs[1].peer_completeness["0"])
        requests = [m.indexes for m in network.sent_messages if isinstance(m, PageRequest)]
        self.assertEqual(max(map(len, requests)), PAGES_PER_REQUEST)

    def test_ready_without_new_pages_is_announced(self) -> None:
        network = self._connect_line(2)
        network.configs[0].ready = True
        network.announce_all()
        self.assertTrue(network.configs[1].peer_completeness["0"])

    def test_older_page_never_replaces_a_newer_one(self) -> None:
        network = self._connect_line(2)
        network.configs[0].put(1, 5, b"old")
        network.configs[1].put(1, 9, b"new")
        network.announce_all()
        network.relays[1].on_page_response("0", PageResponse(index=1, revision=5, body=b"old"))
        network.announce_all()
        self.assertEqual([config.pages[1].data for config in network.configs], [b"new", b"new"])

    def test_overdue_page_is_requested_from_another_peer(self) -> None:
        network = Network([(0, 2), (1, 2)], 3)
        network.connect()
        network.unreachable = {"0"}
        network.configs[1].put(3, 4)
        for peer in ("0", "1"):
            network.relays[2].on_page_versions(peer, PageVersions(revisions={3: 4}, partial=True))
        network.run()
        self.assertEqual(network.configs[2].pages, {})
        network.clock.advance(SETTINGS.heartbeat_ms)
        network.relays[2].retry_overdue_requests()
        network.run()
        self.assertEqual(network.configs[2].get_page_revisions(), {3: 4})

    def test_pages_requested_from_a_lost_peer_are_requested_again(self) -> None:
        network = Network([(0, 2), (1, 2)], 3)
        network.connect()
        network.configs[1].put(3, 4)
        network.relays[2].on_page_versions("0", PageVersions(revisions={3: 4}))
        network.relays[2].on_page_versions("1", PageVersions(revisions={3: 4}))
        network.unreachable = {"0"}
        network.relays[2].on_disconnected("0")
        network.run()
        self.assertEqual(network.configs[2].get_page_revisions(), {3: 4})

    def test_lost_announcement_is_repaired_by_digests(self) -> None:
        network = self._connect_line(2)
        network.configs[0].put(3, 4)
        network.relays[0].announce_changes()
        network.queue.clear()
        for _ in range(2):
            network.exchange_heartbeats()
        self.assertEqual(network.configs[1].get_page_revisions(), {3: 4})

    def test_peers_with_equal_pages_send_nothing(self) -> None:
        network = self._connect_line()
        network.configs[0].put(5, 7)
        for _ in range(4):
            network.announce_all()
            network.exchange_heartbeats()
        count = len(network.sent_messages)
        for _ in range(8):
            network.announce_all()
            network.exchange_heartbeats()
        self.assertEqual(len(network.sent_messages), count)

    def test_rejected_page_is_requested_once(self) -> None:
        network = self._connect_line(2)
        network.configs[0].pages[99] = Page(99, 4, b"newer version")
        for _ in range(8):
            network.announce_all()
            network.exchange_heartbeats()
        self.assertEqual(sum(isinstance(m, PageRequest) for m in network.sent_messages), 1)
        versions = [m for m in network.sent_messages if isinstance(m, PageVersions)]
        self.assertLess(len(versions), 12)

    def test_nodes_converge_and_revisions_never_decrease(self) -> None:
        for seed in range(20):
            rng = Random(seed)
            network = Network([(a, b) for a in range(5) for b in range(a) if rng.random() < 0.6], 5)
            network.edges += [(i, i + 1) for i in range(4)]
            network.connect()
            for revision in range(1, 30):
                holder = network.configs[rng.randrange(5)]
                holder.put(rng.randrange(6), revision)
                before = [config.get_page_revisions() for config in network.configs]
                rng.choice(network.relays).announce_changes()
                network.run()
                for old, config in zip(before, network.configs, strict=True):
                    new = config.get_page_revisions()
                    self.assertTrue(all(new[index] >= old[index] for index in old))
            for _ in range(8):
                network.announce_all()
                network.exchange_heartbeats()
            for config in network.configs:
                self.assertEqual(
                    config.get_page_revisions(), network.configs[0].get_page_revisions()
                )


if __name__ == "__main__":
    unittest.main()
