"""Tests of the relay of configuration pages."""

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


class Wire:
    """Carries messages between relays, in order, and counts them."""

    def __init__(self, edges: list[tuple[int, int]], count: int) -> None:
        self.clock = ManualClock()
        self.configs = [FakeConfig() for _ in range(count)]
        self.queue: list[tuple[str, str, Message]] = []
        self.sent: list[Message] = []
        self.cut: set[str] = set()
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
            if not {sender, receiver} & self.cut:
                self._deliver(self.relays[int(receiver)], sender, message)

    def announce_all(self) -> None:
        for relay in self.relays:
            relay.announce()
        self.run()

    def beat(self) -> None:
        self.clock.advance(SETTINGS.heartbeat_ms)
        for a, b in self.edges:
            self.relays[a].on_digest(str(b), self.relays[b].digest)
            self.relays[b].on_digest(str(a), self.relays[a].digest)
        for relay in self.relays:
            relay.request_missing()
        self.run()

    def _send(self, sender: str, receiver: str, message: Message) -> bool:
        self.queue.append((sender, receiver, message))
        self.sent.append(message)
        return True

    def _deliver(self, relay: ConfigPageRelay, sender: str, message: Message) -> None:
        if isinstance(message, PageVersions):
            relay.on_versions(sender, message)
        elif isinstance(message, PageRequest):
            relay.on_request(sender, message)
        elif isinstance(message, PageResponse):
            relay.on_response(sender, message)


class PageRelayTest(unittest.TestCase):
    """Relays on a line and in a full mesh."""

    def _line(self, count: int = 4) -> Wire:
        wire = Wire([(i, i + 1) for i in range(count - 1)], count)
        wire.connect()
        return wire

    def test_page_passes_down_a_line_one_announcement_a_hop(self) -> None:
        wire = self._line()
        wire.configs[0].put(5, 7)
        for _ in range(3):
            wire.announce_all()
        for config in wire.configs:
            self.assertEqual(config.get_page_revisions(), {5: 7})

    def test_each_node_fetches_a_page_once_in_a_full_mesh(self) -> None:
        wire = Wire([(a, b) for a in range(6) for b in range(a)], 6)
        wire.connect()
        wire.configs[0].put(5, 7)
        for _ in range(3):
            wire.announce_all()
        responses = [message for message in wire.sent if isinstance(message, PageResponse)]
        self.assertEqual(len(responses), 5)

    def test_new_peer_gets_everything_in_bounded_requests(self) -> None:
        wire = Wire([(0, 1)], 2)
        for index in range(64):
            wire.configs[0].put(index, index + 1)
        wire.configs[0].ready = True
        wire.connect()
        self.assertEqual(wire.configs[1].get_page_revisions(), wire.configs[0].get_page_revisions())
        self.assertTrue(wire.configs[1].complete_peers["0"])
        requests = [m.indexes for m in wire.sent if isinstance(m, PageRequest)]
        self.assertEqual(max(map(len, requests)), PAGES_PER_REQUEST)

    def test_ready_without_new_pages_is_announced(self) -> None:
        wire = self._line(2)
        wire.configs[0].ready = True
        wire.announce_all()
        self.assertTrue(wire.configs[1].complete_peers["0"])

    def test_older_page_never_replaces_a_newer_one(self) -> None:
        wire = self._line(2)
        wire.configs[0].put(1, 5, b"old")
        wire.configs[1].put(1, 9, b"new")
        wire.announce_all()
        wire.relays[1].on_response("0", PageResponse(index=1, revision=5, body=b"old"))
        wire.announce_all()
        self.assertEqual([config.pages[1].data for config in wire.configs], [b"new", b"new"])

    def test_page_that_does_not_come_is_asked_of_another_peer(self) -> None:
        wire = Wire([(0, 2), (1, 2)], 3)
        wire.connect()
        wire.cut = {"0"}
        wire.configs[1].put(3, 4)
        for peer in ("0", "1"):
            wire.relays[2].on_versions(peer, PageVersions(revisions={3: 4}, partial=True))
        wire.run()
        self.assertEqual(wire.configs[2].pages, {})
        wire.clock.advance(SETTINGS.heartbeat_ms)
        wire.relays[2].request_missing()
        wire.run()
        self.assertEqual(wire.configs[2].get_page_revisions(), {3: 4})

    def test_lost_peer_frees_its_requests(self) -> None:
        wire = Wire([(0, 2), (1, 2)], 3)
        wire.connect()
        wire.configs[1].put(3, 4)
        wire.relays[2].on_versions("0", PageVersions(revisions={3: 4}))
        wire.relays[2].on_versions("1", PageVersions(revisions={3: 4}))
        wire.cut = {"0"}
        wire.relays[2].on_disconnected("0")
        wire.run()
        self.assertEqual(wire.configs[2].get_page_revisions(), {3: 4})

    def test_lost_announcement_is_repaired_by_digests(self) -> None:
        wire = self._line(2)
        wire.configs[0].put(3, 4)
        wire.relays[0].announce()
        wire.queue.clear()
        for _ in range(2):
            wire.beat()
        self.assertEqual(wire.configs[1].get_page_revisions(), {3: 4})

    def test_equal_peers_send_nothing_more(self) -> None:
        wire = self._line()
        wire.configs[0].put(5, 7)
        for _ in range(4):
            wire.announce_all()
            wire.beat()
        count = len(wire.sent)
        for _ in range(8):
            wire.announce_all()
            wire.beat()
        self.assertEqual(len(wire.sent), count)

    def test_page_that_cannot_be_held_is_asked_once(self) -> None:
        wire = self._line(2)
        wire.configs[0].pages[99] = Page(99, 4, b"newer version")
        for _ in range(8):
            wire.announce_all()
            wire.beat()
        self.assertEqual(sum(isinstance(m, PageRequest) for m in wire.sent), 1)
        versions = [m for m in wire.sent if isinstance(m, PageVersions)]
        self.assertLess(len(versions), 12)

    def test_any_order_of_changes_ends_equal_and_never_reverts(self) -> None:
        for seed in range(20):
            rng = Random(seed)
            wire = Wire([(a, b) for a in range(5) for b in range(a) if rng.random() < 0.6], 5)
            wire.edges += [(i, i + 1) for i in range(4)]
            wire.connect()
            for revision in range(1, 30):
                holder = wire.configs[rng.randrange(5)]
                holder.put(rng.randrange(6), revision)
                before = [config.get_page_revisions() for config in wire.configs]
                rng.choice(wire.relays).announce()
                wire.run()
                for old, config in zip(before, wire.configs, strict=True):
                    new = config.get_page_revisions()
                    self.assertTrue(all(new[index] >= old[index] for index in old))
            for _ in range(8):
                wire.announce_all()
                wire.beat()
            for config in wire.configs:
                self.assertEqual(config.get_page_revisions(), wire.configs[0].get_page_revisions())


if __name__ == "__main__":
    unittest.main()
