"""Packed capnp messages of one segment, as all processes of the system exchange them."""

from __future__ import annotations

from typing import Any

import capnp

from boragetiller.control.errors import BadFrame, FrameTooLarge

MAX_UNPACKED_BYTES = 4_194_304
WORD_BYTES = 8
SEGMENT_COUNT_MASK = 0x0F  # of the first packing tag: bytes of the segment count less 1


def pack(envelope: Any) -> bytes:
    """
    Serialize a message.

    :param envelope: a capnp builder
    :return: packed bytes
    :raises FrameTooLarge: the message does not fit into one segment
    """
    data: bytes = envelope.to_bytes_packed()
    if not _has_one_segment(data):
        raise FrameTooLarge
    return data


def unpack(schema: Any, data: bytes, max_unpacked_bytes: int = MAX_UNPACKED_BYTES) -> Any:
    """
    Parse a message; reading its fields may raise capnp's errors too.

    :param schema: the capnp struct
    :param data: packed bytes
    :param max_unpacked_bytes: bounds what a small frame may expand to
    :return: a capnp reader
    :raises BadFrame: the bytes are no message of one segment
    """
    if not _has_one_segment(data):
        raise BadFrame("not one segment")
    limit_words = max_unpacked_bytes // WORD_BYTES
    try:
        return schema.from_bytes_packed(data, traversal_limit_in_words=limit_words)
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise BadFrame(str(error)[:100]) from error


def _has_one_segment(data: bytes) -> bool:
    # The library ends the process when a frame of several segments is cut short.
    return len(data) > 0 and data[0] & SEGMENT_COUNT_MASK == 0


__all__ = ["MAX_UNPACKED_BYTES", "WORD_BYTES", "pack", "unpack"]
