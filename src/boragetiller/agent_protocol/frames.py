"""Frames of an answer on its way from agent to router."""

from __future__ import annotations

import json
import struct
from enum import IntEnum
from typing import Any, NamedTuple, TypeVar

import attrs

from boragetiller.errors import BoragetillerError, ProtocolError, error_from_code
from boragetiller.verdict import Verdict

_HEADER = struct.Struct(">BHII")
MAX_PAYLOAD_BYTES = 16_000_000
_STATUSES = range(100, 600)
_LINE_ENDS = frozenset("\r\n\0")
T = TypeVar("T")


class FrameKind(IntEnum):
    """What a frame carries."""

    HEAD = 1
    DATA = 2
    END = 3
    FAIL = 4
    KEEPALIVE = 5


class Frame(NamedTuple):
    """One frame; `sequence` counts the frames of an attempt from 0."""

    kind: FrameKind
    attempt: int
    sequence: int
    payload: bytes


@attrs.frozen
class ResponseHead:
    """Status and headers of the backend server's answer."""

    status: int
    content_type: str
    headers: dict[str, str] = attrs.Factory(dict)  # further ones, of a plain service


class FrameEncoder:
    """Encodes the frames of one attempt in order."""

    def __init__(self, attempt: int) -> None:
        """:param attempt: number of the attempt"""
        self._attempt = attempt
        self._sequence = 0

    def encode_head(self, head: ResponseHead) -> bytes:
        """:return: an encoded HEAD frame"""
        return self._encode(FrameKind.HEAD, json.dumps(attrs.asdict(head)).encode())

    def encode_data(self, payload: bytes) -> bytes:
        """:return: an encoded DATA frame"""
        return self._encode(FrameKind.DATA, payload)

    def encode_end(self) -> bytes:
        """:return: the end marker of a whole answer"""
        return self._encode(FrameKind.END, b"")

    def encode_keepalive(self) -> bytes:
        """:return: a frame that only shows that the agent is alive"""
        return self._encode(FrameKind.KEEPALIVE, b"")

    def encode_error(self, error: BoragetillerError) -> bytes:
        """:return: an encoded FAIL frame with code and verdict"""
        fields = {
            "code": error.code,
            "message": str(error),
            "verdict": error.verdict.value,
            "retry_after_s": error.retry_after_s,
            "owner": error.owner,
        }
        return self._encode(FrameKind.FAIL, json.dumps(fields).encode())

    def _encode(self, kind: FrameKind, payload: bytes) -> bytes:
        header = _HEADER.pack(kind, self._attempt, self._sequence, len(payload))
        self._sequence += 1
        return header + payload


class FrameDecoder:
    """Decodes the frames of one attempt and drops those of others."""

    def __init__(self, attempt: int) -> None:
        """:param attempt: number of the attempt that is current"""
        self._attempt = attempt
        self._next_sequence = 0
        self._buffer = bytearray()
        self.dropped = 0  # frames of other attempts and repeated ones

    def feed(self, chunk: bytes) -> list[Frame]:
        """
        Take bytes from the wire.

        :param chunk: any cut of the byte stream
        :return: whole frames of the current attempt, in order
        :raises ProtocolError: on an unknown, oversized or missing frame
        """
        self._buffer += chunk
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= _HEADER.size:
            kind, attempt, sequence, length = _HEADER.unpack_from(self._buffer, offset)
            if length > MAX_PAYLOAD_BYTES:
                raise ProtocolError("frame too large")
            end = offset + _HEADER.size + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[offset + _HEADER.size : end])
            offset = end
            self._accept(frames, kind, attempt, sequence, payload)
        del self._buffer[:offset]
        return frames

    def _accept(
        self, frames: list[Frame], kind: int, attempt: int, sequence: int, payload: bytes
    ) -> None:
        if attempt != self._attempt or sequence < self._next_sequence:
            self.dropped += 1
            return
        if sequence > self._next_sequence:
            raise ProtocolError("frame missing")
        self._next_sequence += 1
        try:
            frames.append(Frame(FrameKind(kind), attempt, sequence, payload))
        except ValueError as error:
            raise ProtocolError("unknown frame") from error


def parse_head(payload: bytes) -> ResponseHead:
    """
    Decode a HEAD payload.

    :raises ProtocolError: when it is malformed
    """
    try:
        fields = json.loads(payload)
        head = ResponseHead(fields["status"], fields["content_type"], fields["headers"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError("bad head frame") from error
    if type(head.status) is not int or head.status not in _STATUSES:
        raise ProtocolError("bad status in a head frame")
    if not isinstance(head.content_type, str) or not _LINE_ENDS.isdisjoint(head.content_type):
        raise ProtocolError("bad content type in a head frame")
    if not isinstance(head.headers, dict):
        raise ProtocolError("bad headers in a head frame")
    for name, value in head.headers.items():
        if not isinstance(value, str) or not _LINE_ENDS.isdisjoint(name + value):
            raise ProtocolError("bad header in a head frame")
    return head


def parse_error(payload: bytes) -> BoragetillerError:
    """
    Decode a FAIL payload.

    :return: the error that the agent reported
    :raises ProtocolError: when it is malformed
    """
    try:
        fields = json.loads(payload)
        return error_from_code(
            str(fields["code"]),
            str(fields["message"]),
            verdict=Verdict(fields["verdict"]),
            retry_after_s=_optional(fields["retry_after_s"], int),
            owner=_optional(fields["owner"], str),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError("bad fail frame") from error


def _optional(value: Any, expected: type[T]) -> T | None:
    if value is None or type(value) is expected:
        return value
    raise TypeError(f"{expected.__name__} is needed")


__all__ = [
    "MAX_PAYLOAD_BYTES",
    "Frame",
    "FrameKind",
    "FrameDecoder",
    "FrameEncoder",
    "ResponseHead",
    "parse_error",
    "parse_head",
]
