"""Protocol state of a control connection: framing, handshake and frame authentication."""

from __future__ import annotations

import hmac
from hashlib import blake2b, sha256
from typing import TYPE_CHECKING

import attrs

from boragetiller.control.codec import decode, encode
from boragetiller.control.errors import (
    BadFrame,
    FrameTooLarge,
    NotAuthenticated,
    UnexpectedMessage,
    VersionMismatch,
)
from boragetiller.control.messages import PROTOCOL_VERSION, Hello, Proof

if TYPE_CHECKING:
    from boragetiller.control.messages import Message
    from boragetiller.settings import ControlSettings

LENGTH_BYTES = 3
MAC_BYTES = 8
NONCE_BYTES = 16
MAX_HANDSHAKE_FRAME_BYTES = 1_024
MAX_HANDSHAKE_UNPACKED_BYTES = 8_192


class Session:
    """
    Handshake and frames of one connection, independent of its socket.

    Each side proves that it has the key by an HMAC over the hello messages of both sides, whose
    nonces never repeat. Each later frame carries a MAC over its payload and sequence number, with
    one key per direction, which prevents forged, reordered and replayed frames.
    """

    def __init__(
        self, settings: ControlSettings, hello: Hello, nonce: bytes, is_dialer: bool
    ) -> None:
        """
        Start the handshake; the side that opened the connection sends the first message.

        :param settings: key and frame limit
        :param hello: hello message of this side, without nonce
        :param nonce: random bytes, unique to this connection
        :param is_dialer: whether this side opened the connection
        """
        self.peer: Hello | None = None
        self.is_dialer = is_dialer
        self._settings = settings
        self._hello_frame = encode(attrs.evolve(hello, nonce=nonce))
        self._buffer = bytearray()
        self._outgoing = bytearray()
        self._transcript = b""
        self._peer_hello: Hello | None = None
        self._send_key = b""
        self._receive_key = b""
        self._sent_frames = 0
        self._received_frames = 0
        if is_dialer:
            self._append_frame(self._hello_frame)

    @property
    def authenticated(self) -> bool:
        """:return: whether the peer has proved that it has the key"""
        return self.peer is not None

    def pop_outgoing(self) -> bytes:
        """Remove and return the bytes to send."""
        data = bytes(self._outgoing)
        self._outgoing.clear()
        return data

    def send(self, message: Message) -> None:
        """
        Append a message to the outgoing bytes.

        :param message: the message
        :raises FrameTooLarge: the message exceeds the frame limit; nothing was appended
        """
        self.send_payload(encode(message))

    def send_payload(self, payload: bytes) -> None:
        """
        Append an encoded message to the outgoing bytes.

        :param payload: the encoded message
        :raises FrameTooLarge: the message exceeds the frame limit; nothing was appended
        """
        if len(payload) + MAC_BYTES > self._settings.max_frame_bytes:
            raise FrameTooLarge
        self._append_frame(payload + _frame_mac(self._send_key, self._sent_frames, payload))
        self._sent_frames += 1

    def receive(self, data: bytes) -> list[Message]:
        """
        Process bytes received from the peer.

        :param data: received bytes
        :return: complete messages; empty until the handshake is finished
        :raises ControlError: the bytes are invalid and the connection must be closed
        """
        self._buffer += data
        messages: list[Message] = []
        while (payload := self._next_frame()) is not None:
            if self.authenticated:
                messages.append(self._decode_frame(payload))
            else:
                self._handle_handshake_frame(payload)
        return messages

    def _next_frame(self) -> bytes | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        limit = self._settings.max_frame_bytes if self.authenticated else MAX_HANDSHAKE_FRAME_BYTES
        if length > limit:
            raise FrameTooLarge
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return payload

    def _decode_frame(self, payload: bytes) -> Message:
        body, mac = payload[:-MAC_BYTES], payload[-MAC_BYTES:]
        expected = _frame_mac(self._receive_key, self._received_frames, body)
        if not hmac.compare_digest(mac, expected):
            raise NotAuthenticated
        self._received_frames += 1
        message = decode(body)
        if isinstance(message, Hello | Proof):
            raise UnexpectedMessage
        return message

    def _handle_handshake_frame(self, payload: bytes) -> None:
        message = decode(payload, MAX_HANDSHAKE_UNPACKED_BYTES)
        if self._peer_hello is None and isinstance(message, Hello):
            self._handle_hello(message, payload)
        elif self._peer_hello is not None and isinstance(message, Proof):
            self._handle_proof(message)
        else:
            raise UnexpectedMessage

    def _handle_hello(self, hello: Hello, payload: bytes) -> None:
        if hello.version != PROTOCOL_VERSION:
            raise VersionMismatch
        if len(hello.nonce) != NONCE_BYTES or not hello.name:
            raise BadFrame
        self._peer_hello = hello
        first, second = (
            (self._hello_frame, payload) if self.is_dialer else (payload, self._hello_frame)
        )
        self._transcript = sha256(sha256(first).digest() + sha256(second).digest()).digest()
        self._send_key = self._derive_key(b"frames", own=True)
        self._receive_key = self._derive_key(b"frames", own=False)
        if not self.is_dialer:
            self._append_frame(self._hello_frame)
            self._append_frame(encode(Proof(mac=self._derive_key(b"proof", own=True))))

    def _handle_proof(self, proof: Proof) -> None:
        if not hmac.compare_digest(proof.mac, self._derive_key(b"proof", own=False)):
            raise NotAuthenticated
        self.peer = self._peer_hello
        if self.is_dialer:
            self._append_frame(encode(Proof(mac=self._derive_key(b"proof", own=True))))

    def _derive_key(self, label: bytes, *, own: bool) -> bytes:
        side = b"dialer" if own == self.is_dialer else b"listener"
        text = b"/".join((label, side, self._transcript))
        return hmac.new(self._settings.key.encode(), text, sha256).digest()

    def _append_frame(self, payload: bytes) -> None:
        self._outgoing += len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def _frame_mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    return blake2b(sequence.to_bytes(8, "big") + payload, key=key, digest_size=MAC_BYTES).digest()


__all__ = ["Session"]
