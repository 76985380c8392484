"""Reading of messages from other routers, with a bound on connections that have not said hello."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from boragetiller.control.errors import BadFrame
from boragetiller.gateway.peer_messages import LENGTH_BYTES, MAX_FRAME_BYTES, decode_payload

if TYPE_CHECKING:
    from boragetiller.gateway.peer_messages import PeerMessage

RECEIVE_TIMEOUT_MS = 3_000  # a peer that sends nothing for so long is disconnected
CHUNK_BYTES = 16_384  # of a long message, each of which is progress
MAX_HELLO_BYTES = 4_096  # of name, incarnation and address
MAX_PENDING_HELLOS = 64  # a hello arrives with the first segment of a connection


async def read_message(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> PeerMessage:
    """
    Read one message.

    :param reader: stream of the connection
    :param max_bytes: size limit
    :return: the message
    :raises BadFrame: the message is too large or malformed
    :raises TimeoutError: nothing arrived for RECEIVE_TIMEOUT_MS
    :raises asyncio.IncompleteReadError: the connection ended
    """
    size = int.from_bytes(await _read_exactly(reader, LENGTH_BYTES), "big")
    if size > max_bytes:
        raise BadFrame(f"frame of {size} bytes exceeds {max_bytes} bytes")
    chunks = []
    for start in range(0, size, CHUNK_BYTES):
        chunks.append(await _read_exactly(reader, min(CHUNK_BYTES, size - start)))
    return decode_payload(b"".join(chunks))


async def _read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    async with asyncio.timeout(RECEIVE_TIMEOUT_MS / 1_000):
        return await reader.readexactly(size)


class HelloReader:
    """Reads the first messages of connections, a bounded number at a time."""

    def __init__(self) -> None:
        """Create a reader that waits for no connection."""
        self._pending = 0

    async def read(self, reader: asyncio.StreamReader) -> PeerMessage:
        """
        Read the first message of a connection; see :func:`read_message`.

        :param reader: stream of the connection
        :return: the message
        :raises BadFrame: also if too many connections have not sent theirs
        """
        if self._pending >= MAX_PENDING_HELLOS:
            raise BadFrame(f"{self._pending} connections have not sent a hello")
        self._pending += 1
        try:
            return await read_message(reader, MAX_HELLO_BYTES)
        finally:
            self._pending -= 1


__all__ = ["HelloReader", "read_message"]
