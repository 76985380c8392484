"""Tests of the session: handshake, frame authentication and limits."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragetiller.control.codec import encode
from boragetiller.control.errors import (
    BadFrame,
    ControlError,
    FrameTooLarge,
    NotAuthenticated,
    UnexpectedMessage,
    VersionMismatch,
)
from boragetiller.control.messages import Goodbye, Hello, PageResponse, Proof, Report
from boragetiller.control.session import LENGTH_BYTES, Session
from boragetiller.settings import ControlSettings, Role

SETTINGS = ControlSettings(key="shared", max_frame_bytes=10_000)


def _session(name: str, *, dialer: bool, nonce: bytes = b"", **changes: object) -> Session:
    control = changes.pop("control", SETTINGS)
    hello = Hello(role=Role.ROUTER, name=name, incarnation=1, failure_domain="a", **changes)  # type: ignore[arg-type]
    return Session(control, hello, nonce or name.encode().ljust(16), dialer)  # type: ignore[arg-type]


def _complete_handshake(dialer: Session, listener: Session) -> list[bytes]:
    sent_by_dialer = []
    while data := dialer.pop_outgoing():
        sent_by_dialer.append(data)
        listener.receive(data)
        dialer.receive(listener.pop_outgoing())
    return sent_by_dialer


class HandshakeTest(unittest.TestCase):
    """Handshakes that are accepted and refused."""

    def setUp(self) -> None:
        self.dialer = _session("dialer", dialer=True)
        self.listener = _session("listener", dialer=False)

    def test_same_key_authenticates_both(self) -> None:
        sent = _complete_handshake(self.dialer, self.listener)
        self.assertTrue(self.dialer.authenticated and self.listener.authenticated)
        self.assertNotIn(b"shared", b"".join(sent))

    def test_other_key_is_refused_by_both(self) -> None:
        other_key = ControlSettings(key="other")
        with self.assertRaises(NotAuthenticated):
            _complete_handshake(_session("dialer", dialer=True, control=other_key), self.listener)
        self.assertFalse(self.listener.authenticated)

    def test_forged_proof_is_refused(self) -> None:
        self.listener.receive(self.dialer.pop_outgoing())
        proof = encode(Proof(mac=bytes(32)))
        with self.assertRaises(NotAuthenticated):
            self.listener.receive(len(proof).to_bytes(LENGTH_BYTES, "big") + proof)
        self.assertFalse(self.listener.authenticated)

    def test_replayed_handshake_is_refused(self) -> None:
        recorded = _complete_handshake(self.dialer, self.listener)
        second_listener = _session("listener", dialer=False, nonce=b"another nonce 16")
        with self.assertRaises(NotAuthenticated):
            for data in recorded:
                second_listener.receive(data)
        self.assertFalse(second_listener.authenticated)

    def test_reflected_proof_is_refused(self) -> None:
        self.listener.receive(self.dialer.pop_outgoing())
        reply = self.listener.pop_outgoing()
        hello_length = LENGTH_BYTES + int.from_bytes(reply[:LENGTH_BYTES], "big")
        with self.assertRaises(NotAuthenticated):
            self.listener.receive(reply[hello_length:])

    def test_message_before_proof_is_refused(self) -> None:
        self.dialer.pop_outgoing()
        self.dialer.send(Goodbye(reason="early"))
        with self.assertRaises(ControlError):
            self.listener.receive(self.dialer.pop_outgoing())

    def test_second_hello_before_proof_is_refused(self) -> None:
        early = _session("early", dialer=False)
        early.receive(_session("x", dialer=True).pop_outgoing())
        early.pop_outgoing()
        with self.assertRaises(UnexpectedMessage):
            early.receive(_session("x", dialer=True).pop_outgoing())

    def test_other_version_is_refused(self) -> None:
        with self.assertRaises(VersionMismatch):
            _complete_handshake(_session("dialer", dialer=True, version=99), self.listener)

    def test_empty_name_or_short_nonce_is_refused(self) -> None:
        for dialer in (_session("", dialer=True), _session("x", dialer=True, nonce=b"short")):
            with self.assertRaises(BadFrame):
                _session("listener", dialer=False).receive(dialer.pop_outgoing())

    def test_large_frame_before_handshake_is_refused(self) -> None:
        with self.assertRaises(FrameTooLarge):
            self.listener.receive((1_025).to_bytes(LENGTH_BYTES, "big"))


class FramesTest(unittest.TestCase):
    """Frames after the handshake."""

    def setUp(self) -> None:
        self.dialer = _session("dialer", dialer=True)
        self.listener = _session("listener", dialer=False)
        _complete_handshake(self.dialer, self.listener)

    def _encode_frame(self, message: Report | PageResponse | Proof) -> bytes:
        self.dialer.send(message)
        return self.dialer.pop_outgoing()

    def test_messages_arrive_in_order_for_any_chunk_size(self) -> None:
        reports = [Report(running=i) for i in range(1, 4)]
        data = b"".join(self._encode_frame(report) for report in reports)
        received = [m for i in range(len(data)) for m in self.listener.receive(data[i : i + 1])]
        self.assertEqual(received, reports)

    def test_changed_replayed_or_skipped_frame_is_refused(self) -> None:
        first, second = (self._encode_frame(Report(running=i)) for i in (1, 2))
        changed = first[:-9] + bytes([first[-9] ^ 1]) + first[-8:]
        for name, data in (("changed", changed), ("replayed", first + first), ("skipped", second)):
            with self.subTest(name):
                self.setUp()
                with self.assertRaises(NotAuthenticated):
                    self.listener.receive(data)

    def test_proof_after_handshake_is_refused(self) -> None:
        with self.assertRaises(UnexpectedMessage):
            self.listener.receive(self._encode_frame(Proof(mac=b"m")))

    def test_too_large_frame_is_refused_by_both_sides(self) -> None:
        body = Random(1).randbytes(10_000)
        with self.assertRaises(FrameTooLarge):
            self.dialer.send(PageResponse(index=0, revision=1, body=body))
        self.assertEqual(self.dialer.pop_outgoing(), b"")
        with self.assertRaises(FrameTooLarge):
            self.listener.receive((10_001).to_bytes(LENGTH_BYTES, "big"))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.binary(max_size=200), max_size=4), st.booleans())
    def test_random_bytes_raise_only_control_errors(
        self, chunks: list[bytes], authenticated: bool
    ) -> None:
        self.setUp()
        target = self.listener if authenticated else _session("listener", dialer=False)
        try:
            for chunk in chunks:
                self.assertEqual(target.receive(chunk), [])
        except ControlError:
            pass


if __name__ == "__main__":
    unittest.main()
