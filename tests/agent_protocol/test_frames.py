"""Tests of the frames that carry a response from an agent to a router."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.agent_protocol.frames import (
    FrameDecoder,
    FrameEncoder,
    FrameKind,
    ResponseHead,
    parse_error,
)
from boragetiller.errors import BackendLost, ProtocolError

OWN_ATTEMPT = 2
OTHER_ATTEMPT = 1
_PARTS = st.lists(st.binary(max_size=20), max_size=8)


def _encode_frames(attempt: int, parts: list[bytes]) -> list[bytes]:
    encoder = FrameEncoder(attempt)
    head = encoder.encode_head(ResponseHead(200, "text/plain"))
    return [head, *(encoder.encode_data(part) for part in parts), encoder.encode_end()]


def _build_wire(own: list[bytes], late: list[bytes], seed: int) -> bytes:
    """Build a byte stream of frames in order, some duplicated, mixed with another attempt's."""
    rng = Random(seed)
    wire: list[bytes] = []
    for frame in own:
        wire += rng.sample(late, rng.randint(0, min(2, len(late))))
        wire += [frame] * rng.randint(1, 2)
    return b"".join(wire)


def _decode(wire: bytes, seed: int) -> tuple[bytes, bool]:
    """:return: the body that a router would relay, and whether the END frame was received"""
    decoder, rng, body, ended = FrameDecoder(OWN_ATTEMPT), Random(seed), b"", False
    while wire and not ended:
        size = rng.randint(1, 30)
        for frame in decoder.feed(wire[:size]):
            body += frame.payload if frame.kind is FrameKind.DATA else b""
            ended = ended or frame.kind is FrameKind.END
        wire = wire[size:]
    return body, ended


class FrameTest(unittest.TestCase):
    """Only complete frames of the current attempt are decoded, each once and in order."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(own=_PARTS, late=_PARTS, seed=st.integers(0, 10_000))
    def test_feed_decodes_only_the_current_attempt(
        self, own: list[bytes], late: list[bytes], seed: int
    ) -> None:
        wire = _build_wire(
            _encode_frames(OWN_ATTEMPT, own), _encode_frames(OTHER_ATTEMPT, late), seed
        )
        self.assertEqual(_decode(wire, seed), (b"".join(own), True))

    def test_check_detects_decoder_that_accepts_late_responses(self) -> None:
        def accept_all(
            decoder: FrameDecoder, frames: list, kind: int, _attempt: int, _seq: int, payload: bytes
        ) -> None:
            frames.append(type("F", (), {"kind": FrameKind(kind), "payload": payload}))

        late, own = _encode_frames(OTHER_ATTEMPT, [b"late"]), _encode_frames(OWN_ATTEMPT, [b"own"])
        wire = b"".join([late[1], *own])
        with patch.object(FrameDecoder, "_accept", accept_all):
            self.assertNotEqual(_decode(wire, 3), (b"own", True))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(parts=st.lists(st.binary(max_size=20), min_size=1, max_size=8), data=st.data())
    def test_feed_raises_on_missing_frame(self, parts: list[bytes], data: st.DataObject) -> None:
        frames = _encode_frames(OWN_ATTEMPT, parts)
        del frames[data.draw(st.integers(0, len(frames) - 2))]
        with self.assertRaises(ProtocolError):
            _decode(b"".join(frames), 1)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(wire=st.binary(max_size=200))
    def test_feed_of_any_bytes_returns_frames_or_protocol_error(self, wire: bytes) -> None:
        try:
            FrameDecoder(0).feed(wire)
        except ProtocolError as error:
            self.assertEqual(error.code, "protocol_error")

    def test_error_frame_keeps_error_class_and_message(self) -> None:
        frame = FrameDecoder(OWN_ATTEMPT).feed(
            FrameEncoder(OWN_ATTEMPT).encode_error(BackendLost("gone"))
        )[0]
        error = parse_error(frame.payload)
        self.assertEqual((type(error), str(error)), (BackendLost, "gone"))


if __name__ == "__main__":
    unittest.main()
