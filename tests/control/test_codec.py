"""Tests of the codec of control messages."""

from __future__ import annotations

import unittest
import zlib
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.control.codec import _SCHEMA, MAX_PAGE_BYTES, decode, encode
from boragetiller.control.errors import BadFrame
from boragetiller.control.messages import (
    CrashReport,
    CrashReportList,
    Goodbye,
    Hello,
    PageRequest,
    PageResponse,
    PageVersions,
    Proof,
    Report,
    ShareGrant,
    ShareRequest,
)
from boragetiller.control.session import LENGTH_BYTES, MAC_BYTES
from boragetiller.settings import Role

CRASH_REPORT = CrashReport(fingerprint=bytes(range(16)), backend_server="engine-1", age_ms=40)
BUSY_REPORT = Report(
    running=14,
    max_running=16,
    queued=(3, 12, 0, 250),
    service_ms=11_834.2,
    first_token_ms=212.5,
    between_tokens_ms=41.3,
    pages_digest=0xFEDC_BA98,
)
MESSAGES = (
    Hello(
        role=Role.AGENT,
        name="host-1",
        incarnation=2**63,
        failure_domain="vl-a",
        region="vesturland",
        nonce=b"n" * 16,
    ),
    Proof(mac=b"m" * 32),
    BUSY_REPORT,
    Report(draining=True, protected_running=0, owned_shards=(3, 7), crash_reports=(CRASH_REPORT,)),
    Report(owned_shards=()),
    PageVersions(revisions={0: 5, 63: 2**40}, complete=True),
    PageVersions(revisions={7: 8}, partial=True),
    PageRequest(indexes=(1, 2, 63)),
    PageResponse(index=4, revision=9, body=b"\x00\xff" * 4_000),
    CrashReportList(crash_reports=(CRASH_REPORT,)),
    ShareRequest(customer="kalisz", share=0.25),
    ShareGrant(customer="kalisz", share=0.125),
    Goodbye(reason="stopping"),
)


def _pack_flat_message(flat: bytes) -> bytes:
    """Encode a flat Cap'n Proto message in packed form, without runs of words."""
    words = (flat[i : i + 8] for i in range(8, len(flat), 8))
    return b"".join(
        bytes([sum(1 << i for i, byte in enumerate(word) if byte)])
        + bytes(byte for byte in word if byte)
        + (b"\x00" if all(word) or not any(word) else b"")
        for word in (flat[:8], *words)
    )


class CodecTest(unittest.TestCase):
    """Round trips, limits and invalid input."""

    def test_round_trip_keeps_every_message(self) -> None:
        for message in MESSAGES:
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(decode(encode(message)), message)

    def test_busy_report_fits_in_100_bytes_with_framing(self) -> None:
        framing_bytes = LENGTH_BYTES + MAC_BYTES
        self.assertLess(len(encode(BUSY_REPORT)) + framing_bytes, 100)

    def test_frame_with_oversized_content_is_refused(self) -> None:
        frame = encode(Goodbye(reason="\0" * 20_000))
        self.assertLess(len(frame), 1_000)
        self.assertEqual(len(decode(frame).reason), 20_000)  # type: ignore[union-attr]
        with self.assertRaises(BadFrame):
            decode(frame, max_unpacked_bytes=8_192)

    def test_oversized_or_truncated_page_is_refused(self) -> None:
        page = PageResponse(index=0, revision=1, body=bytes(MAX_PAGE_BYTES + 1))
        with self.assertRaises(BadFrame):
            decode(encode(page))
        whole = zlib.compress(b"page" * 100)
        for body in (whole[:-4], b"", b"no zlib data"):
            fields = {"index": 0, "revision": 1, "zlibBody": body}
            envelope = _SCHEMA.Envelope.new_message(pageResponse=fields)
            with self.subTest(body), self.assertRaises(BadFrame):
                decode(envelope.to_bytes_packed())

    def test_truncated_frame_of_several_segments_is_refused(self) -> None:
        frame = bytes.fromhex("0109500101010250100200011002000011050300")
        with self.assertRaises(BadFrame):
            decode(frame)

    def test_unknown_role_and_unknown_message_are_refused(self) -> None:
        words = bytearray(_SCHEMA.Envelope.new_message(hello={"name": "x"}).to_bytes())
        hello_data, union_tag = 8 + 8 + 16, 8 + 8
        for offset in (hello_data + 2, union_tag):
            damaged = bytearray(words)
            damaged[offset] = 200
            with self.subTest(offset), self.assertRaises(BadFrame):
                decode(_pack_flat_message(bytes(damaged)))

    def test_large_messages_fit_one_segment(self) -> None:
        page = PageResponse(index=0, revision=1, body=Random(1).randbytes(1_000_000))
        crash_reports = CrashReportList(crash_reports=(CRASH_REPORT,) * 500)
        report = Report(owned_shards=tuple(range(4_000)), crash_reports=(CRASH_REPORT,) * 500)
        for message in (page, crash_reports, report):
            self.assertEqual(decode(encode(message)), message)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes_are_a_message_or_a_bad_frame(self, data: bytes) -> None:
        self._decode_or_refuse(data)

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(st.sampled_from(MESSAGES), st.data())
    def test_damaged_messages_are_a_message_or_a_bad_frame(
        self, message: object, draws: st.DataObject
    ) -> None:
        data = bytearray(encode(message))  # type: ignore[arg-type]
        for _ in range(draws.draw(st.integers(1, 4))):
            data[draws.draw(st.integers(0, len(data) - 1))] = draws.draw(st.integers(0, 255))
        self._decode_or_refuse(bytes(data[: draws.draw(st.integers(0, len(data)))]))

    def _decode_or_refuse(self, data: bytes) -> None:
        try:
            message = decode(data)
        except BadFrame:
            return
        self.assertIsInstance(message, tuple(type(each) for each in MESSAGES))


if __name__ == "__main__":
    unittest.main()
