"""State exchange between routers, and the encoding of its messages."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.clock import SystemClock
from boragetiller.control.errors import BadFrame, FrameTooLarge
from boragetiller.gateway.peer_exchange import MAX_KNOWN_ROUTERS, PeerExchange
from boragetiller.gateway.peer_messages import (
    LENGTH_BYTES,
    CachedPrompt,
    PeerHello,
    PeerItems,
    PeerMessage,
    PeerReport,
    PeerRouters,
    ReportedLoad,
    decode_payload,
    encode_frame,
)
from boragetiller.gateway.settings import Endpoint
from boragetiller.store_eras import extend_revision
from boragetiller.systems.failure_history import exclude_failed_servers, record_error
from boragetiller.tables.call_metadata import Prompt, PromptPart
from boragetiller.tables.failure_history import FailureKind, RequestFailure
from boragetiller.tables.report_entries import ServerAnnouncement
from boragetiller.tables.server_limits import LimitReport
from boragetiller.tables.store_view import EntryVersion, StoredItem
from tests.gateway.harness import FakeStore, RouterHarness, build_config, wait_until
from tests.gateway.scripted_engine import ScriptedEngine, build_response

PROMPT = Prompt(model="m", input_tokens=900, output_tokens=16, parts=(PromptPart("aa", 800),))


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Two routers; the first one is the seed of the second."""

    async def start_pair(self, second_store: FakeStore) -> tuple[RouterHarness, RouterHarness]:
        engine = ScriptedEngine(
            lambda r, w: asyncio.sleep(0, w.write(build_response(r.request_id)))
        )
        await engine.start()
        self.addAsyncCleanup(engine.close)
        self.engine = engine
        first = RouterHarness(name="router-1")
        first.store.register("a", engine, "shop")
        first.store.register("e", engine, "engines")
        await first.start()
        self.addAsyncCleanup(first.close)
        second = RouterHarness(
            second_store, name="router-2", seeds=(first.router.peer_exchange.endpoint,)
        )
        await second.start()
        self.addAsyncCleanup(second.close)
        return first, second

    async def test_router_started_during_a_store_outage_gets_its_state_from_a_peer(self) -> None:
        store = FakeStore()
        store.down = True
        _, second = await self.start_pair(store)
        await wait_until(lambda: second.router.registry.config is not None)
        await wait_until(lambda: second.router.registry.servers_listed)
        async with second.call("/stock/", method="GET") as response:
            self.assertEqual(response.status, 200)

    async def test_revoked_key_reaches_a_router_without_store_access(self) -> None:
        store = FakeStore()
        store.down = True
        first, second = await self.start_pair(store)
        await wait_until(lambda: second.router.registry.servers_listed)
        first.store.put("op/config", build_config(2, tenants=[]))
        await wait_until(lambda: second.router.registry.config.version == 2)
        async with second.call("/stock/", method="GET") as response:
            self.assertEqual(response.status, 401)

    async def test_removed_server_reaches_a_router_without_store_access(self) -> None:
        store = FakeStore()
        store.down = True
        first, second = await self.start_pair(store)
        await wait_until(lambda: "a" in second.router.registry.servers.by_name)
        first.store.remove("servers/a")
        await wait_until(lambda: "a" not in second.router.registry.servers.by_name)

    async def test_change_that_a_router_missed_reaches_it_though_it_knows_a_later_one(self) -> None:
        first, second = await self.start_pair(FakeStore())
        await wait_until(lambda: "a" in second.router.registry.servers.by_name)
        second.store.down = True
        store = first.store
        later = attrs.evolve(store.items["servers/e"], revision=store.revision + 2)
        second.router.state_sync.apply_items((later,), "watch")
        engine = self.engine
        store.register("a", engine, "shop", state="draining")
        store.register("e", engine, "engines")
        servers = second.router.registry.servers
        await wait_until(lambda: servers.by_name["a"].record.draining)

    async def test_configuration_that_a_router_missed_reaches_it_though_it_knows_a_later_key(
        self,
    ) -> None:
        first, second = await self.start_pair(FakeStore())
        await wait_until(lambda: second.router.registry.config is not None)
        second.store.down = True
        store = first.store
        note = StoredItem("op/config.note", b"{}", store.revision + 2)
        second.router.state_sync.apply_items((note,), "watch")
        store.put("op/config", build_config(2))
        store.put("op/config.note", b"{}")
        registry = second.router.registry
        await wait_until(lambda: registry.config is not None and registry.config.version == 2)

    async def test_older_configuration_of_a_peer_is_ignored(self) -> None:
        store = FakeStore()
        store.put("op/config", build_config(9))
        store.put("op/other", {})
        first, second = await self.start_pair(store)
        await asyncio.sleep(0.5)
        self.assertEqual(second.router.registry.config.version, 9)

    async def test_loads_and_prompts_of_a_peer_are_applied_until_it_disconnects(self) -> None:
        store = FakeStore()
        store.down = True
        first, second = await self.start_pair(store)
        await wait_until(lambda: "e" in second.router.registry.servers.by_name)
        await wait_until(lambda: "e" in second.router.registry.servers.by_name)
        server = first.router.registry.servers.by_name["e"]
        server.in_flight, server.sensitivity = 3, 1.5
        group = first.router.registry.config.groups["engines"]
        first.router.state_sync.record_prompt(server, PROMPT, group.engine)
        server_at_second = second.router.registry.servers.by_name["e"]
        await wait_until(
            lambda: server_at_second.peer_load.in_flight == 3
            and "aa" in server_at_second.cached_parts
        )
        self.assertIn("router-1", second.router.registry.peer_loads.by_peer)
        await first.router.abort()
        await wait_until(lambda: server_at_second.peer_load.in_flight == 0)

    async def test_report_holds_only_changes_and_keeps_other_loads_counted(self) -> None:
        store = FakeStore()
        store.down = True
        first, second = await self.start_pair(store)
        await wait_until(lambda: "e" in second.router.registry.servers.by_name)
        server = first.router.registry.servers.by_name["e"]
        cursor = first.router.state_sync.create_cursor()
        server_at_second = second.router.registry.servers.by_name["e"]
        server.in_flight = 2
        changed = first.router.state_sync.build_report(cursor)
        self.assertEqual([load.in_flight for load in changed.loads], [2])
        second.router.state_sync.apply_report("other", changed)
        loads = second.router.registry.peer_loads.by_peer["other"]
        loads.last_report_ms = 0
        same = first.router.state_sync.build_report(cursor)
        self.assertEqual(same.loads, ())
        self.assertFalse(same.differs_from(changed))
        second.router.state_sync.apply_report("other", same)
        self.assertGreater(loads.last_report_ms, 0)
        self.assertEqual(server_at_second.peer_load.in_flight, 2)
        server.in_flight = 0
        second.router.state_sync.apply_report("other", first.router.state_sync.build_report(cursor))
        self.assertEqual(server_at_second.peer_load.in_flight, 0)

    async def test_failures_are_shared_between_routers(self) -> None:
        first, second = await self.start_pair(FakeStore())
        await wait_until(lambda: "router-1" in second.router.state_sync.store_polls.peer_polls)
        record_error(first.router.registry.failure_history, b"f" * 12, "a", 0)
        history = second.router.registry.failure_history
        await wait_until(lambda: b"f" * 12 in history.errors)
        servers = list(first.router.registry.servers.by_name.values())
        left = exclude_failed_servers(
            servers, history, b"f" * 12, history.errors[b"f" * 12].last_ms
        )
        self.assertEqual([server.name for server in left], ["e"])

    async def test_unreachable_router_is_removed_unless_it_is_a_seed(self) -> None:
        first, second = await self.start_pair(FakeStore())
        unreachable = second.router.peer_exchange.endpoint
        seed = first.router.peer_exchange.endpoint
        await wait_until(lambda: unreachable in first.router.peer_exchange.list_dialed_endpoints())
        module = "boragetiller.gateway.peer_exchange"
        with patch(f"{module}.REMOVE_AFTER_MS", 0), patch(f"{module}.RECONNECT_DELAY_MS", 5):
            await second.router.abort()
            await wait_until(
                lambda: unreachable not in first.router.peer_exchange.list_dialed_endpoints()
            )
            await first.router.abort()
        self.assertIn(seed, second.router.peer_exchange.list_dialed_endpoints())

    async def test_routers_discover_each_other_through_a_seed(self) -> None:
        first, second = await self.start_pair(FakeStore())
        third = RouterHarness(name="router-3", seeds=(first.router.peer_exchange.endpoint,))
        await third.start()
        self.addAsyncCleanup(third.close)
        await wait_until(lambda: "router-3" in second.router.state_sync.store_polls.peer_polls)
        await wait_until(lambda: "router-2" in third.router.state_sync.store_polls.peer_polls)
        await first.router.abort()
        await wait_until(lambda: "router-1" not in second.router.state_sync.store_polls.peer_polls)
        self.assertIn("router-3", second.router.state_sync.store_polls.peer_polls)

    async def test_another_router_takes_over_the_watch(self) -> None:
        store = FakeStore()
        store.put("op/config", build_config())
        with patch("boragetiller.systems.watcher_election.WATCHERS", 1):
            first, second = await self.start_pair(store)
            routers = (first, second)
            await wait_until(
                lambda: all(s.router.state_sync.watcher_election.store_report_ms for s in routers)
            )
            now_ms = SystemClock().now_ms()
            watchers = [
                s for s in routers if s.router.state_sync.watcher_election.is_watcher(now_ms)
            ]
            self.assertEqual(len(watchers), 1)
            other = next(harness for harness in routers if harness is not watchers[0])
            watchers[0].store.put("servers/z", b"{}")  # only in the watcher's store
            await wait_until(lambda: "servers/z" in other.router.registry.store_entries.view.items)
            await watchers[0].router.abort()
            await wait_until(
                lambda: other.router.state_sync.watcher_election.is_watcher(SystemClock().now_ms())
            )
            other.store.put("servers/late", b"{}")
            await wait_until(
                lambda: "servers/late" in other.router.registry.store_entries.view.items
            )

    async def test_number_of_known_routers_is_bounded(self) -> None:
        first, _ = await self.start_pair(FakeStore())
        endpoint = first.router.peer_exchange.endpoint
        _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        hello = PeerHello(name="router-x", incarnation=1, address="127.0.0.1", port=1)
        routers = PeerRouters(tuple(Endpoint("127.0.0.2", port) for port in range(2, 4_000)))
        with patch.object(PeerExchange, "_update_connections"):
            writer.write(encode_frame(hello) + encode_frame(routers))
            await wait_until(lambda: first.router.peer_exchange.known_count == MAX_KNOWN_ROUTERS)
        writer.transport.abort()

    async def test_entry_too_large_to_send_blocks_no_other(self) -> None:
        store = FakeStore()
        store.down = True
        with patch("boragetiller.gateway.item_relay.encode_frame", side_effect=_encode_small_frame):
            first, second = await self.start_pair(store)
            first.store.put("servers/large", b"x" * 5_000)
            first.store.put("op/config", build_config(4))
            await wait_until(lambda: second.router.registry.config is not None)
            await wait_until(lambda: second.router.registry.config.version == 4)
        self.assertNotIn("servers/large", second.router.registry.store_entries.view.items)

    async def test_invalid_addresses_are_left_out_and_the_others_hold(self) -> None:
        # Guards against addresses whose connection task fails and that count as routers for good.
        first, _ = await self.start_pair(FakeStore())
        exchange = first.router.peer_exchange
        before = exchange.known_count
        seeds = [Endpoint(text, 80) for text in ("host.example", "10.0.0.1\0", "", "x" * 99)]
        exchange.set_seeds((*seeds, Endpoint("10.0.0.1", 0), Endpoint("127.0.0.1", 9)))
        self.assertEqual(exchange.known_count, before + 1)
        _, writer = await asyncio.open_connection(exchange.endpoint.address, exchange.endpoint.port)
        hello = PeerHello(name="router-x", incarnation=1, address="127.0.0.1", port=1)
        routers = PeerRouters((*seeds, Endpoint("127.0.0.1", 8)))
        writer.write(encode_frame(hello) + encode_frame(routers))
        await wait_until(lambda: exchange.known_count == before + 3)
        writer.transport.abort()

    async def test_sums_too_large_for_a_report_do_not_stop_the_reports(self) -> None:
        # Guards against reports that are not sent because a sum exceeds their field.
        first, second = await self.start_pair(FakeStore())
        await wait_until(lambda: "e" in second.router.registry.servers.by_name)
        server = first.router.registry.servers.by_name["e"]
        server.in_flight, server.unread_tokens[0] = 3, 1 << 33
        peer_loads = second.router.registry.peer_loads.by_peer
        await wait_until(lambda: "router-1" in peer_loads and peer_loads["router-1"].loads)
        load = peer_loads["router-1"].loads["e"].load
        self.assertEqual((load.in_flight, load.unread_tokens[0]), (3, (1 << 32) - 1))

    async def test_connection_with_invalid_frames_is_closed(self) -> None:
        store = FakeStore()
        first, _ = await self.start_pair(store)
        endpoint = first.router.peer_exchange.endpoint
        reader, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
        writer.write(b"\xff\xff\xff\xff and more")
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
        writer.transport.abort()


class PeerMessagesTest(unittest.TestCase):
    """Encoding and decoding of frames."""

    def test_decode_restores_encoded_messages(self) -> None:
        load = ReportedLoad(server="a", in_flight=2, unread_tokens=(5, 0, 1, 0), sensitivity=0.5)
        for message in (
            PeerHello(name="r", incarnation=7, address="10.0.0.1", port=80),
            PeerReport(
                config_revision=1,
                servers_revision=2,
                loads=(load,),
                prompts=(CachedPrompt(server="a", prompt=PROMPT),),
                failures=(RequestFailure(b"f" * 12, "a", FailureKind.CRASH),),
                store_reads=3,
                announcements=(ServerAnnouncement(server="a", started_ms=1_700, leaving=True),),
            ),
            PeerRouters((Endpoint("10.0.0.1", 80), Endpoint("10.0.0.2", 81))),
            PeerReport(
                config_revision=extend_revision(3, 1), servers_revision=extend_revision(2, 9)
            ),
            PeerItems((StoredItem("k", b"x" * 200_000, 3), StoredItem("l", None, 4))),
            PeerItems((StoredItem("m", None, extend_revision(2, 4), EntryVersion(1_000, 7)),)),
        ):
            with self.subTest(message=type(message).__name__):
                self.assertEqual(decode_payload(encode_frame(message)[LENGTH_BYTES:]), message)

    def test_decode_refuses_numbers_that_no_sum_recovers_from(self) -> None:
        for value in (float("nan"), float("inf")):
            load = ReportedLoad(server="a", in_flight=1, unread_tokens=(), sensitivity=value)
            limit = LimitReport(server="a", limit_per_s=value, age_ms=0)
            for fields in ({"loads": (load,)}, {"limits": (limit,)}):
                report = PeerReport(config_revision=1, servers_revision=2, **fields)
                with self.subTest(fields=fields), self.assertRaises(BadFrame):
                    decode_payload(encode_frame(report)[LENGTH_BYTES:])

    @given(st.binary(max_size=200))
    @settings(derandomize=True, deadline=None)
    def test_decode_of_random_bytes_raises_only_bad_frame(self, data: bytes) -> None:
        try:
            decode_payload(data)
        except BadFrame:
            return

    @given(st.integers(0, 60), st.integers(0, 255))
    @settings(derandomize=True, deadline=None)
    def test_decode_of_a_corrupted_report_raises_only_bad_frame(
        self, position: int, value: int
    ) -> None:
        load = ReportedLoad(server="a", in_flight=2, unread_tokens=(5, 0, 1, 0), sensitivity=0.5)
        report = PeerReport(config_revision=1, servers_revision=2, loads=(load,))
        data = bytearray(encode_frame(report)[LENGTH_BYTES:])
        data[position % len(data)] = value
        try:
            decode_payload(bytes(data))
        except BadFrame:
            return


def _encode_small_frame(message: PeerMessage) -> bytes:
    data = encode_frame(message)
    if len(data) > 4_000:
        raise FrameTooLarge
    return data


if __name__ == "__main__":
    unittest.main()
