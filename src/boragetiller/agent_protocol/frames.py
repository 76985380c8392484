"""Frames that carry a response from an agent to a router."""

from __future__ import annotations

import json
import struct
from enum import IntEnum
from typing import Any, NamedTuple, TypeVar

import attrs

from boragetiller.errors import BoragetillerError, ProtocolError, error_from_code
from boragetiller.verdict import Verdict

_FRAME_HEADER = struct.Struct(">BHII")
MAX_PAYLOAD_BYTES = 16_000_000
_STATUSES = range(100, 600)
_FORBIDDEN_HEADER_CHARACTERS = frozenset("\r\n\0")
T = TypeVar("T")


class FrameKind(IntEnum):
    """Content of a frame."""

    HEAD = 1
    DATA = 2
    END = 3
    FAIL = 4
    KEEPALIVE = 5


class Frame(NamedTuple):
    """One frame; `sequence` numbers the frames of an attempt from 0."""

    kind: FrameKind
    attempt: int
    sequence: int
    payload: bytes


@attrs.frozen
class ResponseHead:
    """Status and headers of a backend server's response."""

    status: int
    content_type: str
    headers: dict[str, str] = attrs.Factory(dict)  # other headers, of a plain service


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
        """:return: an encoded END frame, which marks a complete response"""
        return self._encode(FrameKind.END, b"")

    def encode_keepalive(self) -> bytes:
        """:return: an encoded KEEPALIVE frame, sent while there is no data"""
        return self._encode(FrameKind.KEEPALIVE, b"")

    def encode_error(self, error: BoragetillerError) -> bytes:
        """:return: an encoded FAIL frame with the error's code and verdict"""
        fields = {
            "code": error.code,
            "message": str(error),
            "verdict": error.verdict.value,
            "retry_after_s": error.retry_after_s,
            "owner": error.owner,
        }
        return self._encode(FrameKind.FAIL, json.dumps(fields).encode())

    def _encode(self, kind: FrameKind, payload: bytes) -> bytes:
        header = _FRAME_HEADER.pack(kind, self._attempt, self._sequence, len(payload))
        self._sequence += 1
        return header + payload


class FrameDecoder:
    """Decodes the frames of one attempt and drops the frames of other attempts."""

    def __init__(self, attempt: int) -> None:
        """:param attempt: number of the current attempt"""
        self._attempt = attempt
        self._next_sequence = 0
        self._buffer = bytearray()
        self.dropped = 0  # frames of other attempts and duplicates

    def feed(self, chunk: bytes) -> list[Frame]:
        """
        Decode received bytes.

        :param chunk: next bytes of the stream, split anywhere
        :return: complete frames of the current attempt, in order
        :raises ProtocolError: a frame is unknown, too large or missing
        """
        self._buffer += chunk
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= _FRAME_HEADER.size:
            kind, attempt, sequence, length = _FRAME_HEADER.unpack_from(self._buffer, offset)
            if length > MAX_PAYLOAD_BYTES:
                raise ProtocolError(
                    f"frame payload has {length} bytes, the limit is {MAX_PAYLOAD_BYTES}"
                )
            end = offset + _FRAME_HEADER.size + length
            if len(self._buffer) < end:
                break
            payload = bytes(self._buffer[offset + _FRAME_HEADER.size : end])
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
            raise ProtocolError(f"frame {self._next_sequence} is missing: received {sequence}")
        self._next_sequence += 1
        try:
            frames.append(Frame(FrameKind(kind), attempt, sequence, payload))
        except ValueError as error:
            raise ProtocolError(f"unknown frame kind {kind}") from error


def parse_head(payload: bytes) -> ResponseHead:
    """
    Decode the payload of a HEAD frame.

    :raises ProtocolError: the payload is malformed
    """
    try:
        fields = json.loads(payload)
        head = ResponseHead(fields["status"], fields["content_type"], fields["headers"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError("HEAD frame: payload is malformed") from error
    if type(head.status) is not int or head.status not in _STATUSES:
        raise ProtocolError("HEAD frame: status must be an integer from 100 to 599")
    if not isinstance(head.content_type, str) or not _FORBIDDEN_HEADER_CHARACTERS.isdisjoint(
        head.content_type
    ):
        raise ProtocolError("HEAD frame: content type must be a string without CR, LF and NUL")
    if not isinstance(head.headers, dict):
        raise ProtocolError("HEAD frame: headers must be an object")
    for name, value in head.headers.items():
        if not isinstance(value, str) or not _FORBIDDEN_HEADER_CHARACTERS.isdisjoint(name + value):
            raise ProtocolError("HEAD frame: a header must be a string without CR, LF and NUL")
    return head


def parse_error(payload: bytes) -> BoragetillerError:
    """
    Decode the payload of a FAIL frame.

    :return: the error that the agent reported
    :raises ProtocolError: the payload is malformed
    """
    try:
        fields = json.loads(payload)
        return error_from_code(
            str(fields["code"]),
            str(fields["message"]),
            verdict=Verdict(fields["verdict"]),
            retry_after_s=_check_optional(fields["retry_after_s"], int),
            owner=_check_optional(fields["owner"], str),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise ProtocolError("FAIL frame: payload is malformed") from error


def _check_optional(value: Any, expected: type[T]) -> T | None:
    if value is None or type(value) is expected:
        return value
    raise TypeError(f"must be {expected.__name__} or null")


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
