"""Time limits of messages from other routers, in virtual time."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from boragetiller.gateway.peer_messages import PeerItems, PeerMessage, encode_frame
from boragetiller.gateway.peer_reader import RECEIVE_TIMEOUT_MS, read_message
from boragetiller.tables.store_view import StoredItem
from tests.virtual_time import VirtualClock, run_virtually

CHUNK_BYTES = 16_384
MESSAGE = PeerItems((StoredItem("op/config", Random(1).randbytes(1_000_000), 3),))


async def read_over_link(bytes_per_s: float, sent_share: float = 1.0) -> tuple[PeerMessage, int]:
    """:return: the message, of which a share arrives at a rate, and the time that it took"""
    reader = asyncio.StreamReader()
    frame = encode_frame(MESSAGE)

    async def feed() -> None:
        for start in range(0, int(sent_share * len(frame)), CHUNK_BYTES):
            chunk = frame[start : start + CHUNK_BYTES]
            await asyncio.sleep(len(chunk) / bytes_per_s)
            reader.feed_data(chunk)

    feeding = asyncio.create_task(feed())
    try:
        return await read_message(reader), VirtualClock().now_ms()
    finally:
        feeding.cancel()


class ReadMessageTest(unittest.TestCase):
    def test_long_message_on_a_narrow_link_is_read(self) -> None:
        message, took_ms = run_virtually(read_over_link(100_000))
        self.assertEqual(message, MESSAGE)
        self.assertGreater(took_ms, 3 * RECEIVE_TIMEOUT_MS)

    def test_message_that_makes_no_progress_times_out(self) -> None:
        with self.assertRaises(TimeoutError):
            run_virtually(read_over_link(100_000, sent_share=0.5))


if __name__ == "__main__":
    unittest.main()
