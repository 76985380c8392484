"""Tests of the control exchange on the loopback address."""

from __future__ import annotations

import asyncio
import unittest

from boragetiller.control.messages import Goodbye, Report
from tests.control.fakes import ExchangeHarness, wait_until


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Connections between exchanges in one process."""

    async def asyncSetUp(self) -> None:
        self.nodes: list[ExchangeHarness] = []
        self.a = await self._start("a")
        self.b = await self._start("b")

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(node.exchange.close() for node in self.nodes))

    async def _start(self, name: str, incarnation: int = 1, **control: object) -> ExchangeHarness:
        node = ExchangeHarness(name, incarnation, **control)
        await node.exchange.start()
        self.nodes.append(node)
        return node

    async def _connect(self) -> None:
        self.a.exchange.set_peers([self.b.peer])
        await wait_until(
            lambda: self.a.exchange.connected_peers and self.b.exchange.connected_peers
        )

    async def test_messages_arrive_in_both_directions(self) -> None:
        await self._connect()
        report = Report(running=1)
        self.assertTrue(self.a.exchange.send("b", report))
        self.assertEqual(self.b.exchange.broadcast(report), 1)
        await wait_until(lambda: self.a.handler.messages and self.b.handler.messages)
        self.assertEqual(self.b.handler.messages, [("a", report)])
        self.assertFalse(self.a.exchange.send("nobody", report))

    async def test_peers_that_dial_each_other_keep_one_connection(self) -> None:
        self.a.exchange.set_peers([self.b.peer])
        self.b.exchange.set_peers([self.a.peer])
        await wait_until(
            lambda: self.a.exchange.connected_peers and self.b.exchange.connected_peers
        )
        report = Report(running=1)
        await wait_until(lambda: self.a.exchange.send("b", report) and self.b.handler.messages)
        await wait_until(
            lambda: len(self.a.exchange._connections) == 1
            and len(self.b.exchange._connections) == 1
        )

    async def test_lost_peer_is_reported_and_reconnected(self) -> None:
        await self._connect()
        self.b.exchange.get_connection("a").abort_as_replaced()  # type: ignore[union-attr]
        await wait_until(lambda: len(self.a.handler.connected) == 2)
        await wait_until(lambda: bool(self.a.handler.lost))
        self.assertEqual([peer.name for peer in self.a.handler.lost], ["b"])

    async def test_newer_incarnation_replaces_older(self) -> None:
        await self._connect()
        restarted = await self._start("a", incarnation=2)
        restarted.exchange.set_peers([self.b.peer])
        await wait_until(lambda: self.b.exchange.get_connection("a").session.peer.incarnation == 2)  # type: ignore[union-attr]
        closed = self.b.metrics.counts["control.closed.connection_replaced"]
        await wait_until(
            lambda: self.b.metrics.counts["control.closed.connection_replaced"] > closed
        )
        peer = self.b.exchange.get_connection("a").session.peer  # type: ignore[union-attr]
        self.assertEqual(peer.incarnation, 2)  # type: ignore[union-attr]

    async def test_bad_bytes_close_one_connection_and_are_counted(self) -> None:
        await self._connect()
        for data, reason in (
            (b"\x00\x00\x04\xff\xff\xff\xff", "bad_frame"),
            (b"GET / HTTP/1.1\r\n\r\n", "frame_too_large"),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.a.exchange.port)
            writer.write(data)
            self.assertEqual(await reader.read(), b"")
            writer.close()
            self.assertEqual(self.a.metrics.counts[f"control.closed.{reason}"], 1)
        self.assertEqual(self.a.exchange.connected_peers, ["b"])
        self.assertEqual(self.a.handler.lost, [])

    async def test_peer_with_wrong_key_is_counted_and_not_connected(self) -> None:
        other_key_node = await self._start("c", key="other")
        other_key_node.exchange.set_peers([self.a.peer])
        await wait_until(
            lambda: other_key_node.metrics.counts["control.closed.not_authenticated"] >= 2
        )
        self.assertEqual(self.a.exchange.connected_peers, [])

    async def test_silent_connections_are_closed(self) -> None:
        self.c = await self._start("c", suspect_after_ms=20)
        _, writer = await asyncio.open_connection("127.0.0.1", self.c.exchange.port)
        await wait_until(lambda: self.c.metrics.counts["control.closed.handshake_timeout"] == 1)
        writer.close()
        self.c.exchange.set_peers([self.b.peer])
        await wait_until(lambda: self.c.metrics.counts["control.closed.peer_silent"] >= 1)

    async def test_removed_peer_is_disconnected(self) -> None:
        await self._connect()
        self.a.exchange.set_peers([])
        await wait_until(lambda: not self.b.exchange.connected_peers)
        self.assertEqual(self.b.handler.messages, [("a", Goodbye(reason="not_needed"))])

    async def test_close_sends_goodbye(self) -> None:
        await self._connect()
        await self.b.exchange.close()
        await wait_until(lambda: self.a.handler.lost)
        self.assertEqual(self.a.handler.messages, [("b", Goodbye(reason="stopping"))])
        await wait_until(lambda: bool(self.a.handler.lost))
        self.assertEqual([peer.name for peer in self.a.handler.lost], ["b"])


if __name__ == "__main__":
    unittest.main()
