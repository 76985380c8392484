"""Routers that lack a large configuration get it once, from a peer that they ask."""

from __future__ import annotations

import asyncio
import json
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest.mock import patch

import attrs

from boragetiller.control.errors import BadFrame
from boragetiller.gateway.item_relay import ItemRelay
from boragetiller.gateway.peer_messages import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    PeerHello,
    PeerItems,
    decode_payload,
    encode_frame,
)
from boragetiller.tables.store_view import StoredItem
from tests.gateway.config_transfer.large_config import build_large_config
from tests.gateway.harness import RouterHarness, build_config, wait_until

if TYPE_CHECKING:
    from boragetiller.gateway.peer_states import InboundPeer, OutboundPeer

SIZE = 300_000
NARROW = 625_000.0  # bytes per second
WIDE = 125_000_000.0


class RequestedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A fleet of routers whose stores are apart, so that peers are the only other way."""

    async def start_fleet(self, count: int, **last: float) -> list[RouterHarness]:
        """:return: routers that know each other; the last one has the given settings"""
        fleet: list[RouterHarness] = []
        for number in range(count):
            seeds = (fleet[0].router.peer_exchange.endpoint,) if fleet else ()
            changes = last if number == count - 1 else {"link_bytes_per_s": WIDE}
            harness = RouterHarness(name=f"router-{number}", seeds=seeds, **changes)
            await harness.start()
            self.addAsyncCleanup(harness.close)
            fleet.append(harness)
        await wait_until(
            lambda: all(
                len(each.router.state_sync.config._revisions) == count - 1 for each in fleet
            )
        )
        self.received: list[StoredItem] = []
        return fleet

    def record_items(self, harness: RouterHarness) -> None:
        """Record the entries of the configuration that peers send to a router."""
        apply_items = harness.router.state_sync.apply_items

        def record(items: tuple[StoredItem, ...], peer: str) -> None:
            self.received += [item for item in items if item.key == "op/config"]
            apply_items(items, peer)

        harness.router.state_sync.apply_items = record

    async def put_everywhere_but_last(self, fleet: list[RouterHarness], version: int) -> None:
        """Change the configuration at all routers but the last one, and wait for that one."""
        for harness in fleet[:-1]:
            harness.store.put("op/config", build_large_config(version, SIZE))
        registry = fleet[-1].router.registry
        await wait_until(lambda: registry.config is not None and registry.config.version == version)

    async def test_router_that_lacks_a_configuration_gets_it_once(self) -> None:
        # Guards against copies from all peers, which occupied a narrow link for seconds.
        fleet = await self.start_fleet(6, link_bytes_per_s=WIDE)
        fleet[-1].store.down = True
        self.record_items(fleet[-1])
        await self.put_everywhere_but_last(fleet, 2)
        await asyncio.sleep(0.8)  # two turns of a resend
        self.assertEqual(len(self.received), 1)

    async def test_router_on_a_narrow_link_leaves_the_watch_to_its_peers(self) -> None:
        fleet = await self.start_fleet(5, link_bytes_per_s=NARROW)
        narrow = fleet[-1]
        self.record_items(narrow)
        await self.put_everywhere_but_last(fleet, 2)
        await wait_until(lambda: not narrow.router.state_sync.config.must_follow())
        await asyncio.sleep(0.5)  # the watch that began before ends
        narrow.store.put("op/config", build_config(90))  # not read
        await self.put_everywhere_but_last(fleet, 3)
        self.assertEqual(len(self.received), 2)

    async def test_another_peer_is_asked_when_the_first_does_not_answer(self) -> None:
        fleet = await self.start_fleet(4, link_bytes_per_s=NARROW)
        fleet[-1].store.down = True
        asked: list[str] = []
        send_config = ItemRelay._send_config

        def withhold_first(relay: ItemRelay, peer: InboundPeer, link: OutboundPeer) -> None:
            if relay._own_name not in asked:
                asked.append(relay._own_name)
            if relay._own_name != asked[0]:
                send_config(relay, peer, link)

        with patch.object(ItemRelay, "_send_config", withhold_first):
            await self.put_everywhere_but_last(fleet, 2)
        self.assertEqual(len(asked), 2)

    async def test_router_of_an_older_release_gets_the_configuration_unasked(self) -> None:
        def say_hello_as_before(message: object) -> bytes:
            if isinstance(message, PeerHello):
                message = attrs.evolve(message, asks_for_config=False)
            return encode_frame(message)

        with patch("boragetiller.gateway.peer_exchange.encode_frame", say_hello_as_before):
            fleet = await self.start_fleet(2, link_bytes_per_s=WIDE)
        fleet[-1].store.down = True
        with patch(
            "boragetiller.systems.config_transfer.requests.ConfigRequests.choose_peer",
            lambda *_args, **_options: None,
        ):
            await self.put_everywhere_but_last(fleet, 2)


class CompactItemsTest(unittest.TestCase):
    """Encoding of large values."""

    def test_compact_items_are_restored(self) -> None:
        rng = Random(5)
        for value in (b"", b"x" * 100, b"ab" * 300_000, rng.randbytes(1_048_576)):
            message = PeerItems((StoredItem("op/config", value, 3),), compact=True)
            frame = encode_frame(message)
            self.assertEqual(decode_payload(frame[LENGTH_BYTES:]).items, message.items)

    def test_compact_configuration_is_a_fraction_of_the_value(self) -> None:
        value = json.dumps(build_large_config(2, SIZE)).encode()
        items = (StoredItem("op/config", value, 3),)
        compact = encode_frame(PeerItems(items, compact=True))
        self.assertLess(4 * len(compact), len(encode_frame(PeerItems(items))))

    def test_value_that_inflates_beyond_a_frame_is_refused(self) -> None:
        items = (StoredItem("op/config", b"\0" * (MAX_FRAME_BYTES + 1), 3),)
        frame = encode_frame(PeerItems(items, compact=True))
        with self.assertRaises(BadFrame):
            decode_payload(frame[LENGTH_BYTES:])


if __name__ == "__main__":
    unittest.main()
