"""Single-segment packed Cap'n Proto messages, the encoding used between processes."""

from __future__ import annotations

from typing import Any

import capnp

from boragetiller.control.errors import BadFrame, FrameTooLarge

MAX_UNPACKED_BYTES = 4_194_304
WORD_BYTES = 8
SEGMENT_COUNT_MASK = 0x0F  # bits of the first packing tag that cover the number of segments - 1


def pack_message(envelope: Any) -> bytes:
    """
    Serialize a message.

    :param envelope: Cap'n Proto message builder
    :return: the packed message
    :raises FrameTooLarge: the message does not fit into one segment
    """
    data: bytes = envelope.to_bytes_packed()
    if not _has_one_segment(data):
        raise FrameTooLarge
    return data


def unpack_message(schema: Any, data: bytes, max_unpacked_bytes: int = MAX_UNPACKED_BYTES) -> Any:
    """
    Parse a message.

    Access to the fields of the result may also raise errors of the capnp library.

    :param schema: Cap'n Proto struct
    :param data: packed message
    :param max_unpacked_bytes: limit of the unpacked size, since a small frame may unpack to a
        very large message
    :return: Cap'n Proto message reader
    :raises BadFrame: the bytes are not a message of one segment
    """
    if not _has_one_segment(data):
        raise BadFrame("message does not have exactly one segment")
    limit_words = max_unpacked_bytes // WORD_BYTES
    try:
        return schema.from_bytes_packed(data, traversal_limit_in_words=limit_words)
    except (capnp.KjException, RuntimeError, ValueError) as error:
        raise BadFrame(str(error)[:100]) from error


def _has_one_segment(data: bytes) -> bool:
    # The capnp library aborts the process on a truncated message of several segments.
    return len(data) > 0 and data[0] & SEGMENT_COUNT_MASK == 0


__all__ = ["MAX_UNPACKED_BYTES", "WORD_BYTES", "pack_message", "unpack_message"]
