"""Reading of messages from connections of other routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.control.errors import BadFrame
from boragetiller.gateway.peer_messages import LENGTH_BYTES, MAX_FRAME_BYTES, decode_payload

if TYPE_CHECKING:
    from boragetiller.gateway.peer_messages import PeerMessage

RECEIVE_TIMEOUT_MS = 3_000  # a peer that sends nothing for so long is disconnected


async def read_message(reader: asyncio.StreamReader) -> PeerMessage:
    """
    Read a message.

    :param reader: the connection
    :return: the message
    :raises BadFrame: the frame is too large or is not a known message
    :raises TimeoutError: nothing arrived for RECEIVE_TIMEOUT_MS
    :raises asyncio.IncompleteReadError: the connection has ended
    """
    async with asyncio.timeout(RECEIVE_TIMEOUT_MS / 1_000):
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > MAX_FRAME_BYTES:
            raise BadFrame(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes")
        return decode_payload(await reader.readexactly(size))


__all__ = ["RECEIVE_TIMEOUT_MS", "read_message"]
